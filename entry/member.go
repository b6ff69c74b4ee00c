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
	// storeRetry is the pause after a call to the store that failed.
	storeRetry = 250 * time.Millisecond
	// statusTimeout bounds the question for another entry's status.
	statusTimeout = time.Second

	entryPrefix = "entry/"
	dutyPrefix  = "duty/"
	heldPrefix  = "held/"
)

// view is what the entry last read about its peers; it is immutable.
type view struct {
	entries []*wire.EntryRegistration
	duties  map[string]duty   // by data centre
	held    map[string]string // holder of the claim, by data centre
	// load is the status of each duty as its holder last told it.
	load map[string]*wire.DutyStatus
}

type duty struct {
	*wire.Duty
	revision int64
}

// address returns where the scheduler of the data centre is reached.
func (v *view) address(dc string) (netip.AddrPort, bool) {
	d, ok := v.duties[dc]
	if !ok {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(d.GetAddress())
	return addr, err == nil
}

// register keeps the entry's registration under a lease until ctx ends.
func (e *Entry) register(ctx context.Context) error {
	for ctx.Err() == nil {
		lease := store.KeepLease(ctx, e.opts.Store, e.opts.LeaseTTL)
		select {
		case <-lease.Granted():
			e.announce(ctx, lease)
			e.duties.setLease(lease)
		case <-ctx.Done():
		}
		select {
		case <-lease.Lost():
			if ctx.Err() == nil {
				klog.Warningf("entry: The lease of %s was lost.", e.opts.ID)
			}
		case <-ctx.Done():
		}
		e.duties.setLease(nil)
		e.releaseLease(lease)
	}
	return nil
}

func (e *Entry) releaseLease(lease *store.LeaseKeeper) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := lease.Release(ctx); err != nil {
		klog.V(1).Infof("entry: The lease ends by itself: %v.", err)
	}
}

// announce writes the registration until it is there or the lease is lost.
func (e *Entry) announce(ctx context.Context, lease *store.LeaseKeeper) {
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

// refresh reads registrations and duties, and takes or leaves duties.
func (e *Entry) refresh(ctx context.Context) {
	next, err := e.readView(ctx)
	if err != nil {
		klog.V(1).Infof("entry: Registrations could not be read: %v.", err)
		return
	}
	next.load = e.askLoad(ctx, next)
	e.view.Store(next)
	e.duties.update(ctx, next)
	e.adoptJobs(ctx, next)
}

func (e *Entry) readView(ctx context.Context) (*view, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*storeTimeout)
	defer cancel()
	v := &view{duties: make(map[string]duty), held: make(map[string]string)}
	entries, err := e.opts.Store.List(ctx, entryPrefix)
	if err != nil {
		return nil, fmt.Errorf("listing entries: %w", err)
	}
	for _, item := range entries {
		registration := new(wire.EntryRegistration)
		if err := proto.Unmarshal(item.Value, registration); err != nil {
			return nil, fmt.Errorf("decoding %s: %w", item.Key, err)
		}
		v.entries = append(v.entries, registration)
	}
	held, err := e.opts.Store.List(ctx, heldPrefix)
	if err != nil {
		return nil, fmt.Errorf("listing claims: %w", err)
	}
	for _, item := range held {
		v.held[item.Key[len(heldPrefix):]] = string(item.Value)
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
		v.duties[item.Key[len(dutyPrefix):]] = duty{Duty: d, revision: item.Revision}
	}
	return v, nil
}

// askAll asks every registered entry for its status; one that does not answer
// is missing from the result.
func (e *Entry) askAll(ctx context.Context, entries []*wire.EntryRegistration) map[string]*wire.StatusResponse {
	type answer struct {
		id     string
		status *wire.StatusResponse
	}
	answers := make(chan answer, len(entries))
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	for _, registration := range entries {
		go func() {
			status, err := e.ask(ctx, registration)
			if err != nil {
				klog.V(2).Infof("entry: %s did not tell its status: %v.", registration.GetId(), err)
				status = nil
			}
			answers <- answer{registration.GetId(), status}
		}()
	}
	all := make(map[string]*wire.StatusResponse, len(entries))
	for range entries {
		if a := <-answers; a.status != nil {
			all[a.id] = a.status
		}
	}
	return all
}

func (e *Entry) ask(ctx context.Context, registration *wire.EntryRegistration) (*wire.StatusResponse, error) {
	if registration.GetId() == e.opts.ID {
		return e.status(ctx), nil
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

// askLoad collects the status of every duty.
func (e *Entry) askLoad(ctx context.Context, v *view) map[string]*wire.DutyStatus {
	load := make(map[string]*wire.DutyStatus)
	for _, status := range e.askAll(ctx, v.entries) {
		for _, d := range status.GetDuties() {
			known, ok := load[d.GetDataCentre()]
			if !ok || d.GetEpoch() > known.GetEpoch() {
				load[d.GetDataCentre()] = d
			}
		}
	}
	return load
}

// status describes this entry.
func (e *Entry) status(ctx context.Context) *wire.StatusResponse {
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

// storeReachable says whether one of the last reads of the head succeeded.
func (e *Entry) storeReachable(now time.Time) bool {
	read := time.Duration(e.storeRead.Load())
	return read > 0 && now.Sub(e.start)-read < 2*e.opts.HeadPeriod+storeTimeout/2
}
