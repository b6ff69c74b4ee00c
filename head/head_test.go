package head

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/decl"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// publish reads the published set and publishes a change on top of it: the queue
// limit of a customer, or the deletion of the customer for a limit of 0.
func publish(t *testing.T, kv store.KV, id, name string, limit int64) (*wire.Change, error) {
	t.Helper()
	f := NewFollower(kv)
	if err := f.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	change := putCustomer(f.Current().Set, id, name, limit)
	change.Operations[0].Delete = limit == 0
	_, err := NewPublisher(f, Options{}).Publish(t.Context(), change, false)
	return change, err
}

// runInBubble runs a subtest with an empty store in a testing/synctest bubble.
func runInBubble(t *testing.T, name string, test func(t *testing.T, kv *fakeKV)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, newFakeKV(1)) })
	})
}

// TestPublishOutcomes guards against a publication that reports an outcome which
// its store calls do not prove.
func TestPublishOutcomes(t *testing.T) {
	runInBubble(t, "publishing the same change again returns its version", func(t *testing.T, kv *fakeKV) {
		change, _ := publish(t, kv, "a", "x", 5)
		publish(t, kv, "b", "x", 6)
		result, err := NewPublisher(NewFollower(kv), Options{}).Publish(t.Context(), change, false)
		if err != nil || result.Version != 1 || !result.AlreadyPublished {
			t.Errorf("the same change again: got %+v, %v, want version 1 as already published", result, err)
		}
		change.Reason = "another"
		if _, err := NewPublisher(NewFollower(kv), Options{}).Publish(t.Context(), change, false); err == nil || !strings.Contains(err.Error(), "another change with the id a") {
			t.Error(err)
		}
	})
	runInBubble(t, "conflict names the version that changed or deleted the object", func(t *testing.T, kv *fakeKV) {
		publish(t, kv, "a", "x", 5)
		publish(t, kv, "b", "y", 5)
		f := NewFollower(kv)
		f.Poll(t.Context())
		stale := putCustomer(f.Current().Set, "c", "x", 7)
		stale.Operations = append(stale.Operations, putCustomer(f.Current().Set, "c", "y", 7).Operations...)
		publish(t, kv, "d", "x", 6)
		publish(t, kv, "e", "y", 0)
		_, err := NewPublisher(f, Options{}).Publish(t.Context(), stale, false)
		want := "conflict: [customer x] was changed by version 3 after revision 1; [customer y] was deleted by version 4 after revision 2"
		if err == nil || err.Error() != want {
			t.Error(err)
		}
	})
	for _, readsFail := range []bool{true, false} {
		runInBubble(t, fmt.Sprintf("lost response before an outage gives ErrUnknown, reads fail: %v", readsFail), func(t *testing.T, kv *fakeKV) {
			publish(t, kv, "a", "x", 5)
			f := NewFollower(kv)
			f.Poll(t.Context())
			change := putCustomer(f.Current().Set, "b", "x", 6)
			lost := false
			lossyKV := &hookKV{kv, nil}
			lossyKV.before = func(_, key string) error {
				if lost {
					return store.ErrUnavailable
				}
				if key != headKey {
					return nil
				}
				lost, kv.down = true, readsFail
				// The write takes effect after the publisher has returned.
				time.AfterFunc(time.Minute, func() {
					kv.down = false
					NewPublisher(f, Options{}).Publish(context.Background(), change, false)
				})
				return store.ErrUnknown
			}
			_, err := NewPublisher(NewFollower(lossyKV), Options{}).Publish(t.Context(), change, false)
			if !errors.Is(err, store.ErrUnknown) {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Minute)
			result, err := NewPublisher(NewFollower(kv), Options{}).Publish(t.Context(), change, false)
			if err != nil || result.Version != 2 || !result.AlreadyPublished {
				t.Errorf("the change again after the outage: got %+v, %v, want version 2 as already published", result, err)
			}
		})
	}
	runInBubble(t, "outage is reported soon and as not applied", func(t *testing.T, kv *fakeKV) {
		kv.down = true
		start := time.Now()
		_, err := NewPublisher(NewFollower(kv), Options{}).Publish(t.Context(), putCustomer(&decl.Set{}, "a", "x", 1), false)
		if !errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) || time.Since(start) > 2*time.Second {
			t.Errorf("got %v after %v, want ErrUnavailable within 2 s", err, time.Since(start))
		}
	})
	runInBubble(t, "dry run and invalid sets write nothing", func(t *testing.T, kv *fakeKV) {
		p := NewPublisher(NewFollower(kv), Options{})
		result, err := p.Publish(t.Context(), putCustomer(&decl.Set{}, "a", "x", 1), true)
		if err != nil || result.Version != 1 {
			t.Errorf("dry run: got %+v, %v, want version 1", result, err)
		}
		if _, err := p.Publish(t.Context(), putCustomer(&decl.Set{}, "a", "x", -1), false); err == nil || err.Error() != "[customer x] queue_limit: -1 is below the minimum 1" {
			t.Error(err)
		}
		if len(kv.items) > 0 {
			t.Error(kv.items)
		}
	})
	runInBubble(t, "a change takes four store calls", func(t *testing.T, kv *fakeKV) {
		f := NewFollower(kv)
		p := NewPublisher(f, Options{})
		for i := range 10 {
			f.Poll(t.Context())
			clear(kv.calls)
			if _, err := p.Publish(t.Context(), putCustomer(f.Current().Set, fmt.Sprint(i), "x", 1), false); err != nil {
				t.Fatal(err)
			}
		}
		if got := fmt.Sprint(kv.calls); got != "map[get head:1 put audit/:1 put head:1 put part/:1]" {
			t.Error(got)
		}
	})
}

// hookKV calls before ahead of each put and delete; the call fails with the
// error that before returns.
type hookKV struct {
	*fakeKV
	before func(call, key string) error
}

func (h *hookKV) Put(ctx context.Context, key string, value []byte, revision int64, lease store.LeaseID) (int64, error) {
	if err := h.before("put", key); err != nil {
		return 0, err
	}
	return h.fakeKV.Put(ctx, key, value, revision, lease)
}

func (h *hookKV) Delete(ctx context.Context, key string, revision int64) error {
	if err := h.before("delete", key); err != nil {
		return err
	}
	return h.fakeKV.Delete(ctx, key, revision)
}

// TestSweep guards against the deletion of a part that a concurrent change uses.
func TestSweep(t *testing.T) {
	runInBubble(t, "during a publication", func(t *testing.T, kv *fakeKV) {
		publish(t, kv, "a", "x", 5)
		swept := false
		hook := &hookKV{kv, func(call, key string) error {
			if key == headKey && !swept {
				swept = true
				Sweep(t.Context(), kv)
			}
			return nil
		}}
		if _, err := publish(t, hook, "b", "x", 6); err != nil {
			t.Fatal(err)
		}
		if err := NewFollower(kv).Poll(t.Context()); err != nil {
			t.Error(err)
		}
	})
	runInBubble(t, "while a change uses an old part again", func(t *testing.T, kv *fakeKV) {
		other := 0
		for partOf(decl.Key{Kind: "customer", Name: fmt.Sprint(other)}) != partOf(decl.Key{Kind: "customer", Name: "x"}) {
			other++
		}
		publish(t, kv, "a", "x", 5)
		publish(t, kv, "b", fmt.Sprint(other), 5)
		hook := &hookKV{kv, func(call, key string) error {
			if call == "delete" {
				publish(t, kv, "c", fmt.Sprint(other), 0)
			}
			return nil
		}}
		if _, err := Sweep(t.Context(), hook); err != nil {
			t.Fatal(err)
		}
		f := NewFollower(kv)
		if err := f.Poll(t.Context()); err != nil || f.Current().Set.Len() != 1 {
			t.Errorf("poll after the sweep: got %d objects, %v, want 1", f.Current().Set.Len(), err)
		}
		if n, err := Sweep(t.Context(), kv); n != 1 || err != nil {
			t.Errorf("second sweep: %d parts deleted, %v, want 1", n, err)
		}
	})
}

// TestFollowerNeverGoesBack guards against a follower that accepts an older,
// empty or deleted head, or that takes the time of a failed read for ReadAt.
func TestFollowerNeverGoesBack(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, kv *fakeKV) {
		publish(t, kv, "a", "x", 5)
		old := kv.items[headKey]
		publish(t, kv, "b", "x", 6)
		f := NewFollower(kv)
		f.Poll(t.Context())
		before := f.Current()
		for _, value := range []store.Item{old, {}} {
			kv.items[headKey] = value
			if err := f.Poll(t.Context()); err == nil || f.Current() != before {
				t.Errorf("poll of an older or empty head: version %d, error %v; want an error and the same snapshot", f.Current().Set.Version(), err)
			}
		}
		delete(kv.items, headKey)
		if err := f.Poll(t.Context()); err == nil || f.Current() != before {
			t.Errorf("poll of a deleted head: version %d, error %v; want an error and the same snapshot", f.Current().Set.Version(), err)
		}
	})
}

// TestAuditDetectsTampering guards against changed or deleted audit entries that
// ReadAudit accepts, and against a wrong choice of entries for a range.
func TestAuditDetectsTampering(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, kv *fakeKV) {
		for i := range 12 {
			if _, err := publish(t, kv, fmt.Sprint("c", i), "x", int64(i+1)); err != nil {
				t.Fatal(err)
			}
		}
		for _, bounds := range []struct{ first, last, count int64 }{{1, 0, 12}, {5, 7, 3}, {12, 12, 1}, {11, 99, 2}, {13, 0, 0}, {1, 1, 1}} {
			entries, err := ReadAudit(t.Context(), kv, bounds.first, bounds.last)
			if err != nil || int64(len(entries)) != bounds.count || bounds.count > 0 && entries[0].Version != bounds.first {
				t.Errorf("ReadAudit with %+v: %d entries, %v", bounds, len(entries), err)
			}
		}
		key := auditKey(6)
		original := kv.items[key]
		e := &wire.AuditEntry{}
		unmarshal(original.Value, e)
		e.Change.Author = "mallory"
		tampered := original
		tampered.Value, _ = marshal(e)
		kv.items[key] = tampered
		if _, err := ReadAudit(t.Context(), kv, 6, 6); err == nil || !strings.Contains(err.Error(), "audit entry 6 does not match") {
			t.Error(err)
		}
		delete(kv.items, key)
		if _, err := ReadAudit(t.Context(), kv, 1, 0); err == nil || !strings.Contains(err.Error(), "audit entry 6 is missing") {
			t.Error(err)
		}
	})
}
