package store_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

const ttl = 9 * time.Second

// Guards against a keeper that renews too rarely or too often, or that keeps
// its lease after the release.
func TestLeaseKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		keeper := store.KeepLease(t.Context(), kv, ttl)
		<-keeper.Granted()
		if _, err := kv.Put(t.Context(), "held", nil, 0, keeper.ID()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute + time.Second)
		if !keeper.Valid(time.Now()) {
			t.Error("not valid after a minute of renewals")
		}
		if renewals := kv.Counts(fakekv.Everyone).ByOp[store.OpKeepAlive]; renewals != 20 {
			t.Errorf("%d renewals in a minute, want one each 3 s", renewals)
		}
		if err := keeper.Release(t.Context()); err != nil {
			t.Error(err)
		}
		<-keeper.Lost()
		if _, err := kv.Get(t.Context(), "held"); !errors.Is(err, store.ErrNotFound) || keeper.Valid(time.Now()) {
			t.Errorf("after the release: valid %v, key %v", keeper.Valid(time.Now()), err)
		}
	})
}

// Guards against a holder that goes on after its lease may have ended, and
// against one that gives up too early. The last renewal is sent at 6 s.
func TestLeaseLost(t *testing.T) {
	tests := []struct {
		name  string
		fault func(kv *fakekv.Server)
		want  time.Duration // from the grant to the loss
	}{
		{"store down", func(kv *fakekv.Server) {
			kv.SetFaults(fakekv.Everyone, fakekv.Faults{Down: true})
		}, 6*time.Second + 8100*time.Millisecond},
		{"store slow", func(kv *fakekv.Server) {
			kv.SetFaults(fakekv.Everyone, fakekv.Faults{Slow: time.Hour})
		}, 6*time.Second + 8100*time.Millisecond},
		{"renewed but answers lost", func(kv *fakekv.Server) {
			kv.SetFaults(fakekv.Everyone, fakekv.Faults{LoseProbability: 1})
		}, 6*time.Second + 8100*time.Millisecond},
		{"lapsed in the store", func(kv *fakekv.Server) {
			kv.LapseLeases(fakekv.Everyone)
		}, 9 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := fakekv.New()
				start := time.Now()
				keeper := store.KeepLease(t.Context(), kv, ttl)
				time.Sleep(7 * time.Second)
				test.fault(kv)
				<-keeper.Lost()
				if took := time.Since(start); took != test.want {
					t.Errorf("lost after %v, want %v", took, test.want)
				}
				kv.ClearFaults()
				time.Sleep(time.Second)
				if keeper.Valid(time.Now()) {
					t.Error("valid again after the loss")
				}
			})
		})
	}
}

// pausedKV keeps the keeper's goroutine inside a renewal, as a paused process
// would; it heeds no context.
type pausedKV struct {
	store.KV
	pause  time.Duration
	before bool // the renewal reaches the service before the pause
}

func (p *pausedKV) KeepAlive(_ context.Context, id store.LeaseID) error {
	if p.before {
		defer time.Sleep(p.pause)
	} else {
		time.Sleep(p.pause)
	}
	return p.KV.KeepAlive(context.Background(), id)
}

// Guards against a holder that was paused beyond its lease and takes it for
// valid when it wakes up, before or after the late answer is seen.
func TestLeasePaused(t *testing.T) {
	for _, before := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			kv := &pausedKV{KV: fakekv.New(), pause: 10 * time.Second, before: before}
			keeper := store.KeepLease(t.Context(), kv, ttl)
			<-keeper.Granted()
			time.Sleep(8100*time.Millisecond - 1)
			if !keeper.Valid(time.Now()) {
				t.Error("not valid before the margin")
			}
			time.Sleep(time.Nanosecond)
			if keeper.Valid(time.Now()) {
				t.Error("valid within the margin while paused")
			}
			<-keeper.Lost()
			if keeper.Valid(time.Now()) {
				t.Error("valid after the pause")
			}
		})
	}
}

// Guards against a lease that is counted from the answer instead of from before
// the renewal was sent. Renewals are sent at 3 s and 6 s and answered 2 s later.
func TestLeaseCountsFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := fakekv.New()
		kv := &pausedKV{KV: server, pause: 2 * time.Second, before: true}
		keeper := store.KeepLease(t.Context(), kv, ttl)
		time.Sleep(8500 * time.Millisecond)
		server.SetFaults(fakekv.Everyone, fakekv.Faults{Down: true})
		time.Sleep(5600*time.Millisecond - 1)
		if !keeper.Valid(time.Now()) {
			t.Error("not valid before 14.1 s")
		}
		time.Sleep(time.Nanosecond)
		if keeper.Valid(time.Now()) {
			t.Error("valid at 14.1 s")
		}
		<-keeper.Lost()
	})
}

// Guards against a keeper that gives up when the store is down at the start, or
// that does not end with its context.
func TestLeaseGrantRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		kv.SetFaults(fakekv.Everyone, fakekv.Faults{Down: true})
		ctx, cancel := context.WithCancel(t.Context())
		keeper := store.KeepLease(ctx, kv, ttl)
		time.Sleep(time.Minute)
		if keeper.ID() != 0 || keeper.Valid(time.Now()) {
			t.Error("granted while the store is down")
		}
		kv.ClearFaults()
		<-keeper.Granted()
		cancel()
		<-keeper.Lost()
		if keeper.Valid(time.Now()) {
			t.Error("valid after the end of the context")
		}
	})
}

// Guards against any mix of faults that makes the keeper's view longer than
// the store's: while it is valid, the key under the lease must exist.
func TestLeaseNeverOutlivesStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides the method Deadline, which may not be called here.
		rapid.Check(struct{ rapid.TB }{t}, func(r *rapid.T) {
			kv := fakekv.New()
			keeper := store.KeepLease(r.Context(), kv.WithCaller("holder"), ttl)
			<-keeper.Granted()
			if _, err := kv.Put(r.Context(), "held", nil, 0, keeper.ID()); err != nil {
				r.Fatal(err)
			}
			for range 20 {
				kv.SetFaults("holder", fakekv.Faults{
					Down:            rapid.Bool().Draw(r, "down"),
					Slow:            time.Duration(rapid.IntRange(0, 5000).Draw(r, "slow_ms")) * time.Millisecond,
					LoseProbability: rapid.Float64Range(0, 1).Draw(r, "lose"),
				})
				time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(r, "ms")) * time.Millisecond)
				_, err := kv.Get(r.Context(), "held")
				if keeper.Valid(time.Now()) && err != nil {
					r.Fatalf("valid, but in the store: %v", err)
				}
			}
			kv.ClearFaults()
			if err := keeper.Release(context.Background()); err != nil {
				r.Fatal(err)
			}
		})
	})
}
