package gate_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/gate"
	"catkinpoint/relay"
	"catkinpoint/route"
	"catkinpoint/stand/fakekv"
	"catkinpoint/stand/fakewk"
	"catkinpoint/store"
)

const (
	gateCount   = 2
	workerCount = 3
	taskTime    = 2 * time.Second // how long a task runs
)

// cluster has gates, relays and workers that run jobs under the clock of synctest.
// The store and the workers are fakes, and calls from relays to gates are function
// calls.
type cluster struct {
	t       *testing.T
	ctx     context.Context // ends with the test
	kv      *fakekv.Server
	workers []*fakewk.Worker

	mu         sync.Mutex
	gates      map[netip.AddrPort]*gate.Gate // gates that run
	cancelGate map[netip.AddrPort]context.CancelFunc
	// disconnected has the relays that cannot reach any gate.
	disconnected map[int]bool
	relays       map[int]*relay.Relay
	cancelRelay  map[int]context.CancelFunc
}

func gateAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+n))
}

// operatorKeys returns a configuration with one queue that needs no key.
func operatorKeys() gate.OperatorKeys {
	return gate.OperatorKeys{
		Prefix: "op/",
		Table: func(key string, _ []byte) (*route.Table, error) {
			if key != "op/table" {
				return nil, nil
			}
			queue := route.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 3, SlackFactor: 3, Public: true}
			return route.New(1, 1000, []route.Queue{queue}, nil, nil), nil
		},
		Evacuation: func(string) string { return "" },
	}
}

// newCluster starts all gates, relays and workers and waits until the relays have
// reported.
func newCluster(ctx context.Context, t *testing.T) *cluster {
	c := &cluster{
		t: t, ctx: ctx, kv: fakekv.New(), gates: map[netip.AddrPort]*gate.Gate{}, cancelGate: map[netip.AddrPort]context.CancelFunc{},
		disconnected: map[int]bool{}, relays: map[int]*relay.Relay{}, cancelRelay: map[int]context.CancelFunc{},
	}
	if _, err := c.kv.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: "op/table", Value: []byte("1")}}}); err != nil {
		t.Fatal(err)
	}
	for n := range gateCount {
		c.startGate(n)
		time.Sleep(time.Second) // the first gate takes the claim
	}
	site := fakewk.NewCoordinator()
	for n := range workerCount {
		c.workers = append(c.workers, fakewk.New(site, fmt.Sprint("w", n), taskTime))
	}
	for n := range workerCount {
		c.startRelay(n)
		go c.sendHeartbeats(n)
	}
	time.Sleep(3 * time.Second)
	return c
}

func (c *cluster) startGate(n int) {
	ctx, cancel := context.WithCancel(c.ctx)
	addr, name := gateAddr(n), fmt.Sprint("g", n)
	g := gate.New(gate.Options{
		Name: name, Address: addr, KV: c.kv.WithCaller(name), OperatorKeys: operatorKeys(), ClaimTTL: 1500 * time.Millisecond,
		Settings: duty.Settings{TaskLease: 6 * time.Second, ConfigAge: 2500 * time.Millisecond, StartAge: 4500 * time.Millisecond, Retention: time.Minute, RemoteFactor: 3},
	})
	c.mu.Lock()
	c.gates[addr], c.cancelGate[addr] = g, cancel
	c.mu.Unlock()
	go func() { _ = g.Run(ctx) }() // ends with the test, killHolder or stopHolder
}

// holderAddr returns the holder's address in the claim. That gate may have been
// killed.
func (c *cluster) holderAddr() (netip.AddrPort, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range c.gates {
		response := &flow.FindResponse{}
		if err := g.RPCHandlers().Find(&flow.FindRequest{}, response); err == nil && response.GetClaim() != nil {
			return netip.ParseAddrPort(response.GetClaim().GetAddress())
		}
	}
	return netip.AddrPort{}, errors.New("no gate holds the claim")
}

// killHolder ends the holder without letting it release the claim, unless another
// gate has ended already.
func (c *cluster) killHolder() {
	addr, err := c.holderAddr()
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelGate[addr] != nil && len(c.gates) == gateCount {
		c.killGate(addr)
	}
}

// stopHolder shuts the holder down as planned, so that it releases the claim, unless
// another gate has ended already.
func (c *cluster) stopHolder() {
	addr, err := c.holderAddr()
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.gates[addr]; g != nil && len(c.gates) == gateCount {
		g.Leave()
		c.cancelGate[addr]()
		delete(c.gates, addr)
	}
}

// killGate ends a gate that can no longer reach the store. The caller holds c.mu.
func (c *cluster) killGate(addr netip.AddrPort) {
	c.kv.SetFaults(fmt.Sprint("g", addr.Port()-1), fakekv.Faults{Down: true})
	c.cancelGate[addr]()
	delete(c.gates, addr)
}

// yieldHolder asks the holder to give up the claim to another gate.
func (c *cluster) yieldHolder() {
	addr, err := c.holderAddr()
	if err != nil {
		return
	}
	c.mu.Lock()
	g := c.gates[addr]
	c.mu.Unlock()
	response := &flow.FindResponse{}
	if err := g.RPCHandlers().Find(&flow.FindRequest{}, response); err == nil {
		_ = g.RPCHandlers().Yield(&flow.YieldRequest{Epoch: response.GetClaim().GetEpoch(), Gate: "g9"}, &flow.YieldResponse{}) // the holder may refuse
	}
}

// killAll ends all gates and relays; the workers go on.
func (c *cluster) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr := range c.gates {
		c.killGate(addr)
	}
	for n := range c.relays {
		c.cancelRelay[n]()
	}
}

// startAll restarts the gates and relays that killAll has ended.
func (c *cluster) startAll() {
	for n := range gateCount {
		c.kv.SetFaults(fmt.Sprint("g", n), fakekv.Faults{})
		c.startGate(n)
	}
	c.eachWorker(func(n int, _ *fakewk.Worker) { c.startRelay(n) })
}

func (c *cluster) startRelay(n int) {
	ctx, cancel := context.WithCancel(c.ctx)
	reachable := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.disconnected[n] && ctx.Err() == nil
	}
	r := relay.New(relay.Options{
		Name: fmt.Sprint("r", n), Worker: c.workers[n],
		FindScheduler: func(context.Context) (netip.AddrPort, error) {
			if !reachable() {
				return netip.AddrPort{}, errors.New("relay is disconnected")
			}
			return c.holderAddr()
		},
		SendReport: func(_ context.Context, addr netip.AddrPort, report *flow.Report) (*flow.Orders, error) {
			c.mu.Lock()
			g := c.gates[addr]
			c.mu.Unlock()
			if g == nil || !reachable() {
				return nil, errors.New("gate cannot be reached")
			}
			orders := &flow.Orders{}
			if err := g.RPCHandlers().Attend(proto.Clone(report).(*flow.Report), orders); err != nil {
				return nil, err
			}
			if !reachable() {
				return nil, errors.New("answer lost")
			}
			return proto.Clone(orders).(*flow.Orders), nil
		},
	})
	c.mu.Lock()
	c.relays[n], c.cancelRelay[n] = r, cancel
	c.mu.Unlock()
	go func() { _ = r.Run(ctx) }() // ends with the test, killAll or a restart
}

// sendHeartbeats sends the heartbeats of worker n to its relay while the worker lives.
func (c *cluster) sendHeartbeats(n int) {
	for sequence := int64(1); c.ctx.Err() == nil; sequence++ {
		c.mu.Lock()
		r := c.relays[n]
		c.mu.Unlock()
		info := &flow.Worker{Service: "s", DataCentre: "d", Labels: []string{"a", "r"}, Cpu: 4000, MemoryMb: 4000}
		if !c.workers[n].Killed() {
			_ = r.HandleHeartbeat(c.ctx, c.workers[n].Heartbeat(sequence, info)) // the next heartbeat makes up for it
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// eachWorker calls f for every worker.
func (c *cluster) eachWorker(f func(n int, w *fakewk.Worker)) {
	for n, w := range c.workers {
		f(n, w)
	}
}

// faultCase is one fault of the matrix. end is nil for a fault that is over at once.
type faultCase struct {
	name     string
	begin    func(c *cluster)
	duration time.Duration
	end      func(c *cluster)
	// mayLoseEnds allows that a task runs again although a run of it was done: the
	// end may be lost with its worker, or because the lease expired before a
	// scheduler saw it.
	mayLoseEnds bool
	// mustKeepRuns requires that each task runs once only: the workers live and
	// their leases do not expire.
	mustKeepRuns bool
}

var faultCases = []faultCase{
	{name: "none", begin: func(*cluster) {}},
	{name: "holder killed", begin: (*cluster).killHolder},
	{name: "holder stopped as planned", mustKeepRuns: true, begin: (*cluster).stopHolder},
	{name: "store down", duration: 4 * time.Second, begin: func(c *cluster) { c.kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true}) }, end: (*cluster).clearStoreFaults},
	{name: "store down and holder killed", duration: 3 * time.Second, begin: func(c *cluster) {
		c.killHolder()
		c.kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
	}, end: (*cluster).clearStoreFaults},
	{name: "holder killed while the store is slow", duration: 2 * time.Second, begin: func(c *cluster) {
		c.kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Delay: 300 * time.Millisecond})
		time.Sleep(450 * time.Millisecond) // the scheduler is writing a start
		c.killHolder()
	}, end: (*cluster).clearStoreFaults},
	{name: "store answers lost", duration: 2 * time.Second, begin: func(c *cluster) { c.kv.SetFaults(fakekv.AllCallers, fakekv.Faults{LoseProbability: 0.5, Seed: 1}) }, end: (*cluster).clearStoreFaults},
	{name: "all gates and relays killed", duration: 2 * time.Second, begin: (*cluster).killAll, end: (*cluster).startAll},
	{name: "relays restarted", mustKeepRuns: true, begin: func(c *cluster) {
		c.eachWorker(func(n int, _ *fakewk.Worker) {
			c.mu.Lock()
			c.cancelRelay[n]()
			c.mu.Unlock()
			c.startRelay(n)
		})
	}},
	{name: "holder yields", mustKeepRuns: true, begin: (*cluster).yieldHolder},
	{name: "relays cut off for a second", mustKeepRuns: true, duration: time.Second, begin: func(c *cluster) { c.setDisconnected(true) }, end: func(c *cluster) { c.setDisconnected(false) }},
	{name: "relays cut off for less than the lease", mustKeepRuns: true, duration: 4 * time.Second, begin: func(c *cluster) { c.setDisconnected(true) }, end: func(c *cluster) { c.setDisconnected(false) }},
	{name: "relays cut off for more than the lease", mayLoseEnds: true, duration: 9 * time.Second, begin: func(c *cluster) { c.setDisconnected(true) }, end: func(c *cluster) { c.setDisconnected(false) }},
	{name: "workers silent", duration: 3 * time.Second, begin: func(c *cluster) { c.eachWorker(func(_ int, w *fakewk.Worker) { w.SetSilent(true) }) }, end: func(c *cluster) { c.eachWorker(func(_ int, w *fakewk.Worker) { w.SetSilent(false) }) }},
	{name: "starts carried out late", duration: 4 * time.Second, begin: func(c *cluster) { c.eachWorker(func(_ int, w *fakewk.Worker) { w.SetStartDelay(3 * time.Second) }) }, end: func(c *cluster) { c.eachWorker(func(_ int, w *fakewk.Worker) { w.SetStartDelay(0) }) }},
	{name: "worker crashes", mayLoseEnds: true, begin: func(c *cluster) { c.workers[0].CrashAndRestart() }},
	{name: "worker ends without notice", mayLoseEnds: true, begin: func(c *cluster) { c.workers[0].Kill() }},
	{name: "holder killed and worker ends", mayLoseEnds: true, begin: func(c *cluster) { c.killHolder(); c.workers[0].Kill() }},
}

func (c *cluster) clearStoreFaults() { c.kv.SetFaults(fakekv.AllCallers, fakekv.Faults{}) }

func (c *cluster) setDisconnected(disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range c.workers {
		c.disconnected[n] = disconnected
	}
}

// faultTimes are the moments at which a fault begins, relative to the submission of
// the first job.
var faultTimes = []struct {
	name   string
	offset time.Duration
}{
	{"before", -800 * time.Millisecond},
	{"accept", 0},
	{"start", 10 * time.Millisecond},
	{"run", time.Second},
	{"end", taskTime + 30*time.Millisecond},
}

// Each fault at each stage of a job. Accepted jobs must complete, no task may run
// twice at the same time or again after it was done, and no refused job may run.
func TestFaultsEndToEnd(t *testing.T) {
	for _, fault := range faultCases {
		for _, moment := range faultTimes {
			t.Run(fault.name+"/"+moment.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					c := newCluster(ctx, t)
					c.check(fault, c.runFault(fault, moment.offset))
					stop()
					time.Sleep(5 * time.Second) // until pending calls have ended
				})
			})
		}
	}
}

// runFault submits jobs before, during and after a fault, and returns the last verdict
// on each.
func (c *cluster) runFault(fault faultCase, offset time.Duration) map[string]gate.Verdict {
	verdicts := map[string]gate.Verdict{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for n := range 6 {
		id := fmt.Sprintf("%016x", n)
		calls.Go(func() {
			time.Sleep(max(0, -offset) + time.Duration(n)*400*time.Millisecond)
			verdict := c.submit(id)
			mu.Lock()
			defer mu.Unlock()
			verdicts[id] = verdict
		})
	}
	time.Sleep(max(0, offset))
	fault.begin(c)
	if fault.end != nil {
		time.Sleep(fault.duration)
		fault.end(c)
	}
	calls.Wait()
	time.Sleep(30 * time.Second)
	return verdicts
}

// submit submits a job to the gates in turn, at most four times, until one accepts
// it.
func (c *cluster) submit(id string) gate.Verdict {
	verdict := gate.Refused
	for attempt := range 4 {
		c.mu.Lock()
		g := c.gates[gateAddr(attempt%gateCount)]
		c.mu.Unlock()
		if g == nil {
			time.Sleep(time.Second)
			continue
		}
		answer := g.Submit(c.ctx, gate.Call{Host: "h", Path: "/q/" + id, Budget: 3 * time.Second}, func(int64) (*flow.Job, error) {
			step := &flow.Step{Count: 2, Cpu: 1000, EstimateMs: taskTime.Milliseconds()}
			if id[len(id)-1]%2 == 0 {
				step.Gang = true
				return &flow.Job{Spec: fakewk.GangSpec(2), Steps: []*flow.Step{step}}, nil
			}
			return &flow.Job{Spec: id, Steps: []*flow.Step{step}}, nil
		})
		if verdict != gate.Unknown || answer.Verdict == gate.Done {
			verdict = answer.Verdict // a refusal says nothing about an earlier attempt
		}
		if verdict == gate.Done {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return verdict
}

// check compares the runs that the workers recorded and the final phases of the jobs
// with the verdicts.
func (c *cluster) check(fault faultCase, verdicts map[string]gate.Verdict) {
	c.t.Helper()
	runs := map[string][]fakewk.Run{}
	c.eachWorker(func(_ int, w *fakewk.Worker) {
		for _, r := range w.Record() {
			runs[r.Task] = append(runs[r.Task], r)
		}
	})
	for id, verdict := range verdicts {
		phase := c.jobPhase(id)
		ran := false
		for task, taskRuns := range runs {
			if task[:len(id)] != id {
				continue
			}
			ran = true
			c.checkTask(fault, task, taskRuns)
		}
		switch {
		case verdict == gate.Done && phase != flow.Phase_COMPLETED:
			c.t.Errorf("job %s was accepted and is %v; want it completed", id, phase)
		case verdict == gate.Refused && ran:
			c.t.Errorf("job %s was refused, but ran", id)
		}
	}
}

// checkTask checks that the runs of one task are consistent with the fault.
func (c *cluster) checkTask(fault faultCase, task string, runs []fakewk.Run) {
	c.t.Helper()
	slices.SortFunc(runs, func(a, b fakewk.Run) int { return a.Began.Compare(b.Began) })
	if fault.mustKeepRuns && len(runs) > 1 {
		c.t.Errorf("task %s ran %d times; want once", task, len(runs))
	}
	for i := 1; i < len(runs); i++ {
		previous := runs[i-1]
		if previous.Ended.IsZero() || runs[i].Began.Before(previous.Ended) {
			c.t.Errorf("task %s: runs %d and %d at the same time", task, previous.Run, runs[i].Run)
		}
		if previous.How == "done" && !fault.mayLoseEnds {
			c.t.Errorf("task %s: run %d began after run %d was done", task, runs[i].Run, previous.Run)
		}
	}
}

// jobPhase returns the phase of a job that callers see.
func (c *cluster) jobPhase(id string) flow.Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range c.gates {
		return g.State(c.ctx, gate.Call{Host: "h", Path: "/q/" + id, Budget: 3 * time.Second}).Phase
	}
	return flow.Phase_QUEUED
}

// A relay learns the addresses of all gates from its orders, so that it finds a new
// holder of the claim when neither the store nor the former holder answers.
func TestRelayLearnsAllGateAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		c := newCluster(ctx, t)
		c.mu.Lock()
		known := c.relays[0].GateAddresses()
		c.mu.Unlock()
		for n := range gateCount {
			if !slices.Contains(known, gateAddr(n)) {
				t.Errorf("known gates %v; want %v among them", known, gateAddr(n))
			}
		}
		stop()
		time.Sleep(5 * time.Second) // until pending calls have ended
	})
}
