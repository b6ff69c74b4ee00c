// Package store defines access to a key-value service, which other packages call
// the store.
//
// There are two interfaces. KV has compare-and-swap writes, leases, lists and
// watches; Client implements it over HTTP, and entries use it. TxnKV has
// transactions and a history of changes as well; package platform implements it,
// and gates and relays use it.
//
// Errors are classified by what the caller may conclude from them: ErrConflict
// and ErrUnavailable prove that the call had no effect, ErrUnknown does not. The
// package never retries a write by itself, because a write whose response was
// lost may have taken effect. All types are safe for concurrent use.
package store
