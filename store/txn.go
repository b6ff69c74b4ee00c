package store

import (
	"context"
	"time"
)

// ErrCompacted means that the changes after the revision are no longer known.
var ErrCompacted = Error.New("history compacted")

// MaxTxnRows is the most conditions, writes and deletions of one transaction.
const MaxTxnRows = 32

// Event is one change of a key.
type Event struct {
	Item
	Deleted bool
}

// Condition is the revision that a key must have; 0 means that it must not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write is one value to put under a key.
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

// Rows returns the size of the transaction as the service counts it.
func (t *Txn) Rows() int { return len(t.Conditions) + len(t.Writes) + len(t.Deletes) }

// ConflictError is an ErrConflict with the present state of the keys in the
// conditions; absent keys are left out.
type ConflictError struct{ Items []Item }

// Error describes the conflict.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap makes the error an ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Current returns the present item of a key, or false if it does not exist.
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
	// Range reads all keys with the prefix and returns a revision after which
	// Events tells all that the result may lack.
	Range(ctx context.Context, prefix string) ([]Item, int64, error)
	// Events waits for changes of keys with the prefix after the revision, and
	// returns them with the revision to go on from, or ErrCompacted.
	Events(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Commit applies the transaction and returns its revision. A failed
	// condition gives a *ConflictError.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
