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

// ErrNotHolder means that this process does not hold the duty now.
var ErrNotHolder = Error.New("not the holder of the duty")

// ErrReclaiming means that the duty is not given up while guaranteed work waits.
var ErrReclaiming = Error.New("guaranteed work waits")

const (
	// renewalsPerTTL leaves room for lost renewals in one time to live.
	renewalsPerTTL = 4
	// renewalPause is the pause after a renewal that failed.
	renewalPause = 100 * time.Millisecond
	// claimMargin is the part of the time to live at which the holder stops
	// early, for clocks of different speed.
	claimMargin = 10
	// nearness is how many round trips to the store a candidate waits, so that
	// one close to the store claims first.
	nearness = 4
	// maxNearness bounds that wait.
	maxNearness = 400 * time.Millisecond
	// maxDeference is how long a candidate with hardly any processor waits, so
	// that a larger one claims first.
	maxDeference = 600 * time.Millisecond
	// failurePause is how long a process leaves the duty to others after it could
	// not do it.
	failurePause = 3 * time.Second
	// claimCallTime bounds one call for the claim.
	claimCallTime = 700 * time.Millisecond
)

// Claim is one holding of the duty.
type Claim struct {
	Epoch    int64
	Revision int64 // of the claim's key
	lease    store.LeaseID
	ttl      time.Duration
	until    atomic.Int64 // steady time up to which the claim surely holds
	lost     chan struct{}
	// yield is signalled when the claim is to be given up for a better holder.
	yield chan struct{}
	// ended tells that the holder must not act under the claim any more.
	ended atomic.Bool
	// failed tells that this process could not do the duty.
	failed atomic.Bool
}

// End stops all that is done under the claim at once and gives it up.
func (c *Claim) End() {
	c.ended.Store(true)
	c.Yield()
}

// Yield asks the holder to give up the claim as planned; it does not wait.
func (c *Claim) Yield() {
	select {
	case c.yield <- struct{}{}:
	default: // asked before
	}
}

// Valid tells whether no other process can hold the duty now.
func (c *Claim) Valid() bool {
	return !c.ended.Load() && int64(clock.Steady()) < c.until.Load()
}

// Lost is closed when the claim has ended for good.
func (c *Claim) Lost() <-chan struct{} { return c.lost }

func (c *Claim) extend(sent time.Duration) {
	c.until.Store(int64(sent + c.ttl - c.ttl/claimMargin))
}

// Candidate claims the duty whenever it is free.
type Candidate struct {
	KV      store.TxnKV
	Name    string
	Address netip.AddrPort
	TTL     time.Duration
	// Processor is what this process may use, in thousandths of a processor, and
	// Best what the largest candidate may; nil means that all are alike.
	Processor int64
	Best      func() int64
	// Vacant is signalled when the copy of the store shows no claim.
	Vacant <-chan struct{}
	// Serve does the duty until its context ends.
	Serve func(ctx context.Context, claim *Claim)
}

// Run claims and serves until ctx ends, and then gives up the claim.
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
				clock.Sleep(ctx, claimCallTime/renewalsPerTTL)
			}
			continue
		}
		claimsCount.Add(ctx, 1)
		klog.InfoS("duty: claimed", "holder", c.Name, "epoch", claim.Epoch, "revision", claim.Revision)
		c.hold(ctx, claim)
		klog.InfoS("duty: given up", "holder", c.Name, "epoch", claim.Epoch, "failed", claim.failed.Load())
		if claim.failed.Load() {
			clock.Sleep(ctx, failurePause)
		}
	}
}

// claim takes the duty, or fails with ErrConflict if another process was first.
func (c *Candidate) claim(ctx context.Context) (*Claim, error) {
	sent := clock.Steady()
	epoch, revision, err := c.readEpoch(ctx)
	if err != nil {
		return nil, err
	}
	roundTrip := clock.Steady() - sent
	clock.Sleep(ctx, min(nearness*roundTrip, maxNearness)+c.deference())
	call, cancel := context.WithTimeout(ctx, 2*claimCallTime)
	defer cancel()
	granted := clock.Steady()
	lease, err := c.KV.Grant(call, c.TTL)
	if err != nil {
		return nil, fmt.Errorf("granting lease of the claim: %w", err)
	}
	claim := &Claim{Epoch: epoch + 1, lease: lease, ttl: c.TTL, lost: make(chan struct{}), yield: make(chan struct{}, 1)}
	value, err := proto.Marshal(&flow.Claim{Epoch: claim.Epoch, Holder: c.Name, Address: c.Address.String(), Processor: c.Processor})
	if err != nil {
		return nil, fmt.Errorf("encoding claim: %w", err)
	}
	claim.Revision, err = c.KV.Commit(call, store.Txn{
		Conditions: []store.Condition{{Key: claimKey}, {Key: epochKey, Revision: revision}},
		Writes: []store.Write{
			{Key: claimKey, Value: value, Lease: lease},
			{Key: epochKey, Value: strconv.AppendInt(nil, claim.Epoch, 10)},
		},
	})
	if err != nil {
		c.release(ctx, lease) // also undoes a claim whose answer was lost
		return nil, fmt.Errorf("writing claim: %w", err)
	}
	claim.extend(granted)
	return claim, nil
}

// deference is the wait of a candidate that is smaller than others, in
// proportion to what it lacks.
func (c *Candidate) deference() time.Duration {
	if c.Best == nil {
		return 0
	}
	best := c.Best()
	if best <= 0 || c.Processor >= best {
		return 0
	}
	return time.Duration(float64(maxDeference) * (1 - float64(c.Processor)/float64(best)))
}

func (c *Candidate) readEpoch(ctx context.Context) (epoch, revision int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, claimCallTime)
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

// hold renews the claim and serves until it is lost or ctx ends. While the
// store is away the claim is not valid, but it is if a renewal succeeds later.
func (c *Candidate) hold(ctx context.Context, claim *Claim) {
	serving, stop := context.WithCancel(ctx)
	served := make(chan struct{})
	go func() {
		defer close(served)
		c.Serve(serving, claim)
	}()
	c.renew(ctx, claim)
	close(claim.lost)
	stop()
	<-served
	c.release(ctx, claim.lease)
}

func (c *Candidate) renew(ctx context.Context, claim *Claim) {
	valid, pause := true, c.TTL/renewalsPerTTL
	for {
		select {
		case <-ctx.Done():
			return
		case <-claim.yield:
			klog.InfoS("duty: claim yielded", "epoch", claim.Epoch)
			return
		case <-time.After(pause):
		}
		sent := clock.Steady()
		// A lost answer must leave time for another try within the time to live.
		call, cancel := context.WithTimeout(ctx, min(claimCallTime, c.TTL/2))
		err := c.KV.KeepAlive(call, claim.lease)
		cancel()
		switch {
		case err == nil:
			claim.extend(sent)
			pause = c.TTL / renewalsPerTTL
		case errors.Is(err, store.ErrLeaseExpired):
			klog.InfoS("duty: claim lost", "epoch", claim.Epoch, "err", err)
			return
		default:
			pause = renewalPause
		}
		if claim.Valid() != valid {
			valid = !valid
			klog.InfoS("duty: claim validity", "epoch", claim.Epoch, "valid", valid, "err", err)
		}
	}
}

// release ends a lease. If that fails, the lease ends by itself.
func (c *Candidate) release(ctx context.Context, lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimCallTime)
	defer cancel()
	if err := c.KV.Revoke(ctx, lease); err != nil && !errors.Is(err, store.ErrLeaseExpired) {
		klog.InfoS("duty: lease not released", "err", err)
	}
}

// ReadClaim reads who holds the duty, or returns store.ErrNotFound.
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
