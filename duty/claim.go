package duty

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/store"
)

// Error is the class of all errors of this package.
var Error = errs.Class("duty")

// ErrNotHolder means that this process does not currently hold the duty.
var ErrNotHolder = Error.New("not the holder of the duty")

// ErrGuaranteedWorkWaiting means that the holder keeps the duty because work that a
// customer's guarantee covers is waiting to be placed.
var ErrGuaranteedWorkWaiting = Error.New("guaranteed work waits")

const (
	// renewalsPerTTL is how many times the lease is renewed in its time to live,
	// so that a lost renewal does not end the claim.
	renewalsPerTTL = 4
	// renewalRetryDelay is the delay before the retry of a failed renewal.
	renewalRetryDelay = 100 * time.Millisecond
	// ttlMarginDivisor sets the safety margin: the holder treats its claim as
	// invalid ttl/ttlMarginDivisor before the lease expires, as the clocks of the
	// holder and the store may run at different speeds.
	ttlMarginDivisor = 10
	// claimDelayRoundTrips is how many round-trip times to the store a candidate
	// waits before it claims, so that one close to the store claims first.
	claimDelayRoundTrips = 4
	// maxRoundTripDelay bounds the delay that claimDelayRoundTrips gives.
	maxRoundTripDelay = 400 * time.Millisecond
	// maxSizeDelay is the delay before a claim of a candidate with close to no
	// processor capacity, so that a larger candidate claims first.
	maxSizeDelay = 600 * time.Millisecond
	// failureBackoff is how long a process does not claim the duty after its
	// scheduler failed, so that another process takes it.
	failureBackoff = 3 * time.Second
	// storeCallTimeout bounds one call to the store.
	storeCallTimeout = 700 * time.Millisecond
)

// Claim is one period in which this process holds the duty.
type Claim struct {
	Epoch      int64 // fencing token; grows with each claim
	Revision   int64 // of the claim's key in the store
	lease      store.LeaseID
	ttl        time.Duration
	validUntil atomic.Int64  // clock.Monotonic time, in ns, until which no other claim can exist
	lost       chan struct{} // closed when the claim has ended
	// yieldRequested receives a value when the holder is to give up the claim.
	yieldRequested chan struct{}
	// aborted is set once the holder must no longer act under the claim.
	aborted atomic.Bool
	// failed is set when the scheduler of this claim panicked.
	failed atomic.Bool
}

// Abort makes the claim invalid at once, so that nothing more is done under it,
// and asks for its release.
func (c *Claim) Abort() {
	c.aborted.Store(true)
	c.Yield()
}

// Yield asks the holder to release the claim and returns without waiting. The
// claim stays valid until the release.
func (c *Claim) Yield() {
	select {
	case c.yieldRequested <- struct{}{}:
	default: // already requested
	}
}

// Valid reports whether the claim holds for certain: it was not aborted, and its
// lease cannot have expired, so no other process can hold the duty.
func (c *Claim) Valid() bool {
	return !c.aborted.Load() && int64(clock.Monotonic()) < c.validUntil.Load()
}

// Lost returns a channel that is closed when the claim has ended for good.
func (c *Claim) Lost() <-chan struct{} { return c.lost }

// extend moves the end of the claim's validity after a renewal of the lease that
// was sent at the given time.
func (c *Claim) extend(sent time.Duration) {
	c.validUntil.Store(int64(sent + c.ttl - c.ttl/ttlMarginDivisor))
}

// Candidate claims the duty whenever no process holds it.
type Candidate struct {
	KV      store.TxnKV
	Name    string
	Address netip.AddrPort
	TTL     time.Duration
	// Processor is the processor capacity that this process may use, in thousandths
	// of a processor core. MaxProcessor returns that of the largest candidate; nil
	// means that all candidates are of equal size.
	Processor    int64
	MaxProcessor func() int64
	// Vacant receives a value when the local copy of the store has no claim.
	Vacant <-chan struct{}
	// Serve runs the scheduler under the claim until its context ends.
	Serve func(ctx context.Context, claim *Claim)
}

// Run claims the duty whenever it is vacant and holds it, until ctx ends; then
// it releases the claim.
func (c *Candidate) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Vacant:
		}
		claim, err := c.claim(ctx)
		if err != nil {
			if !errors.Is(err, store.ErrConflict) {
				klog.InfoS("duty: not claimed", "err", err)
				clock.Sleep(ctx, storeCallTimeout/renewalsPerTTL)
			}
			continue
		}
		claimsCounter.Add(ctx, 1)
		klog.InfoS("duty: claimed", "holder", c.Name, "epoch", claim.Epoch, "revision", claim.Revision)
		c.holdClaim(ctx, claim)
		klog.InfoS("duty: given up", "holder", c.Name, "epoch", claim.Epoch, "failed", claim.failed.Load())
		if claim.failed.Load() {
			clock.Sleep(ctx, failureBackoff)
		}
	}
}

// claim writes a new claim with the next epoch. It fails with store.ErrConflict
// if another process claimed first.
func (c *Candidate) claim(ctx context.Context) (*Claim, error) {
	sent := clock.Monotonic()
	epoch, revision, err := c.readEpoch(ctx)
	if err != nil {
		return nil, err
	}
	roundTrip := clock.Monotonic() - sent
	clock.Sleep(ctx, min(claimDelayRoundTrips*roundTrip, maxRoundTripDelay)+c.sizeDelay())
	callCtx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	grantSent := clock.Monotonic()
	lease, err := c.KV.Grant(callCtx, c.TTL)
	if err != nil {
		return nil, fmt.Errorf("granting lease of the claim: %w", err)
	}
	claim := &Claim{Epoch: epoch + 1, lease: lease, ttl: c.TTL, lost: make(chan struct{}), yieldRequested: make(chan struct{}, 1)}
	value, err := proto.Marshal(&flow.Claim{Epoch: claim.Epoch, Holder: c.Name, Address: c.Address.String(), Processor: c.Processor})
	if err != nil {
		return nil, fmt.Errorf("encoding claim: %w", err)
	}
	claim.Revision, err = c.KV.Commit(callCtx, store.Txn{
		Conditions: []store.Condition{{Key: claimKey}, {Key: epochKey, Revision: revision}},
		Writes: []store.Write{
			{Key: claimKey, Value: value, Lease: lease},
			{Key: epochKey, Value: strconv.AppendInt(nil, claim.Epoch, 10)},
		},
	})
	if err != nil {
		c.release(ctx, lease) // also removes the claim if it was written but the answer was lost
		return nil, fmt.Errorf("writing claim: %w", err)
	}
	claim.extend(grantSent)
	return claim, nil
}

// sizeDelay returns how long this candidate waits in favour of larger ones. The
// delay is proportional to how much smaller its processor capacity is than that of
// the largest candidate, relative to the latter.
func (c *Candidate) sizeDelay() time.Duration {
	if c.MaxProcessor == nil {
		return 0
	}
	best := c.MaxProcessor()
	if best <= 0 || c.Processor >= best {
		return 0
	}
	return time.Duration(float64(maxSizeDelay) * (1 - float64(c.Processor)/float64(best)))
}

// readEpoch returns the last epoch and the revision of its key, or zeros if there
// was no claim yet.
func (c *Candidate) readEpoch(ctx context.Context) (epoch, revision int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	item, err := c.KV.Get(ctx, epochKey)
	if errors.Is(err, store.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, fmt.Errorf("reading epoch: %w", err)
	}
	epoch, err = strconv.ParseInt(string(item.Value), 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("decoding epoch: %w", err)
	}
	return epoch, item.Revision, nil
}

// holdClaim serves and renews the claim until the claim is lost or yielded, or
// ctx ends; then it releases the claim. While the store is unreachable the claim
// may become invalid; it is valid again once a renewal succeeds.
func (c *Candidate) holdClaim(ctx context.Context, claim *Claim) {
	serveCtx, stop := context.WithCancel(ctx)
	served := make(chan struct{})
	go func() {
		defer close(served)
		c.Serve(serveCtx, claim)
	}()
	c.renewUntilLost(ctx, claim)
	close(claim.lost)
	stop()
	<-served
	c.release(ctx, claim.lease)
}

// renewUntilLost renews the claim until its lease has expired, a yield is
// requested or ctx ends.
func (c *Candidate) renewUntilLost(ctx context.Context, claim *Claim) {
	valid, pause := true, c.TTL/renewalsPerTTL
	for {
		select {
		case <-ctx.Done():
			return
		case <-claim.yieldRequested:
			klog.InfoS("duty: claim yielded", "epoch", claim.Epoch)
			return
		case <-time.After(pause):
		}
		sent := clock.Monotonic()
		// The timeout leaves time for a retry within the TTL if an answer is lost.
		callCtx, cancel := context.WithTimeout(ctx, min(storeCallTimeout, c.TTL/2))
		err := c.KV.KeepAlive(callCtx, claim.lease)
		cancel()
		switch {
		case err == nil:
			claim.extend(sent)
			pause = c.TTL / renewalsPerTTL
		case errors.Is(err, store.ErrLeaseExpired):
			klog.InfoS("duty: claim lost", "epoch", claim.Epoch, "err", err)
			return
		default:
			pause = renewalRetryDelay
		}
		if claim.Valid() != valid {
			valid = !valid
			klog.InfoS("duty: claim validity", "epoch", claim.Epoch, "valid", valid, "err", err)
		}
	}
}

// release revokes a lease. If that fails, the lease expires by itself.
func (c *Candidate) release(ctx context.Context, lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeCallTimeout)
	defer cancel()
	if err := c.KV.Revoke(ctx, lease); err != nil && !errors.Is(err, store.ErrLeaseExpired) {
		klog.InfoS("duty: cannot revoke the lease of the claim, it will expire", "err", err)
	}
}

// ReadClaim returns the claim of the process that holds the duty. It fails with
// store.ErrNotFound if no process does.
func ReadClaim(ctx context.Context, kv store.TxnKV) (*flow.Claim, error) {
	item, err := kv.Get(ctx, claimKey)
	if err != nil {
		return nil, fmt.Errorf("reading claim: %w", err)
	}
	claim := &flow.Claim{}
	if err := proto.Unmarshal(item.Value, claim); err != nil {
		return nil, fmt.Errorf("decoding claim: %w", err)
	}
	return claim, nil
}
