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
	// renewalsPerTTL sets the time between two renewals; with three in one time
	// to live, two may fail without the loss of the lease.
	renewalsPerTTL = 3
	// retriesPerTTL sets the mean delay after a failed call, so that a short
	// outage at the time of a renewal does not cost the lease.
	retriesPerTTL = 12
	// marginsPerTTL sets the safety margin: the keeper treats the lease as
	// expired a tenth of the time to live before the service may end it. The
	// margin covers clocks of different speed and the time between a call of
	// Valid and the action that depends on it.
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

	mu         sync.Mutex
	id         LeaseID
	validUntil time.Time // with the safety margin taken off; zero before the grant and after the loss
}

// KeepLease starts a goroutine that obtains a lease of the given time to live,
// retrying until ctx ends, and then renews it each third of that time.
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

// Valid reports whether the lease is still held at now, which must come from
// time.Now so that it carries a monotonic clock reading.
func (k *LeaseKeeper) Valid(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Before(k.validUntil)
}

// Release stops the renewals and then revokes the lease, which deletes its keys.
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
	defer k.markLost()
	defer k.cancel()
	if sentAt, ok := k.obtain(ctx); ok {
		k.renew(ctx, sentAt)
	}
}

// obtain requests the lease until it is granted and returns the time at which
// the successful request was sent, or false if ctx ended first.
func (k *LeaseKeeper) obtain(ctx context.Context) (sentAt time.Time, ok bool) {
	for ctx.Err() == nil {
		sentAt := time.Now()
		id, err := k.grant(ctx)
		if err == nil && k.extend(id, sentAt) {
			close(k.granted)
			return sentAt, true
		}
		sleep(ctx, k.retryDelay())
	}
	return time.Time{}, false
}

func (k *LeaseKeeper) grant(ctx context.Context) (LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, k.ttl/renewalsPerTTL)
	defer cancel()
	return k.kv.Grant(ctx, k.ttl)
}

// renew keeps the lease, whose grant was sent at sentAt, until it is lost or ctx ends.
func (k *LeaseKeeper) renew(ctx context.Context, sentAt time.Time) {
	nextRenewal := sentAt.Add(k.ttl / renewalsPerTTL)
	for {
		validUntil := k.expiry()
		if nextRenewal.After(validUntil) {
			nextRenewal = validUntil
		}
		sleep(ctx, time.Until(nextRenewal))
		now := time.Now()
		if ctx.Err() != nil || !now.Before(validUntil) {
			return
		}
		err := k.keepAlive(ctx, validUntil)
		if errors.Is(err, ErrLeaseExpired) {
			return
		}
		if err != nil {
			nextRenewal = time.Now().Add(k.retryDelay())
			continue
		}
		if !k.extend(k.ID(), now) {
			return
		}
		nextRenewal = now.Add(k.ttl / renewalsPerTTL)
	}
}

func (k *LeaseKeeper) keepAlive(ctx context.Context, validUntil time.Time) error {
	deadline := time.Now().Add(k.ttl / renewalsPerTTL)
	if deadline.After(validUntil) {
		deadline = validUntil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return k.kv.KeepAlive(ctx, k.ID())
}

// extend records that the grant or renewal sent at sentAt succeeded. The lease
// is counted from that time, because the service may have received the call at
// once. It returns false if the lease so counted has run out already, for
// example because the process was paused.
func (k *LeaseKeeper) extend(id LeaseID, sentAt time.Time) bool {
	validUntil := sentAt.Add(k.ttl - k.ttl/marginsPerTTL)
	if !time.Now().Before(validUntil) {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.id = id
	k.validUntil = validUntil
	return true
}

func (k *LeaseKeeper) markLost() {
	k.mu.Lock()
	k.validUntil = time.Time{}
	k.mu.Unlock()
	close(k.lost)
}

func (k *LeaseKeeper) expiry() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.validUntil
}

// retryDelay returns the delay after a failed call. It has jitter, so that
// holders do not all call a recovering service at once.
func (k *LeaseKeeper) retryDelay() time.Duration {
	mean := k.ttl / retriesPerTTL
	return mean/2 + rand.N(mean+1)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
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
