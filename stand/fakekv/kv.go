package fakekv

import (
	"context"
	"fmt"
	"time"

	"catkinpoint/store"
)

// Get implements store.KV.
func (s *Server) Get(ctx context.Context, key string) (store.Item, error) {
	var item store.Item
	var missing error
	err := s.read(ctx, store.OpGet, key, func() { item, missing = s.state.get(key) })
	if err != nil {
		return store.Item{}, err
	}
	if missing != nil {
		return store.Item{}, fail(store.OpGet, key, missing)
	}
	return item, nil
}

// Put implements store.KV.
func (s *Server) Put(ctx context.Context, key string, value []byte, revision int64, id store.LeaseID) (int64, error) {
	var written int64
	err := s.write(ctx, store.OpPut, key, func() (err error) {
		written, err = s.state.put(key, value, revision, id)
		return err
	})
	if err != nil {
		return 0, err
	}
	return written, nil
}

// Delete implements store.KV.
func (s *Server) Delete(ctx context.Context, key string, revision int64) error {
	return s.write(ctx, store.OpDelete, key, func() error {
		return s.state.delete(key, revision)
	})
}

// List implements store.KV.
func (s *Server) List(ctx context.Context, prefix string) ([]store.Item, error) {
	var list []store.Item
	err := s.read(ctx, store.OpList, prefix, func() { list = s.state.list(prefix) })
	return list, err
}

// Watch implements store.KV.
func (s *Server) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Item, int64, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	var first view
	err := s.read(ctx, store.OpWatch, prefix, func() {
		first = s.look(prefix, after, false)
		s.eachCount(func(c *Counts) { c.Waiting++ })
	})
	if err != nil {
		return nil, 0, err
	}
	defer s.leave()
	for v := first; ; {
		if v.down {
			return nil, 0, fail(store.OpWatch, prefix, store.ErrUnavailable)
		}
		if v.complete {
			return v.items, v.revision, nil
		}
		expired := false
		select {
		case <-ctx.Done():
			return nil, 0, fail(store.OpWatch, prefix, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err()))
		case <-limit.C:
			expired = true
		case <-v.next:
		}
		s.mu.Lock()
		v = s.look(prefix, after, expired)
		s.mu.Unlock()
	}
}

// view is what a watch sees at one moment.
type view struct {
	items    []store.Item
	revision int64
	complete bool // the watch returns with this view
	down     bool
	next     <-chan struct{} // closed at the next change
}

func (s *Server) look(prefix string, after int64, expired bool) view {
	v := view{
		revision: s.state.revision,
		complete: expired || s.state.changedSince(prefix, after),
		down:     s.down(),
		next:     s.state.changed,
	}
	if v.complete {
		v.items = s.state.list(prefix)
	}
	return v
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eachCount(func(c *Counts) { c.Waiting-- })
}

// Grant implements store.KV.
func (s *Server) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var id store.LeaseID
	err := s.write(ctx, store.OpGrant, "", func() error {
		id = s.state.grant(s.caller, ttl, s.expire)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

func (s *Server) expire(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.state.end(id)
}

// KeepAlive implements store.KV.
func (s *Server) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return s.write(ctx, store.OpKeepAlive, "", func() error { return s.state.keepAlive(id) })
}

// Revoke implements store.KV.
func (s *Server) Revoke(ctx context.Context, id store.LeaseID) error {
	return s.write(ctx, store.OpRevoke, "", func() error { return s.state.end(id) })
}
