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

// beyondTimeout is a delay above callTimeout. The half millisecond keeps the
// effect of a delayed write from coinciding with the next call.
const beyondTimeout = 1500*time.Millisecond + 500*time.Microsecond

// model holds the expected content of the service.
type model struct {
	items     map[string]store.Item
	leases    map[store.LeaseID]bool
	revision  int64
	lastLease store.LeaseID
	delayed   []delayedWrite // oldest first
}

// delayedWrite is a write whose caller has given up and that still takes effect.
type delayedWrite struct {
	due   time.Time
	apply func() error
}

// applyDelayed carries out the delayed writes that are due.
func (m *model) applyDelayed() {
	for len(m.delayed) > 0 && !time.Now().Before(m.delayed[0].due) {
		_ = m.delayed[0].apply()
		m.delayed = m.delayed[1:]
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

// Guards against a wrong error class: under any mix of outages, delays and lost
// answers, a call that returned ErrUnavailable or ErrConflict must have written
// nothing, and all other calls must have the effect that the model expects.
func TestRandomCallsMatchModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, clientOf := startServer(t)
		client := clientOf("")
		// The wrapper hides the method Deadline, which panics in a synctest bubble.
		rapid.Check(struct{ rapid.TB }{t}, func(r *rapid.T) { checkModel(r, server, client) })
	})
}

func checkModel(r *rapid.T, server *fakekv.Server, kv store.KV) {
	ctx := r.Context()
	m := &model{items: map[string]store.Item{}, leases: map[store.LeaseID]bool{}}
	resetService(r, server, kv, m)
	faults := fakekv.Faults{}

	// checkWrite checks the error of a write against the faults and the model, and
	// applies the write to the model if it took effect or will.
	checkWrite := func(err error, apply func() error) {
		switch {
		case faults.Down:
			expectError(r, err, store.ErrUnavailable)
		case faults.Delay > 0:
			expectError(r, err, store.ErrUnknown)
			due := time.Now().Add(faults.Delay - callTimeout)
			m.delayed = append(m.delayed, delayedWrite{due, apply})
		case errors.Is(err, store.ErrUnknown) && faults.LoseProbability > 0:
			_ = apply()
		default:
			expectError(r, err, apply())
		}
	}
	keys := rapid.SampledFrom([]string{"a", "b", "c"})
	drawRevision := func(key string) int64 {
		return rapid.SampledFrom([]int64{0, store.AnyRevision, m.items[key].Revision, m.revision}).Draw(r, "revision")
	}
	drawLease := func() store.LeaseID {
		return store.LeaseID(rapid.Int64Range(1, int64(m.lastLease)+1).Draw(r, "lease"))
	}
	r.Repeat(map[string]func(*rapid.T){
		"": func(*rapid.T) { m.applyDelayed() },
		"put": func(r *rapid.T) {
			key, value, id := keys.Draw(r, "key"), rapid.String().Draw(r, "value"), store.LeaseID(0)
			if rapid.Bool().Draw(r, "leased") {
				id = drawLease()
			}
			revision := drawRevision(key)
			_, err := kv.Put(ctx, key, []byte(value), revision, id)
			checkWrite(err, func() error { return m.put(key, value, revision, id) })
		},
		"delete": func(r *rapid.T) {
			key := keys.Draw(r, "key")
			revision := drawRevision(key)
			checkWrite(kv.Delete(ctx, key, revision), func() error { return m.delete(key, revision) })
		},
		"grant": func(r *rapid.T) {
			_, err := kv.Grant(ctx, 1000*time.Hour)
			checkWrite(err, func() error {
				m.lastLease++
				m.leases[m.lastLease] = true
				return nil
			})
		},
		"revoke": func(r *rapid.T) {
			id := drawLease()
			checkWrite(kv.Revoke(ctx, id), func() error { return m.revoke(id) })
		},
		"list": func(r *rapid.T) {
			items, err := kv.List(ctx, "")
			if faults.Down || faults.Delay > 0 {
				expectError(r, err, store.ErrUnavailable)
				return
			}
			expectError(r, err, nil)
			if diff := cmp.Diff(m.list(), items, cmpopts.EquateEmpty()); diff != "" {
				r.Fatalf("content differs from the model (-model +service):\n%s", diff)
			}
		},
		"faults": func(r *rapid.T) {
			faults = rapid.SampledFrom([]fakekv.Faults{
				{},
				{Down: true},
				{Delay: beyondTimeout},
				{LoseProbability: 0.5, Seed: rapid.Uint64().Draw(r, "seed")},
			}).Draw(r, "faults")
			server.SetFaults(fakekv.AllCallers, faults)
		},
		"sleep": func(r *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 800).Draw(r, "ms")) * time.Millisecond)
		},
	})
}

// resetService waits for the delayed writes of the previous run, empties the
// service and copies its revision and last lease id to the model.
func resetService(r *rapid.T, server *fakekv.Server, kv store.KV, m *model) {
	server.ClearFaults()
	time.Sleep(beyondTimeout)
	server.LapseLeases(fakekv.AllCallers)
	items, err := kv.List(r.Context(), "")
	expectError(r, err, nil)
	for _, item := range items {
		expectError(r, kv.Delete(r.Context(), item.Key, item.Revision), nil)
	}
	m.lastLease, err = kv.Grant(r.Context(), 1000*time.Hour)
	expectError(r, err, nil)
	m.leases[m.lastLease] = true
	_, m.revision, err = kv.Watch(r.Context(), "", 0, 0)
	expectError(r, err, nil)
}

func expectError(r *rapid.T, got, want error) {
	r.Helper()
	if !errors.Is(got, want) {
		r.Fatalf("got %v, want %v", got, want)
	}
}
