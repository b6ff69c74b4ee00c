package fakekv

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"catkinpoint/store"
)

// Names of the operations of store.TxnKV in counts and for an Interceptor.
const (
	opCommit = "commit"
	opEvents = "events"
)

var _ store.TxnKV = (*Server)(nil)

// Range implements store.TxnKV.
func (s *Server) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	var list []store.Item
	var revision int64
	err := s.read(ctx, store.OpList, prefix, func() {
		list, revision = s.state.list(prefix), s.state.revision
	})
	return list, revision, err
}

// Events implements store.TxnKV. Several writes of a key since after are
// reported as one event, because only the latest value is kept.
func (s *Server) Events(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	if _, _, err := s.Watch(ctx, prefix, after, wait); err != nil {
		return nil, 0, err
	}
	var events []store.Event
	var revision int64
	var compactedErr error
	err := s.read(ctx, opEvents, prefix, func() {
		if after < s.state.compactedRevision {
			compactedErr = store.ErrCompacted
			return
		}
		events, revision = s.state.eventsAfter(prefix, after), s.state.revision
	})
	if err == nil && compactedErr != nil {
		err = opError(opEvents, prefix, compactedErr)
	}
	return events, revision, err
}

// Commit implements store.TxnKV.
func (s *Server) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	var revision int64
	err := s.write(ctx, opCommit, txnKey(txn), func() (err error) {
		revision, err = s.state.commit(txn)
		return err
	})
	if err != nil {
		return 0, err
	}
	return revision, nil
}

// Compact forgets the history up to now, so that Events fails with ErrCompacted
// for earlier revisions.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.compactedRevision = s.state.revision
	s.state.deletions = nil
	s.state.notifyWatches()
}

// txnKey returns the key of the first write, which identifies a transaction to
// an Interceptor, or "" if there is none.
func txnKey(txn store.Txn) string {
	if len(txn.Writes) > 0 {
		return txn.Writes[0].Key
	}
	return ""
}

// SetMaxValueBytes sets the length of the longest value that a transaction may write. A
// transaction with a longer one is refused.
func (s *Server) SetMaxValueBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.maxValueBytes = n
}

// commit applies all writes and deletions of txn at one revision, or returns a
// ConflictError with the existing items of its conditions if one does not hold. It refuses
// a transaction with too many rows or too long a value.
func (s *state) commit(txn store.Txn) (int64, error) {
	if txn.Rows() > store.MaxTxnRows {
		return 0, store.ErrRefused
	}
	for _, w := range txn.Writes {
		if len(w.Value) > s.maxValueBytes {
			return 0, store.ErrTooLarge
		}
	}
	var present []store.Item
	matched := true
	for _, c := range txn.Conditions {
		item, ok := s.items[c.Key]
		if ok {
			present = append(present, cloneItem(item))
		}
		matched = matched && item.Revision == c.Revision
	}
	if !matched {
		return 0, &store.ConflictError{Items: present}
	}
	for _, w := range txn.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return 0, store.ErrLeaseExpired
		}
	}
	s.revision++
	for _, w := range txn.Writes {
		s.items[w.Key] = store.Item{Key: w.Key, Value: slices.Clone(w.Value), Revision: s.revision, Lease: w.Lease}
	}
	for _, key := range txn.Deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.deletions = append(s.deletions, deletion{key, s.revision})
		}
	}
	s.notifyWatches()
	return s.revision, nil
}

// eventsAfter returns the deletions and the latest writes after a revision, in
// order of their revisions.
func (s *state) eventsAfter(prefix string, after int64) []store.Event {
	var events []store.Event
	for _, d := range s.deletions {
		if d.revision > after && strings.HasPrefix(d.key, prefix) {
			events = append(events, store.Event{Item: store.Item{Key: d.key, Revision: d.revision}, Deleted: true})
		}
	}
	for key, item := range s.items {
		if item.Revision > after && strings.HasPrefix(key, prefix) {
			events = append(events, store.Event{Item: cloneItem(item)})
		}
	}
	slices.SortStableFunc(events, func(a, b store.Event) int { return cmp.Compare(a.Revision, b.Revision) })
	return events
}
