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
	// vacancyPeriod is the time between two looks at the claim.
	vacancyPeriod = 100 * time.Millisecond
	// toldGates bounds the other gates that a relay is told of.
	toldGates = 5
	// announceTime bounds one try to list this gate; announcePause is the pause
	// after one that failed.
	announceTime  = time.Second
	announcePause = 500 * time.Millisecond
	// boardAge is the oldest copy of the jobs from which a state is answered.
	boardAge = 2 * time.Second
)

// Operator tells how the operator's keys are read.
type Operator struct {
	// Prefix begins the keys.
	Prefix string
	// Table decodes the configuration at a key, or returns nil for other keys.
	Table func(key string, value []byte) (*route.Table, error)
	// Evacuation returns the data centre that a key takes out of service, or "".
	Evacuation func(key string) string
}

// Options configures a Gate.
type Options struct {
	Name string
	// Address is where relays reach this process.
	Address netip.AddrPort
	// Processor is what the process may use, in thousandths of a processor; 0 is
	// not known.
	Processor int64
	// Yield asks the holder at an address to give up its claim; nil never asks.
	Yield    func(ctx context.Context, holder netip.AddrPort, request *flow.YieldRequest) error
	KV       store.TxnKV
	Operator Operator
	ClaimTTL time.Duration
	Settings duty.Settings
}

// Gate serves callers and may hold the duty.
type Gate struct {
	opts      Options
	board     *board
	operator  *operator
	jobs      *cache.Follower
	orders    *cache.Follower
	scheduler atomic.Pointer[duty.Scheduler]
	leaving   atomic.Bool
	vacant    chan struct{}
	teller    teller
	rooms     rooms
}

// New returns a gate; Run starts it.
func New(opts Options) *Gate {
	g := &Gate{opts: opts, board: newBoard(), vacant: make(chan struct{})}
	g.jobs = cache.New(opts.KV, duty.KeyPrefix, g.applyJobs)
	g.orders = cache.New(opts.KV, opts.Operator.Prefix, g.applyOperator)
	g.teller = newTeller(g.board.holder, g.rooms.set)
	g.operator = &operator{evacuated: map[string]bool{}, age: g.orders.Age}
	return g
}

// Run serves until ctx ends.
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
		Processor: g.opts.Processor, Best: g.board.bestProcessor, Vacant: g.vacant, Serve: g.serve,
	}
	start(g.jobs.Run)
	start(g.orders.Run)
	start(g.watchClaim)
	start(candidate.Run)
	start(g.teller.run)
	start(g.announce)
	start(g.askToYield)
	if err := group.Wait(); err != nil {
		return fmt.Errorf("running gate: %w", err)
	}
	return nil
}

func (g *Gate) applyJobs(events []store.Event) {
	g.board.apply(events)
	if s := g.scheduler.Load(); s != nil {
		s.Apply(events)
	}
}

func (g *Gate) applyOperator(events []store.Event) {
	for _, e := range events {
		if err := guard.Call("key "+e.Key, func() error { return g.applyOrder(e) }); err != nil {
			klog.ErrorS(err, "gate: configuration not decoded", "key", e.Key, "revision", e.Revision)
		}
	}
}

// applyOrder takes one key of the operator.
func (g *Gate) applyOrder(e store.Event) error {
	if dataCentre := g.opts.Operator.Evacuation(e.Key); dataCentre != "" {
		g.operator.evacuate(dataCentre, !e.Deleted)
		return nil
	}
	if e.Deleted {
		return nil
	}
	table, err := g.opts.Operator.Table(e.Key, e.Value)
	if err != nil {
		return fmt.Errorf("reading configuration: %w", err)
	}
	if table != nil {
		g.operator.set(table)
	}
	return nil
}

// watchClaim tells the candidate when nobody holds the duty.
func (g *Gate) watchClaim(ctx context.Context) {
	for clock.Sleep(ctx, vacancyPeriod) {
		if g.leaving.Load() || g.board.holder() != nil || !g.jobs.Younger(boardAge) || !g.configured() {
			continue
		}
		select {
		case g.vacant <- struct{}{}:
		default:
		}
	}
}

// serve does the duty under a claim.
func (g *Gate) serve(ctx context.Context, claim *duty.Claim) {
	s := duty.NewScheduler(ctx, g.opts.Settings, g.opts.KV, g.operator, claim, g.addresses)
	g.scheduler.Store(s)
	defer g.scheduler.Store(nil)
	s.Run()
}

// addresses returns where relays may ask for the scheduler.
func (g *Gate) addresses() []string {
	return append([]string{g.opts.Address.String()}, g.board.addresses(g.opts.Name, toldGates)...)
}

// announce lists this gate's address in the store, under its name, for relays
// that cannot ask the store who holds the duty.
func (g *Gate) announce(ctx context.Context) {
	value, err := proto.Marshal(&flow.Claim{Holder: g.opts.Name, Address: g.opts.Address.String(), Processor: g.opts.Processor})
	if err != nil {
		klog.ErrorS(err, "gate: address not encoded")
		return
	}
	txn := store.Txn{Writes: []store.Write{{Key: duty.GateKey(g.opts.Name), Value: value}}}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, announceTime)
		_, err := g.opts.KV.Commit(call, txn)
		cancel()
		if err == nil {
			return
		}
		klog.InfoS("gate: address not listed", "err", err)
		clock.Sleep(ctx, announcePause)
	}
}

// configured tells whether the configuration is known and not too old.
func (g *Gate) configured() bool {
	return g.operator.Table() != nil && g.orders.Younger(g.opts.Settings.ConfigAge)
}

// Ready tells whether the gate takes new callers.
func (g *Gate) Ready() bool {
	return !g.leaving.Load() && g.configured() && g.jobs.Younger(boardAge)
}

// Leave makes the gate unready and keeps it from claiming the duty.
func (g *Gate) Leave() { g.leaving.Store(true) }

// RPCName is the name under which Calls are registered.
const RPCName = "Duty"

// Calls are what relays call over a link.
type Calls struct{ gate *Gate }

// Calls returns the methods for a link's server.
func (g *Gate) Calls() Calls { return Calls{g} }

// Attend takes a report and returns orders; it fails if another gate holds the duty.
func (c Calls) Attend(report *flow.Report, orders *flow.Orders) error {
	return guard.Call("report", func() error { return c.attend(report, orders) })
}

func (c Calls) attend(report *flow.Report, orders *flow.Orders) error {
	s := c.gate.scheduler.Load()
	if s == nil {
		return duty.ErrNotHolder
	}
	answer, err := s.Attend(report)
	if err != nil {
		return fmt.Errorf("attending %s: %w", report.GetRelay(), err)
	}
	proto.Merge(orders, answer)
	return nil
}

// Find tells a relay who holds the duty.
func (c Calls) Find(_ *flow.FindRequest, response *flow.FindResponse) error {
	response.Claim = c.gate.board.holder()
	return nil
}

// Tell takes a change that another gate has committed.
func (c Calls) Tell(change *flow.Change, answer *flow.ChangeAnswer) error {
	return guard.Run("change", func() {
		c.gate.take(change)
		if s := c.gate.scheduler.Load(); s != nil {
			answer.Rooms = s.Rooms()
		}
	})
}

// take hands a change to the scheduler, if this gate holds the duty.
func (g *Gate) take(change *flow.Change) bool {
	s := g.scheduler.Load()
	if s == nil {
		return false
	}
	s.Apply([]store.Event{{Item: store.Item{Key: change.GetKey(), Value: change.GetValue(), Revision: change.GetRevision()}}})
	return true
}

// tell makes a committed change known to the scheduler, here or elsewhere.
func (g *Gate) tell(change *flow.Change) {
	if !g.take(change) {
		g.teller.tell(change)
	}
}

// validID tells whether a caller may choose the id.
func validID(id string) bool {
	const idLength = 16
	return len(id) == idLength && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}
