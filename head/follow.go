package head

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"catkinpoint/decl"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// Snapshot is the declared set as one read of the head found it.
type Snapshot struct {
	Set  *decl.Set
	Head *wire.Head
	// ReadAt is the time, from time.Now, before the latest read that found this
	// head was sent. The set was the newest published one at some moment after
	// it. It is zero before the first read.
	ReadAt time.Time
}

// Follower keeps the newest published set of one process.
type Follower struct {
	kv    store.KV
	cache partCache
	// polling is a lock that is held during reads. It is a channel because time
	// in a testing/synctest bubble does not advance while a goroutine waits for
	// a mutex.
	polling chan struct{}
	raw     []byte // head of the current snapshot as stored
	current atomic.Pointer[Snapshot]
}

// NewFollower returns a follower with an empty snapshot; Poll fills it.
func NewFollower(kv store.KV) *Follower {
	f := &Follower{kv: kv, polling: make(chan struct{}, 1)}
	f.current.Store(&Snapshot{Set: &decl.Set{}, Head: &wire.Head{}})
	return f
}

// Current returns the newest snapshot without a lock; it is never nil.
func (f *Follower) Current() *Snapshot {
	return f.current.Load()
}

// Poll reads the head and loads the parts that differ. On an error the current
// snapshot stays unchanged, with its ReadAt. It is an error if the store has an
// older version than the snapshot, or another set of the same version.
func (f *Follower) Poll(ctx context.Context) error {
	f.polling <- struct{}{}
	defer func() { <-f.polling }()
	err := f.poll(ctx)
	if errors.Is(err, store.ErrNotFound) {
		// A change and a Sweep after the head was read may have deleted one of
		// the parts of that head, so the head is read once more.
		err = f.poll(ctx)
	}
	return err
}

func (f *Follower) poll(ctx context.Context) error {
	readAt := time.Now()
	s, err := readHead(ctx, f.kv)
	if err != nil {
		return err
	}
	old := f.Current()
	if bytes.Equal(s.raw, f.raw) && !old.ReadAt.IsZero() {
		f.current.Store(&Snapshot{Set: old.Set, Head: old.Head, ReadAt: readAt})
		return nil
	}
	if !old.ReadAt.IsZero() && s.head.GetVersion() <= old.Head.GetVersion() {
		return Error.New("the store has version %d, which must not replace version %d", s.head.GetVersion(), old.Head.GetVersion())
	}
	set, err := f.cache.load(ctx, f.kv, s.head)
	if err != nil {
		return err
	}
	f.raw = s.raw
	f.current.Store(&Snapshot{Set: set, Head: s.head, ReadAt: readAt})
	return nil
}
