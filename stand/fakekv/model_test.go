package fakekv_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// lateBy is above the timeout of calls; the half millisecond keeps an effect
// that comes late from coinciding with the next call.
const lateBy = 1500*time.Millisecond + 500*time.Microsecond

// model is the expected content of the service.
type model struct {
	items     map[string]store.Item
	leases    map[store.LeaseID]bool
	revision  int64
	lastLease store.LeaseID
	late      []lateWrite // oldest first
}

type lateWrite struct {
	due   time.Time
	apply func() error
}

func (m *model) catchUp() {
	for len(m.late) > 0 && !time.Now().Before(m.late[0].due) {
		_ = m.late[0].apply()
		m.late = m.late[1:]
	}
}

func (m *model) put(key, value string, revision int64, lease store.LeaseID) error {
	if revision != store.AnyRevision && revision != m.items[key].Revision {
		return store.ErrConflict
	}
	if lease != 0 && !m.leases[lease] {
		return store.ErrLeaseExpired
	}
	m.revision++
	m.items[key] = store.Item{Key: key, Value: []byte(value), Revision: m.revision, Lease: lease}
	return nil
}

func (m *model) delete(key string, revision int64) error {
	item, ok := m.items[key]
	switch {
	case !ok:
		return store.ErrNotFound
	case revision != store.AnyRevision && revision != item.Revision:
		return store.ErrConflict
	}
	m.revision++
	delete(m.items, key)
	return nil
}

func (m *model) revoke(lease store.LeaseID) error {
	if !m.leases[lease] {
		return store.ErrLeaseExpired
	}
	delete(m.leases, lease)
	for _, item := range m.list() {
		if item.Lease == lease {
			_ = m.delete(item.Key, store.AnyRevision)
		}
	}
	return nil
}

func (m *model) list() []store.Item {
	list := []store.Item{}
	for _, key := range []string{"a", "b", "c"} {
		if item, ok := m.items[key]; ok {
			list = append(list, item)
		}
	}
	return list
}

// Guards against a wrong class of error: after any mix of outages, lost answers
// nothing written by a call that was ErrUnavailable or ErrConflict.
func TestModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, kv := serve(t)
		client := kv("")
		// The wrapper hides the method Deadline, which may not be called here.
		rapid.Check(struct{ rapid.TB }{t}, func(r *rapid.T) { checkModel(r, server, client) })
	})
}

func checkModel(r *rapid.T, server *fakekv.Server, kv store.KV) {
	ctx := r.Context()
	m := &model{items: map[string]store.Item{}, leases: map[store.LeaseID]bool{}}
	reset(r, server, kv, m)
	faults := fakekv.Faults{}

	// write compares the outcome of a write with the model's and carries it out there.
	write := func(err error, apply func() error) {
		switch {
		case faults.Down:
			expect(r, err, store.ErrUnavailable)
		case faults.Slow > 0:
			expect(r, err, store.ErrUnknown)
			due := time.Now().Add(faults.Slow - callTimeout)
			m.late = append(m.late, lateWrite{due, apply})
		case errors.Is(err, store.ErrUnknown) && faults.LoseProbability > 0:
			_ = apply()
		default:
			expect(r, err, apply())
		}
	}
	keys := rapid.SampledFrom([]string{"a", "b", "c"})
	revisions := func(key string) int64 {
		return rapid.SampledFrom([]int64{0, store.AnyRevision, m.items[key].Revision, m.revision}).Draw(r, "revision")
	}
	lease := func() store.LeaseID {
		return store.LeaseID(rapid.Int64Range(1, int64(m.lastLease)+1).Draw(r, "lease"))
	}
	r.Repeat(map[string]func(*rapid.T){
		"": func(*rapid.T) { m.catchUp() },
		"put": func(r *rapid.T) {
			key, value, id := keys.Draw(r, "key"), rapid.String().Draw(r, "value"), store.LeaseID(0)
			if rapid.Bool().Draw(r, "leased") {
				id = lease()
			}
			revision := revisions(key)
			_, err := kv.Put(ctx, key, []byte(value), revision, id)
			write(err, func() error { return m.put(key, value, revision, id) })
		},
		"delete": func(r *rapid.T) {
			key := keys.Draw(r, "key")
			revision := revisions(key)
			write(kv.Delete(ctx, key, revision), func() error { return m.delete(key, revision) })
		},
		"grant": func(r *rapid.T) {
			_, err := kv.Grant(ctx, 1000*time.Hour)
			write(err, func() error {
				m.lastLease++
				m.leases[m.lastLease] = true
				return nil
			})
		},
		"revoke": func(r *rapid.T) {
			id := lease()
			write(kv.Revoke(ctx, id), func() error { return m.revoke(id) })
		},
		"list": func(r *rapid.T) {
			items, err := kv.List(ctx, "")
			if faults.Down || faults.Slow > 0 {
				expect(r, err, store.ErrUnavailable)
				return
			}
			expect(r, err, nil)
			if diff := cmp.Diff(m.list(), items, cmpopts.EquateEmpty()); diff != "" {
				r.Fatalf("content differs from the model (-model +service):\n%s", diff)
			}
		},
		"faults": func(r *rapid.T) {
			faults = rapid.SampledFrom([]fakekv.Faults{
				{},
				{Down: true},
				{Slow: lateBy},
				{LoseProbability: 0.5, Seed: rapid.Uint64().Draw(r, "seed")},
			}).Draw(r, "faults")
			server.SetFaults(fakekv.Everyone, faults)
		},
		"sleep": func(r *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 800).Draw(r, "ms")) * time.Millisecond)
		},
	})
}

// reset empties the service, past the late writes of the round before, and
// takes over its counters.
func reset(r *rapid.T, server *fakekv.Server, kv store.KV, m *model) {
	server.ClearFaults()
	time.Sleep(lateBy)
	server.LapseLeases(fakekv.Everyone)
	items, err := kv.List(r.Context(), "")
	expect(r, err, nil)
	for _, item := range items {
		expect(r, kv.Delete(r.Context(), item.Key, item.Revision), nil)
	}
	m.lastLease, err = kv.Grant(r.Context(), 1000*time.Hour)
	expect(r, err, nil)
	m.leases[m.lastLease] = true
	_, m.revision, err = kv.Watch(r.Context(), "", 0, 0)
	expect(r, err, nil)
}

func expect(r *rapid.T, got, want error) {
	r.Helper()
	if !errors.Is(got, want) {
		r.Fatalf("got %v, want %v", got, want)
	}
}
