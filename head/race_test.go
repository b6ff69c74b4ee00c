package head

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/conf"
	"catkinpoint/decl"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// putCustomer returns a change of the set that sets the queue limit of one customer.
func putCustomer(set *decl.Set, id, name string, limit int64) *wire.Change {
	key := decl.Key{Kind: "customer", Name: name}
	o := decl.NewObject(key)
	conf.SetDefaults(decl.Body(o))
	o.GetCustomer().QueueLimit = limit
	return &wire.Change{
		Id: id, Author: "anna", Reason: "test", BaseVersion: set.Version(),
		Operations: []*wire.Operation{{Object: o, BaseRevision: set.Revision(key)}},
	}
}

// TestWriterRace guards against accepted changes that are lost, applied twice or
// reversed, changes with a wrong outcome, and gaps in the audit trail, when
// several writers race and responses of the store are lost.
func TestWriterRace(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { writerRace(t, seed) })
		})
	}
}

func writerRace(t *testing.T, seed uint64) {
	const writers, changes = 6, 60
	kv := newFakeKV(seed)
	kv.refuseShare, kv.loseShare = 0.03, 0.15
	ctx, stop := context.WithCancel(t.Context())
	var watcherGroup, writerGroup sync.WaitGroup
	watcherGroup.Go(func() { watchVersions(ctx, t, kv) })
	watcherGroup.Go(func() {
		for ctx.Err() == nil {
			Sweep(ctx, kv)
			time.Sleep(20 * time.Millisecond)
		}
	})
	accepted, rejected := sync.Map{}, sync.Map{}
	for w := range writers {
		writerGroup.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(100+w)))
			f := NewFollower(kv)
			p := NewPublisher(f, Options{})
			for n := range changes {
				id := fmt.Sprintf("w%d-%d", w, n)
				for f.Poll(ctx) != nil {
					time.Sleep(time.Millisecond)
				}
				change := putCustomer(f.Current().Set, id, fmt.Sprint("c", rng.IntN(12)), int64(1+rng.IntN(90000)))
				result, err := p.Publish(ctx, change, false)
				for range 20 {
					if !errors.Is(err, store.ErrUnknown) && !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, ErrContention) {
						break
					}
					result, err = p.Publish(ctx, change, false)
				}
				if conflict := new(decl.ConflictError); errors.As(err, &conflict) {
					rejected.Store(id, true)
				} else if err != nil {
					t.Errorf("%s: %v", id, err)
				} else {
					accepted.Store(id, result.Version)
				}
			}
		})
	}
	writerGroup.Wait()
	stop()
	watcherGroup.Wait()
	kv.refuseShare, kv.loseShare = 0, 0
	time.Sleep(time.Second) // for writes that take effect after their response was lost
	replayTrail(t, kv, &accepted, &rejected, writers*changes)
}

// watchVersions follows the head until ctx ends and checks that the version never
// decreases and that ReadAt is the time of the last successful poll.
func watchVersions(ctx context.Context, t *testing.T, kv store.KV) {
	f := NewFollower(kv)
	last := f.Current()
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := f.Poll(ctx)
		current := f.Current()
		if current.Set.Version() < last.Set.Version() || err == nil && current.ReadAt.Before(startedAt) || current.ReadAt.After(time.Now()) {
			t.Errorf("snapshot of version %d read at %v follows version %d read at %v", current.Set.Version(), current.ReadAt, last.Set.Version(), last.ReadAt)
		}
		if err != nil && current != last {
			t.Error("a failed poll changed the snapshot")
		}
		last = current
		time.Sleep(5 * time.Millisecond)
	}
}

// replayTrail merges all changes of the audit trail into an empty set, and
// compares the result with the published set and the trail with the outcomes
// that Publish returned to the writers.
func replayTrail(t *testing.T, kv *fakeKV, accepted, rejected *sync.Map, total int) {
	entries, err := ReadAudit(t.Context(), kv, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	set, seen, outcomes := &decl.Set{}, map[string]bool{}, 0
	for _, e := range entries {
		id := e.Change.Id
		version, ok := accepted.Load(id)
		if !ok || version != e.Version || seen[id] {
			t.Errorf("version %d holds change %s, whose Publish returned version %v; in an earlier version too: %v", e.Version, id, version, seen[id])
		}
		seen[id] = true
		if set, err = decl.Merge(set, e.Change); err != nil {
			t.Fatalf("version %d: %v", e.Version, err)
		}
	}
	accepted.Range(func(id, version any) bool {
		outcomes++
		if !seen[id.(string)] {
			t.Errorf("change %s was accepted as version %d and is not in the trail", id, version)
		}
		return true
	})
	rejected.Range(func(any, any) bool { outcomes++; return true })
	if outcomes != total {
		t.Errorf("%d of %d changes have an outcome", outcomes, total)
	}
	f := NewFollower(kv)
	if err := f.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	published := f.Current().Set
	if published.Version() != set.Version() || published.Len() != set.Len() {
		t.Fatalf("published version %d with %d objects, replayed version %d with %d", published.Version(), published.Len(), set.Version(), set.Len())
	}
	for o := range set.Objects() {
		if !proto.Equal(o, published.Get(decl.KeyOf(o))) {
			t.Errorf("%s: published %v, replayed %v", decl.KeyOf(o), published.Get(decl.KeyOf(o)), o)
		}
	}
	t.Logf("%d changes: %d applied, %d conflicts; calls %v", total, len(entries), total-len(entries), kv.calls)
}
