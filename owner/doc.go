// Package owner confines mutable state to one goroutine.
//
// Other goroutines send functions to that goroutine, which runs them one after
// another; inside a function the state needs no lock. A function must not block
// and must not call Do or Post itself.
package owner
