package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// renewalsPerTTL leaves room for two failed renewals in one time to live.
	renewalsPerTTL = 3
	// retriesPerTTL sets the pause after a failed call, so that a short
	// outage between two renewals does not cost the lease.
	retriesPerTTL = 12
	// marginsPerTTL sets the safety margin: the holder stops a tenth of the
	// time to live before the service may. It covers clocks of different
	// speed and the time between a check and its effect.
	marginsPerTTL = 10
)

// LeaseKeeper holds one lease and renews it until it is lost or released.
type LeaseKeeper struct {
	kv      KV
	ttl     time.Duration
	cancel  context.CancelFunc
	granted chan struct{}
	lost    chan struct{}
	done    chan struct{}

	mu    sync.Mutex
	id    LeaseID
	until time.Time // zero before the grant and after the loss
}

// KeepLease starts to obtain a lease of the given time to live, retrying until
// ctx ends, and then renews it every third of that time.
func KeepLease(ctx context.Context, kv KV, ttl time.Duration) *LeaseKeeper {
	ctx, cancel := context.WithCancel(ctx)
	k := &LeaseKeeper{
		kv:      kv,
		ttl:     ttl,
		cancel:  cancel,
		granted: make(chan struct{}),
		lost:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go k.run(ctx)
	return k
}

// Granted is closed when the lease has been obtained.
func (k *LeaseKeeper) Granted() <-chan struct{} { return k.granted }

// Lost is closed when the lease is no longer valid or is no longer renewed; it
// never becomes valid again.
func (k *LeaseKeeper) Lost() <-chan struct{} { return k.lost }

// ID returns the lease, or 0 before it is granted.
func (k *LeaseKeeper) ID() LeaseID {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.id
}

// Valid tells whether the lease still holds at now, which must come from
// time.Now so that it carries the monotonic time.
func (k *LeaseKeeper) Valid(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Before(k.until)
}

// Release ends the holding and then revokes the lease, which deletes its keys.
func (k *LeaseKeeper) Release(ctx context.Context) error {
	k.cancel()
	<-k.done
	id := k.ID()
	if id == 0 {
		return nil
	}
	err := k.kv.Revoke(ctx, id)
	if err == nil || errors.Is(err, ErrLeaseExpired) {
		return nil
	}
	return Error.Wrap(fmt.Errorf("release lease %d: %w", id, err))
}

func (k *LeaseKeeper) run(ctx context.Context) {
	defer close(k.done)
	defer k.lose()
	defer k.cancel()
	if sent, ok := k.obtain(ctx); ok {
		k.renew(ctx, sent)
	}
}

// obtain returns when the request for the lease was sent.
func (k *LeaseKeeper) obtain(ctx context.Context) (sent time.Time, ok bool) {
	for ctx.Err() == nil {
		sent := time.Now()
		id, err := k.grant(ctx)
		if err == nil && k.extend(id, sent) {
			close(k.granted)
			return sent, true
		}
		pause(ctx, k.retryPause())
	}
	return time.Time{}, false
}

func (k *LeaseKeeper) grant(ctx context.Context) (LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, k.ttl/renewalsPerTTL)
	defer cancel()
	return k.kv.Grant(ctx, k.ttl)
}

func (k *LeaseKeeper) renew(ctx context.Context, sent time.Time) {
	next := sent.Add(k.ttl / renewalsPerTTL)
	for {
		until := k.expiry()
		if next.After(until) {
			next = until
		}
		pause(ctx, time.Until(next))
		now := time.Now()
		if ctx.Err() != nil || !now.Before(until) {
			return
		}
		err := k.keepAlive(ctx, until)
		if errors.Is(err, ErrLeaseExpired) {
			return
		}
		if err != nil {
			next = time.Now().Add(k.retryPause())
			continue
		}
		if !k.extend(k.ID(), now) {
			return
		}
		next = now.Add(k.ttl / renewalsPerTTL)
	}
}

func (k *LeaseKeeper) keepAlive(ctx context.Context, until time.Time) error {
	limit := time.Now().Add(k.ttl / renewalsPerTTL)
	if limit.After(until) {
		limit = until
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	return k.kv.KeepAlive(ctx, k.ID())
}

// extend records a call that was sent at sent and succeeded. It returns false
// if the answer came too late to be of use, for example after a pause.
func (k *LeaseKeeper) extend(id LeaseID, sent time.Time) bool {
	until := sent.Add(k.ttl - k.ttl/marginsPerTTL)
	if !time.Now().Before(until) {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.id = id
	k.until = until
	return true
}

func (k *LeaseKeeper) lose() {
	k.mu.Lock()
	k.until = time.Time{}
	k.mu.Unlock()
	close(k.lost)
}

func (k *LeaseKeeper) expiry() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.until
}

// retryPause has jitter, so that holders do not all return to a recovering
// service at once.
func (k *LeaseKeeper) retryPause() time.Duration {
	mean := k.ttl / retriesPerTTL
	return mean/2 + rand.N(mean+1)
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
