// Package cache follows the keys of the store under a prefix.
//
// A Follower reads all of them once and then waits for changes; when the
// history is gone it reads them again and tells what is missing as deleted.
// Changes are handed to one function, in order, from one goroutine. The
// follower knows up to which moment its copy was complete, on a clock that
// counts suspensions, so that a reader can refuse to answer from an old copy.
package cache
