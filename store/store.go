package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("store")

var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = Error.New("key not found")
	// ErrConflict means that the revision did not match and nothing was written.
	ErrConflict = Error.New("revision conflict")
	// ErrUnavailable means that the service was not reached or refused the call, so
	// the call had no effect.
	ErrUnavailable = Error.New("service unavailable")
	// ErrUnknown means that the response was lost and the call may have taken effect.
	ErrUnknown = Error.New("outcome unknown")
	// ErrLeaseExpired means that the lease no longer exists.
	ErrLeaseExpired = Error.New("lease expired")
	// ErrRefused means that the service rejects the call as it is, for good, and has not
	// carried it out.
	ErrRefused = Error.New("call refused")
	// ErrTooLarge means that the value is larger than MaxValueBytes.
	ErrTooLarge = Error.New("value too large")
)

// MaxValueBytes is the largest value that the service holds, in bytes.
const MaxValueBytes = 1 << 20

// AnyRevision makes Put and Delete unconditional.
const AnyRevision int64 = -1

// LeaseID identifies a lease; zero means no lease.
type LeaseID int64

// Item is one key with its value, the revision of its last write and the lease
// that it is attached to.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Lease    LeaseID
}

// KV is a key-value service with compare-and-swap on single keys.
type KV interface {
	// Get reads one key, or returns ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Put writes value if the key's revision matches and returns the new
	// revision. Revision 0 means that the key must not exist. A key with a
	// lease is deleted when the lease ends.
	Put(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (int64, error)
	// Delete removes the key if its revision matches.
	Delete(ctx context.Context, key string, revision int64) error
	// List reads all keys with the prefix, in order.
	List(ctx context.Context, prefix string) ([]Item, error)
	// Watch waits until a key with the prefix is written or deleted after the
	// given revision of the service, and returns the current items and the
	// service's current revision. If nothing changes within wait, it returns
	// the items as they are.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its time to live, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
