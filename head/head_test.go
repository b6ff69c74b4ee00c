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

// publish polls and publishes one limit of a customer, or deletes the customer for a limit of 0.
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

func inBubble(t *testing.T, name string, test func(t *testing.T, kv *fakeKV)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, newFakeKV(1)) })
	})
}

// TestOutcomes guards against an outcome that is guessed.
func TestOutcomes(t *testing.T) {
	inBubble(t, "repeated id gives its version", func(t *testing.T, kv *fakeKV) {
		change, _ := publish(t, kv, "a", "x", 5)
		publish(t, kv, "b", "x", 6)
		result, err := NewPublisher(NewFollower(kv), Options{}).Publish(t.Context(), change, false)
		if err != nil || result.Version != 1 || !result.Repeated {
			t.Errorf("%+v, %v", result, err)
		}
		change.Reason = "another"
		if _, err := NewPublisher(NewFollower(kv), Options{}).Publish(t.Context(), change, false); err == nil || !strings.Contains(err.Error(), "another change with the id a") {
			t.Error(err)
		}
	})
	inBubble(t, "conflict names the winner, also of a deletion", func(t *testing.T, kv *fakeKV) {
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
	for _, all := range []bool{true, false} {
		inBubble(t, fmt.Sprintf("lost answer before an outage is unknown, of all calls %v", all), func(t *testing.T, kv *fakeKV) {
			publish(t, kv, "a", "x", 5)
			f := NewFollower(kv)
			f.Poll(t.Context())
			change := putCustomer(f.Current().Set, "b", "x", 6)
			lost := false
			lossy := &hookKV{kv, nil}
			lossy.before = func(_, key string) error {
				if lost {
					return store.ErrUnavailable
				}
				if key != headKey {
					return nil
				}
				lost, kv.down = true, all
				// The write arrives after the publisher has given up.
				time.AfterFunc(time.Minute, func() {
					kv.down = false
					NewPublisher(f, Options{}).Publish(context.Background(), change, false)
				})
				return store.ErrUnknown
			}
			_, err := NewPublisher(NewFollower(lossy), Options{}).Publish(t.Context(), change, false)
			if !errors.Is(err, store.ErrUnknown) {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Minute)
			result, err := NewPublisher(NewFollower(kv), Options{}).Publish(t.Context(), change, false)
			if err != nil || result.Version != 2 || !result.Repeated {
				t.Errorf("%+v, %v", result, err)
			}
		})
	}
	inBubble(t, "outage is reported soon and as not applied", func(t *testing.T, kv *fakeKV) {
		kv.down = true
		start := time.Now()
		_, err := NewPublisher(NewFollower(kv), Options{}).Publish(t.Context(), putCustomer(&decl.Set{}, "a", "x", 1), false)
		if !errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) || time.Since(start) > 2*time.Second {
			t.Errorf("%v after %v", err, time.Since(start))
		}
	})
	inBubble(t, "dry run and invalid sets write nothing", func(t *testing.T, kv *fakeKV) {
		p := NewPublisher(NewFollower(kv), Options{})
		result, err := p.Publish(t.Context(), putCustomer(&decl.Set{}, "a", "x", 1), true)
		if err != nil || result.Version != 1 {
			t.Errorf("%+v, %v", result, err)
		}
		if _, err := p.Publish(t.Context(), putCustomer(&decl.Set{}, "a", "x", -1), false); err == nil || err.Error() != "[customer x] queue_limit: -1 is below the minimum 1" {
			t.Error(err)
		}
		if len(kv.items) > 0 {
			t.Error(kv.items)
		}
	})
	inBubble(t, "a change takes four store calls", func(t *testing.T, kv *fakeKV) {
		f := NewFollower(kv)
		p := NewPublisher(f, Options{})
		for i := range 10 {
			f.Poll(t.Context())
			clear(kv.calls)
			if _, err := p.Publish(t.Context(), putCustomer(f.Current().Set, fmt.Sprint(i), "x", 1), false); err != nil {
				t.Fatal(err)
			}
		}
		if have := fmt.Sprint(kv.calls); have != "map[get head:1 put audit/:1 put head:1 put part/:1]" {
			t.Error(have)
		}
	})
}

// hookKV runs a test's own step before a call.
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

// TestSweep guards against deleting a part that a racing change uses.
func TestSweep(t *testing.T) {
	inBubble(t, "during a publication", func(t *testing.T, kv *fakeKV) {
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
	inBubble(t, "while a change brings an old part back", func(t *testing.T, kv *fakeKV) {
		other := 0
		for bucketOf(decl.Key{Kind: "customer", Name: fmt.Sprint(other)}) != bucketOf(decl.Key{Kind: "customer", Name: "x"}) {
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
			t.Errorf("%d objects, %v", f.Current().Set.Len(), err)
		}
		if n, err := Sweep(t.Context(), kv); n != 1 || err != nil {
			t.Errorf("%d parts deleted, %v", n, err)
		}
	})
}

// TestFollowerKeepsVersion guards against a follower that goes back, or that dates a set by a failed read.
func TestFollowerKeepsVersion(t *testing.T) {
	inBubble(t, "", func(t *testing.T, kv *fakeKV) {
		publish(t, kv, "a", "x", 5)
		old := kv.items[headKey]
		publish(t, kv, "b", "x", 6)
		f := NewFollower(kv)
		f.Poll(t.Context())
		before := f.Current()
		for _, value := range []store.Item{old, {}} {
			kv.items[headKey] = value
			if err := f.Poll(t.Context()); err == nil || f.Current() != before {
				t.Errorf("version %d, %v", f.Current().Set.Version(), err)
			}
		}
		delete(kv.items, headKey)
		if err := f.Poll(t.Context()); err == nil || f.Current() != before {
			t.Errorf("version %d, %v", f.Current().Set.Version(), err)
		}
	})
}

// TestAuditFindsTampering guards against a trail that was changed or cut without notice.
func TestAuditFindsTampering(t *testing.T) {
	inBubble(t, "", func(t *testing.T, kv *fakeKV) {
		for i := range 12 {
			if _, err := publish(t, kv, fmt.Sprint("c", i), "x", int64(i+1)); err != nil {
				t.Fatal(err)
			}
		}
		for _, r := range []struct{ first, last, n int64 }{{1, 0, 12}, {5, 7, 3}, {12, 12, 1}, {11, 99, 2}, {13, 0, 0}, {1, 1, 1}} {
			entries, err := ReadAudit(t.Context(), kv, r.first, r.last)
			if err != nil || int64(len(entries)) != r.n || r.n > 0 && entries[0].Version != r.first {
				t.Errorf("%+v: %d entries, %v", r, len(entries), err)
			}
		}
		key := auditKey(6)
		good := kv.items[key]
		e := &wire.AuditEntry{}
		unmarshal(good.Value, e)
		e.Change.Author = "mallory"
		bad := good
		bad.Value, _ = marshal(e)
		kv.items[key] = bad
		if _, err := ReadAudit(t.Context(), kv, 6, 6); err == nil || !strings.Contains(err.Error(), "audit entry 6 does not match") {
			t.Error(err)
		}
		delete(kv.items, key)
		if _, err := ReadAudit(t.Context(), kv, 1, 0); err == nil || !strings.Contains(err.Error(), "audit entry 6 is missing") {
			t.Error(err)
		}
	})
}
