package gate

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/cache"
	"catkinpoint/clock"
	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/guard"
	"catkinpoint/route"
	"catkinpoint/store"
)

const (
	// claimCheckPeriod is the time between two checks whether the claim is free.
	claimCheckPeriod = 100 * time.Millisecond
	// maxPeers bounds the addresses of other gates from which some are drawn to be asked.
	maxPeers = 100
	// maxOtherGates bounds the addresses of other gates that a relay is sent.
	maxOtherGates = 5
	// announceTimeout bounds one attempt to store this gate's address.
	announceTimeout = time.Second
	// announceRetryDelay is the pause after a failed attempt.
	announceRetryDelay = 500 * time.Millisecond
	// maxStoreLoss is how long a gate that has lost the store stays ready. The balancer
	// takes another second or two to send callers elsewhere.
	maxStoreLoss = 300 * time.Millisecond
	// maxStateAge is the age up to which the copy of the jobs may answer a caller.
	maxStateAge = 2 * time.Second
)

// OperatorKeys says which keys of the store the operator writes and how they are
// decoded.
type OperatorKeys struct {
	// Prefix is the common prefix of the keys.
	Prefix string
	// Table decodes the configuration. It returns nil for keys that hold none.
	Table func(key string, value []byte) (*route.Table, error)
	// Evacuation returns the data centre that is out of service while the key exists,
	// or "" for other keys.
	Evacuation func(key string) string
}

// Options configures a Gate.
type Options struct {
	Name string
	// Address is where relays and other gates reach this process.
	Address netip.AddrPort
	// Processor is the processor capacity that the process may use, in thousandths of
	// a processor and weighted by its speed; 0 means that it is not known.
	Processor int64
	// RequestYield asks the gate at an address to give up the claim. If it is nil,
	// this gate never asks.
	RequestYield func(ctx context.Context, holder netip.AddrPort, request *flow.YieldRequest) error
	// AskAdmission asks the gate at an address, which holds the claim, whether a job is
	// admitted. If it is nil, this gate never asks another.
	AskAdmission func(ctx context.Context, holder netip.AddrPort, request *flow.AdmissionRequest) (*flow.AdmissionAnswer, error)
	// Peers calls other gates. If it is nil, this gate never does.
	Peers        Peers
	KV           store.TxnKV
	OperatorKeys OperatorKeys
	ClaimTTL     time.Duration
	Settings     duty.Settings
}

// Gate serves callers, and runs the scheduler while it holds the claim.
type Gate struct {
	opts     Options
	view     *storeView
	operator *operatorState
	// stateFollower keeps view up to date, and configFollower keeps operator.
	stateFollower  *cache.Follower
	configFollower *cache.Follower
	// scheduler is nil unless this gate holds the claim.
	scheduler atomic.Pointer[duty.Scheduler]
	leaving   atomic.Bool
	// vacant signals this gate's candidate that no gate holds the claim.
	vacant    chan struct{}
	forwarder changeForwarder
	groups    reportedGroups
	shortage  knownShortage
	peers     peerChecks
}

// New returns a gate; Run starts it.
func New(opts Options) *Gate {
	g := &Gate{opts: opts, view: newStoreView(), vacant: make(chan struct{})}
	g.stateFollower = cache.New(opts.KV, duty.KeyPrefix, g.applyStateEvents)
	g.configFollower = cache.New(opts.KV, opts.OperatorKeys.Prefix, g.applyOperatorEvents)
	g.forwarder = newChangeForwarder(g.view.currentClaim, func(answer *flow.ChangeAnswer) {
		g.groups.set(answer.GetWorkerGroups())
		g.shortage.set(answer.GetShortage())
	})
	g.operator = &operatorState{evacuated: map[string]bool{}, age: g.configFollower.Age}
	return g
}

// Run runs the gate's background work until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	start := func(f func(context.Context)) {
		group.Go(func() error {
			f(ctx)
			return nil
		})
	}
	candidate := &duty.Candidate{
		KV: g.opts.KV, Name: g.opts.Name, Address: g.opts.Address, TTL: g.opts.ClaimTTL,
		Processor: g.opts.Processor, MaxProcessor: g.view.maxProcessor, Vacant: g.vacant, Serve: g.runScheduler,
	}
	start(g.stateFollower.Run)
	start(g.configFollower.Run)
	start(g.watchClaim)
	start(candidate.Run)
	start(g.forwarder.run)
	start(g.announce)
	start(g.requestYields)
	if err := group.Wait(); err != nil {
		return fmt.Errorf("running gate: %w", err)
	}
	return nil
}

// applyStateEvents handles changes of keys under duty.KeyPrefix.
func (g *Gate) applyStateEvents(events []store.Event) {
	g.view.apply(events)
	if s := g.scheduler.Load(); s != nil {
		s.Apply(events)
	}
}

// applyOperatorEvents handles changes of the operator's keys. A key that cannot be
// decoded, or whose handling panics, is logged and skipped.
func (g *Gate) applyOperatorEvents(events []store.Event) {
	for _, e := range events {
		if err := guard.Call("key "+e.Key, func() error { return g.applyOperatorEvent(e) }); err != nil {
			klog.ErrorS(err, "gate: configuration not decoded", "key", e.Key, "revision", e.Revision)
		}
	}
}

// applyOperatorEvent handles a change of one of the operator's keys. A configuration
// that is deleted stays in force.
func (g *Gate) applyOperatorEvent(e store.Event) error {
	if dataCentre := g.opts.OperatorKeys.Evacuation(e.Key); dataCentre != "" {
		g.operator.setEvacuated(dataCentre, !e.Deleted)
		return nil
	}
	if e.Deleted {
		return nil
	}
	table, err := g.opts.OperatorKeys.Table(e.Key, e.Value)
	if err != nil {
		return fmt.Errorf("decoding configuration: %w", err)
	}
	if table != nil {
		g.operator.setTable(table)
	}
	return nil
}

// watchClaim signals the candidate while no gate holds the claim and this gate could
// run the scheduler: it is not leaving and its copies of the store are fresh.
func (g *Gate) watchClaim(ctx context.Context) {
	for clock.Sleep(ctx, claimCheckPeriod) {
		if g.leaving.Load() || g.view.currentClaim() != nil || !g.stateFollower.FreshWithin(maxStateAge) || !g.configFresh() {
			continue
		}
		select {
		case g.vacant <- struct{}{}:
		default:
		}
	}
}

// runScheduler runs the scheduler under a claim until ctx ends.
func (g *Gate) runScheduler(ctx context.Context, claim *duty.Claim) {
	s := duty.NewScheduler(ctx, g.opts.Settings, g.opts.KV, g.operator, claim, g.gateAddresses)
	g.scheduler.Store(s)
	defer g.scheduler.Store(nil)
	s.Run()
}

// gateAddresses returns the addresses of gates, this one first, that relays may ask
// which gate runs the scheduler.
func (g *Gate) gateAddresses() []string {
	return append([]string{g.opts.Address.String()}, g.view.otherGateAddresses(g.opts.Name, maxOtherGates)...)
}

// announce stores this gate's address under its name and retries until that
// succeeds. The scheduler sends the addresses to relays, which need them when they
// cannot read the claim from the store.
func (g *Gate) announce(ctx context.Context) {
	value, err := proto.Marshal(&flow.Claim{Holder: g.opts.Name, Address: g.opts.Address.String(), Processor: g.opts.Processor, ReadsPages: true})
	if err != nil {
		klog.ErrorS(err, "gate: own address not encoded")
		return
	}
	txn := store.Txn{Writes: []store.Write{{Key: duty.GateKey(g.opts.Name), Value: value}}}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		_, err := g.opts.KV.Commit(callCtx, txn)
		cancel()
		if err == nil {
			return
		}
		klog.InfoS("gate: own address not stored, retrying", "err", err)
		clock.Sleep(ctx, announceRetryDelay)
	}
}

// configFresh reports whether a configuration was read and is not older than the
// limit.
func (g *Gate) configFresh() bool {
	return g.operator.Table() != nil && g.configFollower.FreshWithin(g.opts.Settings.ConfigAge)
}

// Ready reports whether the gate accepts new callers.
func (g *Gate) Ready() bool {
	return !g.leaving.Load() && g.configFresh() && g.stateFollower.FreshWithin(maxStateAge) && g.storeLostFor() < maxStoreLoss
}

// storeLostFor returns for how long this gate has been unable to follow the store, or 0
// if it can.
func (g *Gate) storeLostFor() time.Duration {
	return max(g.stateFollower.LostFor(), g.configFollower.LostFor())
}

// Leave makes the gate report that it is not ready, and keeps it from taking the
// claim.
func (g *Gate) Leave() { g.leaving.Store(true) }

// RPCName is the name under which a link's server registers RPCHandlers.
const RPCName = "Duty"

// RPCHandlers has the methods that relays and other gates call over a link.
type RPCHandlers struct{ gate *Gate }

// RPCHandlers returns the methods for a link's server to register.
func (g *Gate) RPCHandlers() RPCHandlers { return RPCHandlers{g} }

// Attend handles the report of a relay and fills in the orders for its worker. It
// fails with duty.ErrNotHolder if this gate does not hold the claim.
func (c RPCHandlers) Attend(report *flow.Report, orders *flow.Orders) error {
	return guard.Call("report", func() error { return c.attend(report, orders) })
}

func (c RPCHandlers) attend(report *flow.Report, orders *flow.Orders) error {
	s := c.gate.scheduler.Load()
	if s == nil {
		return duty.ErrNotHolder
	}
	answer, err := s.HandleReport(report)
	if err != nil {
		return fmt.Errorf("attending %s: %w", report.GetRelay(), err)
	}
	proto.Merge(orders, answer)
	return nil
}

// Find returns the claim as this gate last read it.
func (c RPCHandlers) Find(_ *flow.FindRequest, response *flow.FindResponse) error {
	response.Claim = c.gate.view.currentClaim()
	return nil
}

// Tell passes to the scheduler a change that another gate has committed, and returns
// the counts of workers and whether jobs may be refused.
func (c RPCHandlers) Tell(change *flow.Change, answer *flow.ChangeAnswer) error {
	return guard.Run("change", func() {
		c.gate.applyToScheduler(change)
		if s := c.gate.scheduler.Load(); s != nil {
			answer.WorkerGroups, answer.Shortage = s.WorkerGroups(), s.Shortage()
		}
	})
}

// applyToScheduler passes a change to the scheduler and reports whether this gate
// runs it.
func (g *Gate) applyToScheduler(change *flow.Change) bool {
	s := g.scheduler.Load()
	if s == nil {
		return false
	}
	s.Apply([]store.Event{{Item: store.Item{Key: change.GetKey(), Value: change.GetValue(), Revision: change.GetRevision()}}})
	return true
}

// notifyScheduler passes a committed change to the scheduler, in this process or
// through the forwarder.
func (g *Gate) notifyScheduler(change *flow.Change) {
	if !g.applyToScheduler(change) {
		g.forwarder.enqueue(change)
	}
}

// validID reports whether id is a valid job id: 16 hexadecimal digits.
func validID(id string) bool {
	const idLength = 16
	return len(id) == idLength && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}
