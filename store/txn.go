package store

import (
	"context"
	"time"
)

// ErrCompacted means that the service no longer has all changes after the
// requested revision, so the caller must read the keys again.
var ErrCompacted = Error.New("history compacted")

// MaxTxnRows is the largest number of rows of one transaction. Each condition,
// write and deletion is a row.
const MaxTxnRows = 32

// Event is one change of a key: the written item, or the deletion of the key.
type Event struct {
	Item
	Deleted bool
}

// Condition is the revision that a key must have; 0 means that the key must not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets the value of a key and attaches the key to a lease, if one is given.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a set of changes that take effect together if all conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// Rows returns the size of the transaction that MaxTxnRows limits.
func (t *Txn) Rows() int { return len(t.Conditions) + len(t.Writes) + len(t.Deletes) }

// ConflictError is an ErrConflict with the current items of the keys in the
// conditions. Keys that do not exist are left out.
type ConflictError struct{ Items []Item }

// Error implements error.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap makes errors.Is report the error as an ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Current returns the current item of a key, or false if Items has none for it.
func (e *ConflictError) Current(key string) (Item, bool) {
	for _, item := range e.Items {
		if item.Key == key {
			return item, true
		}
	}
	return Item{}, false
}

// TxnKV is a key-value service with transactions and a history of changes.
type TxnKV interface {
	// Get reads one key, or returns ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Range reads all keys with the prefix. The items need not be a snapshot;
	// Events after the returned revision returns every change that they lack.
	Range(ctx context.Context, prefix string) ([]Item, int64, error)
	// Events waits for changes of keys with the prefix after the given revision
	// and returns them with the revision to pass to the next call, or
	// ErrCompacted. If nothing changes within wait, it returns no events.
	Events(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Commit applies the transaction and returns its revision. If a condition
	// does not hold, the error is a *ConflictError.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its time to live, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
