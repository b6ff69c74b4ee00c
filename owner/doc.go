// Package owner runs a goroutine that alone owns some control state.
//
// Other goroutines hand it functions, which run one after another; inside them
// the state needs no lock. A function must not block and must not call Do or
// Post itself.
package owner
