package entry

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/store"
	"catkinpoint/wire"
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = time.Second
	// storeRetry is the pause before a call to the store is repeated, and before a
	// refresh that was requested.
	storeRetry = 250 * time.Millisecond
	// statusTimeout bounds the status requests to other entries, and a cancellation
	// sent to a scheduler.
	statusTimeout = time.Second

	// Prefixes of keys in the store: registrations by entry id, the epoch and holder of
	// each duty by data centre, and the leased claim to each duty by data centre.
	entryPrefix = "entry/"
	dutyPrefix  = "duty/"
	claimPrefix = "held/"
)

// clusterView is what this entry last read about the entries and duties of the
// system. It is immutable.
type clusterView struct {
	entries []*wire.EntryRegistration
	duties  map[string]storedDuty // by data centre
	claims  map[string]string     // holder of the claim, by data centre
	// dutyStatuses holds the status of each duty that an entry reported, by data
	// centre.
	dutyStatuses map[string]*wire.DutyStatus
}

// storedDuty is a duty as read from the store; the zero value stands for one that
// was never held.
type storedDuty struct {
	*wire.Duty
	revision int64 // of the key in the store
}

// schedulerAddress returns the address of the data centre's scheduler, and false if
// none is known.
func (v *clusterView) schedulerAddress(dc string) (netip.AddrPort, bool) {
	d, ok := v.duties[dc]
	if !ok {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(d.GetAddress())
	return addr, err == nil
}

// keepRegistered keeps this entry registered under a lease until ctx ends. A lost
// lease is replaced by a new one.
func (e *Entry) keepRegistered(ctx context.Context) error {
	for ctx.Err() == nil {
		lease := store.KeepLease(ctx, e.opts.Store, e.opts.LeaseTTL)
		select {
		case <-lease.Granted():
			e.writeRegistration(ctx, lease)
			e.duties.setLease(lease)
		case <-ctx.Done():
		}
		select {
		case <-lease.Lost():
			if ctx.Err() == nil {
				klog.Warningf("entry: The lease of the registration of %s was lost.", e.opts.ID)
			}
		case <-ctx.Done():
		}
		e.duties.setLease(nil)
		e.releaseLease(lease)
	}
	return nil
}

// releaseLease gives the lease back. If that fails, the lease expires by itself.
func (e *Entry) releaseLease(lease *store.LeaseKeeper) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := lease.Release(ctx); err != nil {
		klog.V(1).Infof("entry: The lease could not be released and expires by itself: %v.", err)
	}
}

// writeRegistration writes the registration, and tries again until the write
// succeeds or the lease is lost.
func (e *Entry) writeRegistration(ctx context.Context, lease *store.LeaseKeeper) {
	data, err := proto.Marshal(&wire.EntryRegistration{
		Id:          e.opts.ID,
		RpcAddress:  e.opts.RPCAddress.String(),
		HttpAddress: e.opts.HTTPAddress.String(),
		DataCentre:  e.opts.DataCentre,
		Region:      e.opts.Region,
		BootId:      e.bootID,
	})
	if err != nil {
		klog.Errorf("entry: The registration cannot be encoded: %v.", err)
		return
	}
	for lease.Valid(time.Now()) {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := e.opts.Store.Put(callCtx, entryPrefix+e.opts.ID, data, store.AnyRevision, lease.ID())
		cancel()
		if err == nil || errors.Is(err, store.ErrLeaseExpired) || !clock.Sleep(ctx, storeRetry) {
			return
		}
	}
}

// refresh reads registrations and duties, claims duties or stops their schedulers,
// and adopts jobs, as the new view requires.
func (e *Entry) refresh(ctx context.Context) {
	next, err := e.readView(ctx)
	if err != nil {
		klog.V(1).Infof("entry: Registrations, claims or duties could not be read: %v.", err)
		return
	}
	next.dutyStatuses = e.requestDutyStatuses(ctx, next)
	e.view.Store(next)
	e.duties.reconcile(ctx, next)
	e.adoptJobs(ctx, next)
}

// readView reads registrations, claims and duties from the store.
func (e *Entry) readView(ctx context.Context) (*clusterView, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*storeTimeout)
	defer cancel()
	view := &clusterView{duties: make(map[string]storedDuty), claims: make(map[string]string)}
	entries, err := e.opts.Store.List(ctx, entryPrefix)
	if err != nil {
		return nil, fmt.Errorf("listing entries: %w", err)
	}
	for _, item := range entries {
		registration := new(wire.EntryRegistration)
		if err := proto.Unmarshal(item.Value, registration); err != nil {
			return nil, fmt.Errorf("decoding %s: %w", item.Key, err)
		}
		view.entries = append(view.entries, registration)
	}
	claims, err := e.opts.Store.List(ctx, claimPrefix)
	if err != nil {
		return nil, fmt.Errorf("listing claims: %w", err)
	}
	for _, item := range claims {
		view.claims[item.Key[len(claimPrefix):]] = string(item.Value)
	}
	duties, err := e.opts.Store.List(ctx, dutyPrefix)
	if err != nil {
		return nil, fmt.Errorf("listing duties: %w", err)
	}
	for _, item := range duties {
		d := new(wire.Duty)
		if err := proto.Unmarshal(item.Value, d); err != nil {
			return nil, fmt.Errorf("decoding %s: %w", item.Key, err)
		}
		view.duties[item.Key[len(dutyPrefix):]] = storedDuty{Duty: d, revision: item.Revision}
	}
	return view, nil
}

// requestStatuses asks every registered entry for its status, and returns the
// answers by entry id. An entry that does not answer is missing from the result.
func (e *Entry) requestStatuses(ctx context.Context, entries []*wire.EntryRegistration) map[string]*wire.StatusResponse {
	type answer struct {
		id     string
		status *wire.StatusResponse
	}
	answers := make(chan answer, len(entries))
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	for _, registration := range entries {
		go func() {
			status, err := e.requestStatus(ctx, registration)
			if err != nil {
				klog.V(2).Infof("entry: Entry %s did not report its status: %v.", registration.GetId(), err)
				status = nil
			}
			answers <- answer{registration.GetId(), status}
		}()
	}
	statuses := make(map[string]*wire.StatusResponse, len(entries))
	for range entries {
		if a := <-answers; a.status != nil {
			statuses[a.id] = a.status
		}
	}
	return statuses
}

// requestStatus asks an entry, which may be this one, for its status.
func (e *Entry) requestStatus(ctx context.Context, registration *wire.EntryRegistration) (*wire.StatusResponse, error) {
	if registration.GetId() == e.opts.ID {
		return e.ownStatus(ctx), nil
	}
	addr, err := netip.ParseAddrPort(registration.GetRpcAddress())
	if err != nil {
		return nil, fmt.Errorf("address of entry %s: %w", registration.GetId(), err)
	}
	status := new(wire.StatusResponse)
	if err := e.pool.Call(ctx, addr, "Entry.Status", &wire.StatusRequest{}, status); err != nil {
		return nil, fmt.Errorf("asking entry %s: %w", registration.GetId(), err)
	}
	return status, nil
}

// requestDutyStatuses returns the status of every duty that an entry reports, by
// data centre. Of two reports the one with the higher epoch counts.
func (e *Entry) requestDutyStatuses(ctx context.Context, v *clusterView) map[string]*wire.DutyStatus {
	statuses := make(map[string]*wire.DutyStatus)
	for _, status := range e.requestStatuses(ctx, v.entries) {
		for _, d := range status.GetDuties() {
			newest, ok := statuses[d.GetDataCentre()]
			if !ok || d.GetEpoch() > newest.GetEpoch() {
				statuses[d.GetDataCentre()] = d
			}
		}
	}
	return statuses
}

// ownStatus returns the status of this entry and of the duties that it holds.
func (e *Entry) ownStatus(ctx context.Context) *wire.StatusResponse {
	response := &wire.StatusResponse{
		Id:             e.opts.ID,
		Version:        e.follower.Current().Set.Version(),
		StoreReachable: e.storeReachable(time.Now()),
	}
	for _, s := range e.host.All() {
		if status, err := s.Status(ctx); err == nil {
			response.Duties = append(response.Duties, status)
		}
	}
	return response
}

// storeReachable reports whether one of the last reads of the configuration head
// succeeded.
func (e *Entry) storeReachable(now time.Time) bool {
	read := time.Duration(e.lastHeadRead.Load())
	return read > 0 && now.Sub(e.startTime)-read < 2*e.opts.HeadPeriod+storeTimeout/2
}
