// Package head publishes the declared set, the configuration objects of package
// decl, and follows it.
//
// The store key "head" holds the version of the published set and the hashes of
// its parts. It only advances by compare-and-swap, so changes are ordered and
// none is lost. Objects are spread over 64 parts by the hash of their kind and
// name. A part is stored under the hash of its content and never changes, which
// lets a follower load only the parts that differ.
//
// The head carries the audit entry of its own change. The audit trail, under the
// keys "audit/<version>", holds the entries of all earlier versions: the next
// publisher copies the head's entry to the trail before it advances the head, so
// the trail has no gap. Each entry holds the hash of the one before it.
//
// A publisher that lost the response to its write of the head looks for the
// change id in the trail. It reports a change as not applied only if the head
// has advanced without it.
package head
