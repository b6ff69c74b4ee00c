package cache

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// startFollower runs a follower of the prefix "a/" that keeps its copy in copied, and
// returns it with a function that stops it.
func startFollower(t *testing.T, kv *fakekv.Server, copied map[string]string) (*Follower, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	f := New(kv, "a/", func(events []store.Event) {
		for _, e := range events {
			if e.Deleted {
				delete(copied, e.Key)
				continue
			}
			copied[e.Key] = string(e.Value)
		}
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	return f, func() {
		cancel()
		<-done
	}
}

func commit(t *testing.T, kv *fakekv.Server, txn store.Txn) {
	t.Helper()
	if _, err := kv.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
}

// Once the store answers again, the copy is known to be complete although no key has
// changed. If the first call after the failure waited for watchWait, callers would be
// refused for that long.
func TestCopyIsFreshAfterStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		f, stop := startFollower(t, kv.WithCaller("f"), map[string]string{})
		defer stop()
		time.Sleep(time.Second)
		kv.SetFaults("f", fakekv.Faults{Down: true})
		time.Sleep(5 * time.Second)
		kv.SetFaults("f", fakekv.Faults{})
		time.Sleep(2 * retryPause)
		synctest.Wait()
		if age, _ := f.Age(); age > 2*retryPause {
			t.Errorf("the copy is %v old, %v after the store became reachable", age, 2*retryPause)
		}
	})
}

// The copy must hold every change after a plain watch, and after a compaction or a
// failure of the store that makes the follower miss events.
func TestCopyFollowsChanges(t *testing.T) {
	tests := []struct {
		name    string
		compact bool
		down    time.Duration
	}{
		{name: "watch"},
		{name: "history is compacted", compact: true},
		{name: "store is unreachable", down: 5 * time.Second},
		{name: "store is unreachable and compacts its history", compact: true, down: 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := fakekv.New()
				commit(t, kv, store.Txn{Writes: []store.Write{{Key: "a/1", Value: []byte("x")}, {Key: "a/2", Value: []byte("x")}, {Key: "b/1"}}})
				copied := map[string]string{}
				f, stop := startFollower(t, kv.WithCaller("f"), copied)
				defer stop()
				time.Sleep(time.Second)
				kv.SetFaults("f", fakekv.Faults{Down: test.down > 0})
				time.Sleep(test.down)
				if test.down > 0 && f.FreshWithin(test.down-time.Second) {
					t.Error("the copy counts as fresh while the store is unreachable")
				}
				commit(t, kv, store.Txn{Writes: []store.Write{{Key: "a/1", Value: []byte("y")}, {Key: "a/3", Value: []byte("z")}}, Deletes: []string{"a/2"}})
				if test.compact {
					kv.Compact()
				}
				kv.SetFaults("f", fakekv.Faults{})
				time.Sleep(2 * time.Second)
				synctest.Wait()
				if len(copied) != 2 || copied["a/1"] != "y" || copied["a/3"] != "z" {
					t.Errorf("copy: %v; want a/1 changed, a/2 deleted and a/3 added", copied)
				}
				// The age counts from when the last answered call was sent, and the
				// next call is waiting.
				if !f.FreshWithin(2*watchWait + batchPause) {
					t.Error("the copy is not fresh although the store answers")
				}
			})
		})
	}
}

// Guards against a change that waits for the pause after an earlier one although
// somebody waits for it.
func TestHurryEndsPauseBetweenCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		copied := map[string]string{}
		f, stop := startFollower(t, kv.WithCaller("f"), copied)
		defer stop()
		time.Sleep(time.Second)
		commit(t, kv, store.Txn{Writes: []store.Write{{Key: "a/1", Value: []byte("x")}}})
		synctest.Wait()
		commit(t, kv, store.Txn{Writes: []store.Write{{Key: "a/2", Value: []byte("y")}}})
		synctest.Wait()
		if copied["a/1"] != "x" || copied["a/2"] != "" {
			t.Fatalf("copy during the pause: %v; want the first change alone", copied)
		}
		f.Hurry()
		synctest.Wait()
		if copied["a/2"] != "y" {
			t.Errorf("copy after Hurry: %v; want both changes", copied)
		}
	})
}
