// Package store is the client of the platform's key-value service.
//
// It offers compare-and-swap writes, leases, lists and watches over HTTP, and
// sorts failures by what the caller may conclude from them: ErrConflict and
// ErrUnavailable prove that the call had no effect, ErrUnknown does not. The
// package never repeats a write on its own, because a lost answer may hide a
// write that took effect. All types are safe for concurrent use.
package store
