package cache

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/store"
)

const (
	// watchWait is the longest wait of one call for changes. It bounds the age
	// of a copy that nothing changes.
	watchWait = 700 * time.Millisecond
	// regainWait is the same for the first call after a failure: until it is
	// answered nobody knows that the copy is complete again.
	regainWait = 10 * time.Millisecond
	// retryPause keeps a failing store from being called in a loop.
	retryPause = 150 * time.Millisecond
	// gatherPause lets changes gather before the next call, because each call
	// counts against the store's rate and a busy scheduler writes many times a
	// second.
	gatherPause = 150 * time.Millisecond
	// rangeTime bounds a read of all keys.
	rangeTime = 3 * time.Second
)

// Follower keeps a copy of the keys under a prefix.
type Follower struct {
	kv     store.TxnKV
	prefix string
	apply  func([]store.Event)
	// fresh is the time up to which the copy is complete, plus one; 0 means never.
	fresh atomic.Int64
}

// New returns a follower that hands changes to apply; Run starts it.
func New(kv store.TxnKV, prefix string, apply func([]store.Event)) *Follower {
	return &Follower{kv: kv, prefix: prefix, apply: apply}
}

// Age returns how long ago the copy was last known to be complete, and false
// if it never was.
func (f *Follower) Age() (time.Duration, bool) {
	fresh := f.fresh.Load()
	if fresh == 0 {
		return 0, false
	}
	return clock.Steady() - time.Duration(fresh-1), true
}

// Younger tells whether the copy was complete less than limit ago.
func (f *Follower) Younger(limit time.Duration) bool {
	age, ok := f.Age()
	return ok && age < limit
}

// Run follows the keys until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	revisions := map[string]int64{}
	var after int64
	known, lost := false, false
	for ctx.Err() == nil {
		sent := clock.Steady()
		var err error
		if known {
			longest := watchWait
			if lost {
				longest = regainWait
			}
			after, err = f.wait(ctx, revisions, after, longest)
		} else {
			after, err = f.read(ctx, revisions)
		}
		switch {
		case err == nil:
			known = true
			f.fresh.Store(int64(sent) + 1)
			if lost {
				klog.InfoS("cache: store regained", "prefix", f.prefix, "revision", after)
			}
			lost = false
			continue
		case errors.Is(err, store.ErrCompacted):
			klog.InfoS("cache: history is gone, reading all keys", "prefix", f.prefix, "after", after)
			known = false
			continue
		case ctx.Err() != nil:
			return
		case !lost:
			klog.InfoS("cache: store lost", "prefix", f.prefix, "err", err)
			lost = true
		}
		clock.Sleep(ctx, retryPause)
	}
}

// wait hands on the changes after a revision, for which it waits at most so long.
func (f *Follower) wait(ctx context.Context, revisions map[string]int64, after int64, longest time.Duration) (int64, error) {
	events, next, err := f.kv.Events(ctx, f.prefix, after, longest)
	if err != nil {
		return after, fmt.Errorf("waiting for changes of %q: %w", f.prefix, err)
	}
	var changed []store.Event
	for _, e := range events {
		if e.Revision <= revisions[e.Key] {
			continue
		}
		// A deleted key keeps its revision, so that an older value of it that
		// is told again is passed over.
		revisions[e.Key] = e.Revision
		changed = append(changed, e)
	}
	if len(changed) > 0 {
		f.apply(changed)
		clock.Sleep(ctx, gatherPause)
	}
	return max(after, next), nil
}

// read hands on all keys, and as deleted those that were there before.
func (f *Follower) read(ctx context.Context, revisions map[string]int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, rangeTime)
	defer cancel()
	items, after, err := f.kv.Range(ctx, f.prefix)
	if err != nil {
		return 0, fmt.Errorf("reading %q: %w", f.prefix, err)
	}
	present := map[string]bool{}
	var changed []store.Event
	for _, item := range items {
		present[item.Key] = true
		if item.Revision > revisions[item.Key] {
			revisions[item.Key] = item.Revision
			changed = append(changed, store.Event{Item: item})
		}
	}
	for key := range revisions {
		if !present[key] {
			delete(revisions, key)
			changed = append(changed, store.Event{Item: store.Item{Key: key, Revision: after}, Deleted: true})
		}
	}
	// An empty list tells the first read of an empty prefix.
	f.apply(changed)
	return after, nil
}
