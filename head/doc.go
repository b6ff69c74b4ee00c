// Package head publishes the declared set and follows it.
//
// The store key head names the present version and the parts of the set; it
// only advances by compare-and-swap, so changes are ordered and none is lost.
// Objects are spread over 64 parts by the hash of their key. A part is stored
// under the hash of its content and never changes, which lets a follower load
// only what differs.
//
// The head carries the audit entry of its own change. The next publisher copies
// that entry to the trail before it advances the head, so the trail has no gap,
// and each entry holds the hash of the one before it.
//
// A publisher whose answer was lost looks for the change id in the trail. It
// reports a change as not applied only if the head has moved on without it.
package head
