// Package cache follows the keys of the store under a prefix.
//
// A Follower reads all keys once and then waits for changes. When the store no
// longer has the history that it needs, it reads all keys again and reports those
// that are missing as deleted. It passes the changes to one function, in order, from
// one goroutine. It knows the time up to which the copy made from them is complete,
// on a clock that counts suspensions of the machine, so that a reader can refuse to
// answer from an old copy.
package cache
