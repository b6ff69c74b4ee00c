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

// Guards against a keeper that renews too rarely or too often, or that leaves
// its lease in the store after Release.
func TestLeaseRenewedUntilRelease(t *testing.T) {
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
		if renewals := kv.Counts(fakekv.AllCallers).ByOp[store.OpKeepAlive]; renewals != 20 {
			t.Errorf("%d renewals in a minute, want 20, one each 3 s", renewals)
		}
		if err := keeper.Release(t.Context()); err != nil {
			t.Error(err)
		}
		<-keeper.Lost()
		if _, err := kv.Get(t.Context(), "held"); !errors.Is(err, store.ErrNotFound) || keeper.Valid(time.Now()) {
			t.Errorf("after Release: valid %v, get of the key under the lease: %v", keeper.Valid(time.Now()), err)
		}
	})
}

// Guards against a lease that is valid for longer than the store may hold it,
// and against one that is lost too early. The last successful renewal is sent at
// 6 s, and the lease is valid for 8.1 s from then (9 s less a tenth).
func TestLeaseLost(t *testing.T) {
	tests := []struct {
		name  string
		fault func(kv *fakekv.Server)
		want  time.Duration // from the grant to the loss
	}{
		{"store down", func(kv *fakekv.Server) {
			kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
		}, 6*time.Second + 8100*time.Millisecond},
		{"store slow", func(kv *fakekv.Server) {
			kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Delay: time.Hour})
		}, 6*time.Second + 8100*time.Millisecond},
		{"renewed but responses lost", func(kv *fakekv.Server) {
			kv.SetFaults(fakekv.AllCallers, fakekv.Faults{LoseProbability: 1})
		}, 6*time.Second + 8100*time.Millisecond},
		{"expired in the store", func(kv *fakekv.Server) {
			kv.LapseLeases(fakekv.AllCallers)
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

// delayedRenewalKV blocks the keeper's goroutine inside a renewal, as a pause of
// the process would; it ignores the context.
type delayedRenewalKV struct {
	store.KV
	delay     time.Duration
	callFirst bool // the renewal reaches the service before the delay, not after it
}

func (p *delayedRenewalKV) KeepAlive(_ context.Context, id store.LeaseID) error {
	if p.callFirst {
		defer time.Sleep(p.delay)
	} else {
		time.Sleep(p.delay)
	}
	return p.KV.KeepAlive(context.Background(), id)
}

// Guards against a process that was paused for longer than its lease and finds
// it valid after the pause, before or after it handles the late response.
func TestLeasePaused(t *testing.T) {
	for _, callFirst := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			kv := &delayedRenewalKV{KV: fakekv.New(), delay: 10 * time.Second, callFirst: callFirst}
			keeper := store.KeepLease(t.Context(), kv, ttl)
			<-keeper.Granted()
			time.Sleep(8100*time.Millisecond - 1)
			if !keeper.Valid(time.Now()) {
				t.Error("not valid just before the safety margin begins")
			}
			time.Sleep(time.Nanosecond)
			if keeper.Valid(time.Now()) {
				t.Error("valid within the safety margin, during the pause")
			}
			<-keeper.Lost()
			if keeper.Valid(time.Now()) {
				t.Error("valid after the pause")
			}
		})
	}
}

// Guards against a lease that is counted from the response instead of from
// before the renewal was sent. Renewals are sent at 3 s and 6 s and their
// responses arrive 2 s later.
func TestLeaseCountsFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := fakekv.New()
		kv := &delayedRenewalKV{KV: server, delay: 2 * time.Second, callFirst: true}
		keeper := store.KeepLease(t.Context(), kv, ttl)
		time.Sleep(8500 * time.Millisecond)
		server.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
		time.Sleep(5600*time.Millisecond - 1)
		if !keeper.Valid(time.Now()) {
			t.Error("not valid just before 14.1 s")
		}
		time.Sleep(time.Nanosecond)
		if keeper.Valid(time.Now()) {
			t.Error("valid at 14.1 s, 8.1 s after the last successful renewal was sent")
		}
		<-keeper.Lost()
	})
}

// Guards against a keeper that stops trying when the store is down at the start,
// or that goes on after its context has ended.
func TestLeaseGrantRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
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

// Guards against a keeper that, under any mix of store faults, finds its lease
// valid after the store has ended it: while Valid is true, the key under the
// lease must exist.
func TestLeaseNeverOutlivesStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides the method Deadline, which must not be called in a
		// synctest bubble.
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
					Delay:           time.Duration(rapid.IntRange(0, 5000).Draw(r, "slow_ms")) * time.Millisecond,
					LoseProbability: rapid.Float64Range(0, 1).Draw(r, "lose"),
				})
				time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(r, "ms")) * time.Millisecond)
				_, err := kv.Get(r.Context(), "held")
				if keeper.Valid(time.Now()) && err != nil {
					r.Fatalf("the lease is valid, but the key under it can't be read: %v", err)
				}
			}
			kv.ClearFaults()
			if err := keeper.Release(context.Background()); err != nil {
				r.Fatal(err)
			}
		})
	})
}
