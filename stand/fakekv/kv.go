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
	var getErr error
	err := s.read(ctx, store.OpGet, key, func() { item, getErr = s.state.get(key) })
	if err != nil {
		return store.Item{}, err
	}
	if getErr != nil {
		return store.Item{}, opError(store.OpGet, key, getErr)
	}
	return item, nil
}

// Put implements store.KV.
func (s *Server) Put(ctx context.Context, key string, value []byte, revision int64, id store.LeaseID) (int64, error) {
	var newRevision int64
	err := s.write(ctx, store.OpPut, key, func() (err error) {
		newRevision, err = s.state.put(key, value, revision, id)
		return err
	})
	if err != nil {
		return 0, err
	}
	return newRevision, nil
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
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	var first watchSnapshot
	err := s.read(ctx, store.OpWatch, prefix, func() {
		first = s.snapshot(prefix, after, false)
		s.updateCounts(func(c *Counts) { c.Waiting++ })
	})
	if err != nil {
		return nil, 0, err
	}
	defer s.endWatch()
	for v := first; ; {
		if v.down {
			return nil, 0, opError(store.OpWatch, prefix, store.ErrUnavailable)
		}
		if v.ready {
			return v.items, v.revision, nil
		}
		expired := false
		select {
		case <-ctx.Done():
			return nil, 0, opError(store.OpWatch, prefix, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err()))
		case <-timeout.C:
			expired = true
		case <-v.changed:
		}
		s.mu.Lock()
		v = s.snapshot(prefix, after, expired)
		s.mu.Unlock()
	}
}

// watchSnapshot is the state of a watch at one moment.
type watchSnapshot struct {
	items    []store.Item // set only if ready
	revision int64
	ready    bool            // a key has changed or the wait is over, so the watch returns
	down     bool            // an outage applies to the caller, so the watch fails
	changed  <-chan struct{} // closed at the next change of a key or of the faults
}

// snapshot returns the state of a watch of prefix that reports changes after the
// revision after; expired reports whether its wait is over. The caller holds s.mu.
func (s *Server) snapshot(prefix string, after int64, expired bool) watchSnapshot {
	v := watchSnapshot{
		revision: s.state.revision,
		ready:    expired || s.state.changedSince(prefix, after),
		down:     s.isDown(),
		changed:  s.state.changed,
	}
	if v.ready {
		v.items = s.state.list(prefix)
	}
	return v
}

// endWatch removes a watch from the count of those that wait.
func (s *Server) endWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateCounts(func(c *Counts) { c.Waiting-- })
}

// Grant implements store.KV.
func (s *Server) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var id store.LeaseID
	err := s.write(ctx, store.OpGrant, "", func() error {
		id = s.state.grant(s.caller, ttl, s.expireLease)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// expireLease ends a lease whose time to live has passed.
func (s *Server) expireLease(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.state.endLease(id)
}

// KeepAlive implements store.KV.
func (s *Server) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return s.write(ctx, store.OpKeepAlive, "", func() error { return s.state.keepAlive(id) })
}

// Revoke implements store.KV.
func (s *Server) Revoke(ctx context.Context, id store.LeaseID) error {
	return s.write(ctx, store.OpRevoke, "", func() error { return s.state.endLease(id) })
}
