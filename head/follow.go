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

// Snapshot is the set of one head read.
type Snapshot struct {
	Set  *decl.Set
	Head *wire.Head
	// ReadAt is the runtime's time before the read of the head was sent; the
	// set was in force at some moment after it. It is zero before the first read.
	ReadAt time.Time
}

// Follower keeps the newest published set of one process.
type Follower struct {
	kv    store.KV
	cache partCache
	// polling is a lock that is held during reads; it is a channel so that
	// testing/synctest lets time pass while others wait for it.
	polling chan struct{}
	raw     []byte
	current atomic.Pointer[Snapshot]
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(kv store.KV) *Follower {
	f := &Follower{kv: kv, polling: make(chan struct{}, 1)}
	f.current.Store(&Snapshot{Set: &decl.Set{}, Head: &wire.Head{}})
	return f
}

// Current returns the newest snapshot without a lock; it is never nil.
func (f *Follower) Current() *Snapshot {
	return f.current.Load()
}

// Poll reads the head and loads the parts that differ. On an error the present
// snapshot stays as it is, with its age.
func (f *Follower) Poll(ctx context.Context) error {
	f.polling <- struct{}{}
	defer func() { <-f.polling }()
	err := f.poll(ctx)
	if errors.Is(err, store.ErrNotFound) {
		// A part may be swept between the reads of an old head and of the part.
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
