package fakekv

import (
	"slices"
	"strings"
	"time"

	"catkinpoint/store"
)

// maxDeletions bounds the deletions that are remembered for watches. A watch
// from before the oldest one returns at once.
const maxDeletions = 10000

// state is the content of the service; the Server's mutex guards it.
type state struct {
	revision  int64
	items     map[string]store.Item
	deletions []deletion
	compacted int64 // revision of the last deletion that was forgotten
	leases    map[store.LeaseID]*lease
	lastLease store.LeaseID
	// changed is closed and replaced when a key or the faults change.
	changed chan struct{}
}

type deletion struct {
	key      string
	revision int64
}

type lease struct {
	owner string
	ttl   time.Duration
	timer *time.Timer
}

func newState() *state {
	return &state{
		items:   map[string]store.Item{},
		leases:  map[store.LeaseID]*lease{},
		changed: make(chan struct{}),
	}
}

func (s *state) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) get(key string) (store.Item, error) {
	item, ok := s.items[key]
	if !ok {
		return store.Item{}, store.ErrNotFound
	}
	return clone(item), nil
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
	s.wake()
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
	s.wake()
	return nil
}

func (s *state) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.deletions = append(s.deletions, deletion{key, s.revision})
	if len(s.deletions) > maxDeletions {
		s.compacted = s.deletions[0].revision
		s.deletions = s.deletions[1:]
	}
}

func (s *state) list(prefix string) []store.Item {
	list := []store.Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, clone(item))
		}
	}
	slices.SortFunc(list, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// changedSince tells whether a key with the prefix was written or deleted after
// the revision.
func (s *state) changedSince(prefix string, revision int64) bool {
	if revision < s.compacted {
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

// grant creates a lease; expire is called when its time to live has passed.
func (s *state) grant(owner string, ttl time.Duration, expire func(store.LeaseID)) store.LeaseID {
	s.lastLease++
	id := s.lastLease
	timer := time.AfterFunc(ttl, func() { expire(id) })
	s.leases[id] = &lease{owner: owner, ttl: ttl, timer: timer}
	return id
}

func (s *state) keepAlive(id store.LeaseID) error {
	l, ok := s.leases[id]
	// A timer that was not stopped in time has expired the lease already.
	if !ok || !l.timer.Stop() {
		return store.ErrLeaseExpired
	}
	l.timer.Reset(l.ttl)
	return nil
}

// end removes a lease and its keys.
func (s *state) end(id store.LeaseID) error {
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
	s.wake()
	return nil
}

func (s *state) leasesOf(owner string) []store.LeaseID {
	ids := []store.LeaseID{}
	for id, l := range s.leases {
		if owner == Everyone || owner == l.owner {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func clone(item store.Item) store.Item {
	item.Value = slices.Clone(item.Value)
	return item
}
