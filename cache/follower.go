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
	// watchWait is the longest time that one call waits for changes. It bounds the
	// age of a copy while no key changes.
	watchWait = 700 * time.Millisecond
	// reconnectWait replaces watchWait in the first call after a failure: until that
	// call is answered, it is not known that the copy is complete again.
	reconnectWait = 10 * time.Millisecond
	// retryPause is the pause after a failed call, so that a failing store is not
	// called in a busy loop.
	retryPause = 150 * time.Millisecond
	// batchPause is the pause after a call that returned changes, so that the next
	// call returns several at once: each call counts against the store's rate limit,
	// and a busy scheduler writes many times a second.
	batchPause = 150 * time.Millisecond
	// rangeTimeout bounds the read of all keys.
	rangeTimeout = 3 * time.Second
)

// Follower passes the keys under a prefix, and then each change of them, to a
// function.
type Follower struct {
	kv     store.TxnKV
	prefix string
	apply  func([]store.Event)
	// hurry ends the pause after a call that returned changes.
	hurry chan struct{}
	// completeAt is the clock.Monotonic time up to which the copy is complete, in
	// nanoseconds plus one; 0 means that it never was.
	completeAt atomic.Int64
	// lostSince is the clock.Monotonic time since which all calls have failed, in
	// nanoseconds plus one; 0 means that the last call succeeded.
	lostSince atomic.Int64
}

// New returns a follower that passes changes to apply; Run starts it.
func New(kv store.TxnKV, prefix string, apply func([]store.Event)) *Follower {
	return &Follower{kv: kv, prefix: prefix, apply: apply, hurry: make(chan struct{}, 1)}
}

// Hurry ends the pause between two calls for changes, if there is one, so that changes
// which the store already has arrive as soon as possible.
func (f *Follower) Hurry() {
	select {
	case f.hurry <- struct{}{}:
	default:
	}
}

// Age returns how long ago the copy was last known to be complete, and false
// if it never was.
func (f *Follower) Age() (time.Duration, bool) {
	completeAt := f.completeAt.Load()
	if completeAt == 0 {
		return 0, false
	}
	return clock.Monotonic() - time.Duration(completeAt-1), true
}

// FreshWithin reports whether the copy was known to be complete less than limit ago.
func (f *Follower) FreshWithin(limit time.Duration) bool {
	age, ok := f.Age()
	return ok && age < limit
}

// LostFor returns for how long all calls to the store have failed, or 0 if the last one
// succeeded.
func (f *Follower) LostFor() time.Duration {
	since := f.lostSince.Load()
	if since == 0 {
		return 0
	}
	return max(1, clock.Monotonic()-time.Duration(since-1))
}

// Run follows the keys until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	revisions := map[string]int64{}
	var after int64
	synced, lost := false, false
	for ctx.Err() == nil {
		sent := clock.Monotonic()
		var err error
		if synced {
			maxWait := watchWait
			if lost {
				maxWait = reconnectWait
			}
			after, err = f.waitForChanges(ctx, revisions, after, maxWait)
		} else {
			after, err = f.readAll(ctx, revisions)
		}
		switch {
		case err == nil:
			synced = true
			f.completeAt.Store(int64(sent) + 1)
			if lost {
				klog.InfoS("cache: store regained", "prefix", f.prefix, "revision", after)
			}
			lost = false
			f.lostSince.Store(0)
			continue
		case errors.Is(err, store.ErrCompacted):
			klog.InfoS("cache: history was compacted, reading all keys", "prefix", f.prefix, "after", after)
			synced = false
			continue
		case ctx.Err() != nil:
			return
		case !lost:
			klog.InfoS("cache: store lost", "prefix", f.prefix, "err", err)
			lost = true
			f.lostSince.Store(int64(clock.Monotonic()) + 1)
		}
		clock.Sleep(ctx, retryPause)
	}
}

// waitForChanges waits up to maxWait for changes after a revision and passes on those
// that are newer than revisions, which has the last revision of each key. It returns
// the revision after which to wait next.
func (f *Follower) waitForChanges(ctx context.Context, revisions map[string]int64, after int64, maxWait time.Duration) (int64, error) {
	events, next, err := f.kv.Events(ctx, f.prefix, after, maxWait)
	if err != nil {
		return after, fmt.Errorf("waiting for changes of %q: %w", f.prefix, err)
	}
	var changed []store.Event
	for _, e := range events {
		if e.Revision <= revisions[e.Key] {
			continue
		}
		// A deleted key keeps its entry in revisions, so that an older value of it is
		// ignored if the store returns that again.
		revisions[e.Key] = e.Revision
		changed = append(changed, e)
	}
	if len(changed) > 0 {
		f.apply(changed)
		f.pause(ctx)
	}
	return max(after, next), nil
}

// pause waits for batchPause, or until Hurry is called.
func (f *Follower) pause(ctx context.Context) {
	timer := time.NewTimer(batchPause)
	defer timer.Stop()
	select {
	case <-f.hurry:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readAll reads all keys and passes on those that are newer than revisions, which has
// the last revision of each key, and as deleted those that no longer exist. It returns
// the revision after which to wait for changes.
func (f *Follower) readAll(ctx context.Context, revisions map[string]int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, rangeTimeout)
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
	// Called without changes too, so that apply learns of the first read of an empty
	// prefix.
	f.apply(changed)
	return after, nil
}
