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

// duties takes and leaves the scheduling duties of this entry.
type duties struct {
	entry *Entry
	// turn is a lock that is held during calls to the store; it is a channel so
	// that testing/synctest lets time pass while others wait for it.
	turn  chan struct{}
	lease *store.LeaseKeeper // nil without a valid registration
	held  map[string]*heldDuty
	// missing counts the refreshes in which nobody held a duty.
	missing map[string]int
	closed  bool
}

type heldDuty struct {
	epoch     int64
	scheduler *sched.Scheduler
	stop      context.CancelFunc
	done      chan struct{}
}

func newDuties(e *Entry) *duties {
	return &duties{entry: e, turn: make(chan struct{}, 1), held: make(map[string]*heldDuty), missing: make(map[string]int)}
}

func (d *duties) setLease(lease *store.LeaseKeeper) {
	d.turn <- struct{}{}
	defer func() { <-d.turn }()
	d.lease = lease
}

// update compares the duties held with what the store says.
func (d *duties) update(ctx context.Context, v *view) {
	d.turn <- struct{}{}
	defer func() { <-d.turn }()
	if d.closed {
		return
	}
	for dc, held := range d.held {
		if v.duties[dc].GetEpoch() > held.epoch {
			klog.Infof("entry: The duty of %s went to %s.", dc, v.duties[dc].GetHolder())
			d.drop(dc)
		}
	}
	for _, dc := range d.entry.dataCentres(v) {
		if err := d.consider(ctx, v, dc); err != nil {
			klog.Warningf("entry: The duty of %s could not be taken: %v.", dc, err)
		}
	}
}

// consider claims a duty that nobody holds, and starts one that is claimed.
func (d *duties) consider(ctx context.Context, v *view, dc string) error {
	holder, claimed := v.held[dc]
	_, running := d.held[dc]
	switch {
	case d.lease == nil || !d.lease.Valid(time.Now()):
		return nil
	case claimed && holder == d.entry.opts.ID && !running:
		return d.start(ctx, dc, v.duties[dc])
	case claimed:
		d.missing[dc] = 0
		return nil
	}
	d.missing[dc]++
	if d.missing[dc] <= d.patience(dc) {
		return nil
	}
	d.missing[dc] = 0
	return d.claim(ctx, dc, v.duties[dc])
}

// patience is how many refreshes a duty stays unclaimed for nearer entries, and
// for those that hold fewer duties.
func (d *duties) patience(dc string) int {
	if dc == d.entry.opts.DataCentre {
		return 0
	}
	rounds := 1 + len(d.held)
	if d.entry.regionOf(dc) != d.entry.opts.Region {
		rounds++
	}
	return rounds
}

func (d *duties) claim(ctx context.Context, dc string, current duty) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := d.entry.opts.Store.Put(ctx, heldPrefix+dc, []byte(d.entry.opts.ID), 0, d.lease.ID())
	switch {
	case errors.Is(err, store.ErrConflict):
		return nil // another entry was faster
	case err != nil:
		// If the write took effect, the next refresh finds the claim.
		return fmt.Errorf("claiming: %w", err)
	}
	return d.start(ctx, dc, current)
}

// start advances the epoch, which fences the former holder, and schedules.
func (d *duties) start(ctx context.Context, dc string, current duty) error {
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
	d.run(dc, next.GetEpoch())
	return nil
}

func (d *duties) run(dc string, epoch int64) {
	d.drop(dc)
	e := d.entry
	scheduler := sched.New(sched.Options{
		DataCentre: dc,
		Epoch:      epoch,
		Holder:     e.opts.ID,
		Store:      e.opts.Store,
		Pool:       e.pool,
		Policy:     e.opts.NewPolicy(),
		Config:     func() *decl.Set { return e.follower.Current().Set },
		Permit:     func() permit.Permit { return e.permits.permit(dc) },
		Superseded: func(int64) { e.refreshSoon() },
	})
	ctx, stop := context.WithCancel(e.life)
	held := &heldDuty{epoch: epoch, scheduler: scheduler, stop: stop, done: make(chan struct{})}
	d.held[dc] = held
	e.host.Add(scheduler)
	e.traffic.Go(func() {
		defer close(held.done)
		defer e.host.Remove(scheduler)
		scheduler.Run(ctx)
	})
}

// drop stops scheduling; what runs goes on at the agents.
func (d *duties) drop(dc string) {
	held, ok := d.held[dc]
	if !ok {
		return
	}
	held.stop()
	d.entry.host.Remove(held.scheduler)
	delete(d.held, dc)
}

// close gives all duties back, so that other entries take them at once.
func (d *duties) close(ctx context.Context) {
	d.turn <- struct{}{}
	defer func() { <-d.turn }()
	d.closed = true
	for dc := range d.held {
		d.drop(dc)
		if err := d.release(ctx, dc); err != nil {
			klog.V(1).Infof("entry: The claim of %s ends with its lease: %v.", dc, err)
		}
	}
}

// release deletes the claim if it is still this entry's.
func (d *duties) release(ctx context.Context, dc string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := d.entry.opts.Store.Get(ctx, heldPrefix+dc)
	if err != nil {
		return fmt.Errorf("reading the claim: %w", err)
	}
	if string(item.Value) != d.entry.opts.ID {
		return nil
	}
	if err := d.entry.opts.Store.Delete(ctx, heldPrefix+dc, item.Revision); err != nil {
		return fmt.Errorf("deleting the claim: %w", err)
	}
	return nil
}

// dataCentres lists the declared data centres and those of known entries.
func (e *Entry) dataCentres(v *view) []string {
	set := e.follower.Current().Set
	names := set.Names("data_centre")
	for _, registration := range v.entries {
		if _, ok := decl.Lookup[*wire.DataCentre](set, registration.GetDataCentre()); !ok {
			names = append(names, registration.GetDataCentre())
		}
	}
	return names
}

func (e *Entry) regionOf(dc string) string {
	if declared, ok := decl.Lookup[*wire.DataCentre](e.follower.Current().Set, dc); ok {
		return declared.GetRegion()
	}
	return ""
}
