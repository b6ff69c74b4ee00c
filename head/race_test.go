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

// putCustomer is a change that sets the limit of one customer.
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

// TestWriterRace guards against accepted changes that are lost, applied twice
// or reversed, changes that are reported wrongly, and gaps in the audit trail,
// when several writers race and answers of the store are lost.
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
	kv.refuse, kv.lose = 0.03, 0.15
	ctx, stop := context.WithCancel(t.Context())
	var watchers, group sync.WaitGroup
	watchers.Go(func() { watchVersions(ctx, t, kv) })
	watchers.Go(func() {
		for ctx.Err() == nil {
			Sweep(ctx, kv)
			time.Sleep(20 * time.Millisecond)
		}
	})
	accepted, rejected := sync.Map{}, sync.Map{}
	for w := range writers {
		group.Go(func() {
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
	group.Wait()
	stop()
	watchers.Wait()
	kv.refuse, kv.lose = 0, 0
	time.Sleep(time.Second) // late writes
	replayTrail(t, kv, &accepted, &rejected, writers*changes)
}

// watchVersions follows the head until the context ends.
func watchVersions(ctx context.Context, t *testing.T, kv store.KV) {
	f := NewFollower(kv)
	last := f.Current()
	for ctx.Err() == nil {
		sent := time.Now()
		err := f.Poll(ctx)
		now := f.Current()
		if now.Set.Version() < last.Set.Version() || err == nil && now.ReadAt.Before(sent) || now.ReadAt.After(time.Now()) {
			t.Errorf("version %d of %v after %d of %v", now.Set.Version(), now.ReadAt, last.Set.Version(), last.ReadAt)
		}
		if err != nil && now != last {
			t.Error("a failed poll changed the snapshot")
		}
		last = now
		time.Sleep(5 * time.Millisecond)
	}
}

// replayTrail builds the set anew from the trail and compares it with the
// published one and with what the writers were told.
func replayTrail(t *testing.T, kv *fakeKV, accepted, rejected *sync.Map, total int) {
	entries, err := ReadAudit(t.Context(), kv, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	set, seen, told := &decl.Set{}, map[string]bool{}, 0
	for _, e := range entries {
		id := e.Change.Id
		version, ok := accepted.Load(id)
		if !ok || version != e.Version || seen[id] {
			t.Errorf("version %d holds %s, its writer was told %v, seen before %v", e.Version, id, version, seen[id])
		}
		seen[id] = true
		if set, err = decl.Merge(set, e.Change); err != nil {
			t.Fatalf("version %d: %v", e.Version, err)
		}
	}
	accepted.Range(func(id, version any) bool {
		told++
		if !seen[id.(string)] {
			t.Errorf("%s was accepted as version %d and is not in the trail", id, version)
		}
		return true
	})
	rejected.Range(func(any, any) bool { told++; return true })
	if told != total {
		t.Errorf("%d of %d changes have an outcome", told, total)
	}
	f := NewFollower(kv)
	if err := f.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	have := f.Current().Set
	if have.Version() != set.Version() || have.Len() != set.Len() {
		t.Fatalf("published version %d with %d objects, replay %d with %d", have.Version(), have.Len(), set.Version(), set.Len())
	}
	for o := range set.Objects() {
		if !proto.Equal(o, have.Get(decl.KeyOf(o))) {
			t.Errorf("%s: published %v, replay %v", decl.KeyOf(o), have.Get(decl.KeyOf(o)), o)
		}
	}
	t.Logf("%d changes: %d applied, %d conflicts; calls %v", total, len(entries), total-len(entries), kv.calls)
}
