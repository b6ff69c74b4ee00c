package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/decl"
	"catkinpoint/permit"
	"catkinpoint/sched"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// dutyManager claims and releases the scheduling duties of this entry, and runs a
// scheduler for each duty that it holds.
type dutyManager struct {
	entry *Entry
	// lock is held during calls to the store. It is a channel and not a mutex, so
	// that testing/synctest lets time pass while other goroutines wait for it.
	lock  chan struct{}
	lease *store.LeaseKeeper   // nil without a valid registration
	held  map[string]*heldDuty // by data centre
	// unclaimedRefreshes counts, by data centre, the refreshes in a row in which
	// nobody held the duty.
	unclaimedRefreshes map[string]int
	closed             bool // set by releaseAll; no duty is claimed after it
}

// heldDuty is a duty that this entry holds, with the scheduler that serves it.
type heldDuty struct {
	epoch     int64
	scheduler *sched.Scheduler
	stop      context.CancelFunc
	done      chan struct{} // closed when the scheduler has stopped
}

func newDutyManager(e *Entry) *dutyManager {
	return &dutyManager{entry: e, lock: make(chan struct{}, 1), held: make(map[string]*heldDuty), unclaimedRefreshes: make(map[string]int)}
}

// setLease sets the lease of the registration, to which claims are attached, or
// nil when it is lost.
func (d *dutyManager) setLease(lease *store.LeaseKeeper) {
	d.lock <- struct{}{}
	defer func() { <-d.lock }()
	d.lease = lease
}

// reconcile stops the schedulers of duties that another entry has taken over
// according to the view, and claims duties that nobody holds.
func (d *dutyManager) reconcile(ctx context.Context, v *clusterView) {
	d.lock <- struct{}{}
	defer func() { <-d.lock }()
	if d.closed {
		return
	}
	for dc, held := range d.held {
		if v.duties[dc].GetEpoch() > held.epoch {
			klog.Infof("entry: The scheduling duty of data centre %s was taken over by entry %s.", dc, v.duties[dc].GetHolder())
			d.stopScheduler(dc)
		}
	}
	for _, dc := range d.entry.dataCentres(v) {
		if err := d.claimOrStart(ctx, v, dc); err != nil {
			klog.Warningf("entry: The scheduling duty of data centre %s could not be taken over: %v.", dc, err)
		}
	}
}

// claimOrStart claims the duty of the data centre if nobody holds it, and takes
// it over if this entry has the claim but runs no scheduler.
func (d *dutyManager) claimOrStart(ctx context.Context, v *clusterView, dc string) error {
	holder, claimed := v.claims[dc]
	_, running := d.held[dc]
	switch {
	case d.lease == nil || !d.lease.Valid(time.Now()):
		return nil
	case claimed && holder == d.entry.opts.ID && !running:
		return d.takeOver(ctx, dc, v.duties[dc])
	case claimed:
		d.unclaimedRefreshes[dc] = 0
		return nil
	}
	d.unclaimedRefreshes[dc]++
	if d.unclaimedRefreshes[dc] <= d.claimDelay(dc) {
		return nil
	}
	d.unclaimedRefreshes[dc] = 0
	return d.claim(ctx, dc, v.duties[dc])
}

// claimDelay returns how many refreshes this entry leaves an unclaimed duty to
// entries that are nearer to the data centre or hold fewer duties.
func (d *dutyManager) claimDelay(dc string) int {
	if dc == d.entry.opts.DataCentre {
		return 0
	}
	refreshes := 1 + len(d.held)
	if d.entry.regionOf(dc) != d.entry.opts.Region {
		refreshes++
	}
	return refreshes
}

// claim writes a claim under the entry's lease, and takes the duty over. It
// returns nil if another entry has claimed the duty first.
func (d *dutyManager) claim(ctx context.Context, dc string, current storedDuty) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := d.entry.opts.Store.Put(ctx, claimPrefix+dc, []byte(d.entry.opts.ID), 0, d.lease.ID())
	switch {
	case errors.Is(err, store.ErrConflict):
		return nil // another entry was faster
	case err != nil:
		// If the write took effect, the next refresh finds the claim.
		return fmt.Errorf("claiming: %w", err)
	}
	return d.takeOver(ctx, dc, current)
}

// takeOver advances the epoch, which fences the former holder, and starts a
// scheduler.
func (d *dutyManager) takeOver(ctx context.Context, dc string, current storedDuty) error {
	next := &wire.Duty{
		Epoch:   current.GetEpoch() + 1,
		Holder:  d.entry.opts.ID,
		Address: d.entry.opts.RPCAddress.String(),
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return fmt.Errorf("encoding duty: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := d.entry.opts.Store.Put(ctx, dutyPrefix+dc, data, current.revision, 0); err != nil {
		// After a lost answer the next refresh reads the epoch and advances again.
		return fmt.Errorf("advancing the epoch: %w", err)
	}
	d.startScheduler(dc, next.GetEpoch())
	return nil
}

// startScheduler runs a scheduler with the epoch, in place of one with an earlier
// epoch.
func (d *dutyManager) startScheduler(dc string, epoch int64) {
	d.stopScheduler(dc)
	e := d.entry
	scheduler := sched.New(sched.Options{
		DataCentre:   dc,
		Epoch:        epoch,
		Holder:       e.opts.ID,
		Store:        e.opts.Store,
		Pool:         e.pool,
		Policy:       e.opts.NewPolicy(),
		Config:       func() *decl.Set { return e.follower.Current().Set },
		Permit:       func() permit.Permit { return e.permits.permit(dc) },
		OnSuperseded: func(int64) { e.refreshSoon() },
	})
	ctx, stop := context.WithCancel(e.runCtx)
	held := &heldDuty{epoch: epoch, scheduler: scheduler, stop: stop, done: make(chan struct{})}
	d.held[dc] = held
	e.host.Add(scheduler)
	e.background.Go(func() {
		defer close(held.done)
		defer e.host.Remove(scheduler)
		scheduler.Run(ctx)
	})
}

// stopScheduler stops the data centre's scheduler, if this entry runs it. Tasks
// that run go on at the agents.
func (d *dutyManager) stopScheduler(dc string) {
	held, ok := d.held[dc]
	if !ok {
		return
	}
	held.stop()
	d.entry.host.Remove(held.scheduler)
	delete(d.held, dc)
}

// releaseAll stops all schedulers and releases their duties, so that other entries
// can take them over at once.
func (d *dutyManager) releaseAll(ctx context.Context) {
	d.lock <- struct{}{}
	defer func() { <-d.lock }()
	d.closed = true
	for dc := range d.held {
		d.stopScheduler(dc)
		if err := d.releaseClaim(ctx, dc); err != nil {
			klog.V(1).Infof("entry: The claim of data centre %s could not be released and ends with its lease: %v.", dc, err)
		}
	}
}

// releaseClaim deletes the claim of the data centre if this entry still has it.
func (d *dutyManager) releaseClaim(ctx context.Context, dc string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := d.entry.opts.Store.Get(ctx, claimPrefix+dc)
	if err != nil {
		return fmt.Errorf("reading the claim: %w", err)
	}
	if string(item.Value) != d.entry.opts.ID {
		return nil
	}
	if err := d.entry.opts.Store.Delete(ctx, claimPrefix+dc, item.Revision); err != nil {
		return fmt.Errorf("deleting the claim: %w", err)
	}
	return nil
}

// dataCentres lists the declared data centres, followed by undeclared ones in
// which entries are registered.
func (e *Entry) dataCentres(v *clusterView) []string {
	set := e.follower.Current().Set
	names := set.Names("data_centre")
	for _, registration := range v.entries {
		if _, ok := decl.Lookup[*wire.DataCentre](set, registration.GetDataCentre()); !ok {
			names = append(names, registration.GetDataCentre())
		}
	}
	return names
}

// regionOf returns the region of a declared data centre, or "".
func (e *Entry) regionOf(dc string) string {
	if declared, ok := decl.Lookup[*wire.DataCentre](e.follower.Current().Set, dc); ok {
		return declared.GetRegion()
	}
	return ""
}
