// Package store is the client of the platform's key-value service.
//
// Client implements KV: compare-and-swap writes, leases, lists and watches over
// HTTP. TxnKV is the interface of a service that also has transactions and a
// history of changes; package platform implements it.
//
// Errors are classified by what the caller may conclude from them: ErrConflict
// and ErrUnavailable prove that the call had no effect, ErrUnknown does not. The
// package never retries a write by itself, because a write whose response was
// lost may have taken effect. All types are safe for concurrent use.
package store
