package fakekv

import (
	"slices"
	"strings"
	"time"

	"catkinpoint/store"
)

// maxDeletions bounds the deletions that are kept for watches. A watch that
// starts before the oldest kept deletion returns at once.
const maxDeletions = 10000

// state is the content of the service, guarded by the mutex of service.
type state struct {
	revision          int64
	items             map[string]store.Item
	deletions         []deletion // oldest first
	compactedRevision int64      // deletions up to this revision have been forgotten
	leases            map[store.LeaseID]*lease
	lastLease         store.LeaseID
	maxValueBytes     int // of a transaction's values
	// changed is closed and replaced when a key or the faults change.
	changed chan struct{}
}

// deletion is one deleted key and the revision of the service after it.
type deletion struct {
	key      string
	revision int64
}

// lease is a lease that has not ended.
type lease struct {
	owner string // the caller it was granted to
	ttl   time.Duration
	timer *time.Timer // ends the lease after ttl
}

func newState() *state {
	return &state{
		items:   map[string]store.Item{},
		leases:  map[store.LeaseID]*lease{},
		changed: make(chan struct{}),

		maxValueBytes: store.MaxValueBytes,
	}
}

// notifyWatches wakes all watches after a change of a key or of the faults.
func (s *state) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) get(key string) (store.Item, error) {
	item, ok := s.items[key]
	if !ok {
		return store.Item{}, store.ErrNotFound
	}
	return cloneItem(item), nil
}

func (s *state) put(key string, value []byte, revision int64, id store.LeaseID) (int64, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	// The revision of an absent key is 0.
	if revision != store.AnyRevision && revision != s.items[key].Revision {
		return 0, store.ErrConflict
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return 0, store.ErrLeaseExpired
	}
	s.revision++
	s.items[key] = store.Item{Key: key, Value: slices.Clone(value), Revision: s.revision, Lease: id}
	s.notifyWatches()
	return s.revision, nil
}

func (s *state) delete(key string, revision int64) error {
	item, ok := s.items[key]
	if !ok {
		return store.ErrNotFound
	}
	if revision != store.AnyRevision && revision != item.Revision {
		return store.ErrConflict
	}
	s.remove(key)
	s.notifyWatches()
	return nil
}

// remove deletes an existing key without waking watches.
func (s *state) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.deletions = append(s.deletions, deletion{key, s.revision})
	if len(s.deletions) > maxDeletions {
		s.compactedRevision = s.deletions[0].revision
		s.deletions = s.deletions[1:]
	}
}

func (s *state) list(prefix string) []store.Item {
	list := []store.Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, cloneItem(item))
		}
	}
	slices.SortFunc(list, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// changedSince reports whether a key with the prefix was written or deleted after
// the revision. It also returns true if the history does not reach back that far.
func (s *state) changedSince(prefix string, revision int64) bool {
	if revision < s.compactedRevision {
		return true
	}
	for _, d := range slices.Backward(s.deletions) {
		if d.revision <= revision {
			break
		}
		if strings.HasPrefix(d.key, prefix) {
			return true
		}
	}
	for key, item := range s.items {
		if item.Revision > revision && strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// grant creates a lease of the caller owner; expire is called when its time to
// live has passed.
func (s *state) grant(owner string, ttl time.Duration, expire func(store.LeaseID)) store.LeaseID {
	s.lastLease++
	id := s.lastLease
	timer := time.AfterFunc(ttl, func() { expire(id) })
	s.leases[id] = &lease{owner: owner, ttl: ttl, timer: timer}
	return id
}

func (s *state) keepAlive(id store.LeaseID) error {
	l, ok := s.leases[id]
	// If the timer has fired, the lease has expired, even if its end is not
	// carried out yet.
	if !ok || !l.timer.Stop() {
		return store.ErrLeaseExpired
	}
	l.timer.Reset(l.ttl)
	return nil
}

// endLease removes a lease and its keys.
func (s *state) endLease(id store.LeaseID) error {
	l, ok := s.leases[id]
	if !ok {
		return store.ErrLeaseExpired
	}
	l.timer.Stop()
	delete(s.leases, id)
	keys := []string{}
	for key, item := range s.items {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.remove(key)
	}
	s.notifyWatches()
	return nil
}

// leasesOf returns the leases of one caller, or of AllCallers.
func (s *state) leasesOf(owner string) []store.LeaseID {
	ids := []store.LeaseID{}
	for id, l := range s.leases {
		if owner == AllCallers || owner == l.owner {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// cloneItem copies an item with its value, so that callers can't change the state.
func cloneItem(item store.Item) store.Item {
	item.Value = slices.Clone(item.Value)
	return item
}
