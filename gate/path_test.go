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
	pathGates   = 2
	pathWorkers = 3
	pathTook    = 2 * time.Second
)

// path is the whole path with stand-ins at both ends, under a paused clock.
type path struct {
	t       *testing.T
	life    context.Context
	kv      *fakekv.Server
	workers []*fakewk.Worker

	mu    sync.Mutex
	gates map[netip.AddrPort]*gate.Gate
	kill  map[netip.AddrPort]context.CancelFunc
	// cut are the relays that reach no gate.
	cut     map[int]bool
	relays  map[int]*relay.Relay
	restart map[int]context.CancelFunc
}

func gateAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+n))
}

func pathOperator() gate.Operator {
	return gate.Operator{
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

func newPath(life context.Context, t *testing.T) *path {
	p := &path{
		t: t, life: life, kv: fakekv.New(), gates: map[netip.AddrPort]*gate.Gate{}, kill: map[netip.AddrPort]context.CancelFunc{},
		cut: map[int]bool{}, relays: map[int]*relay.Relay{}, restart: map[int]context.CancelFunc{},
	}
	if _, err := p.kv.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: "op/table", Value: []byte("1")}}}); err != nil {
		t.Fatal(err)
	}
	for n := range pathGates {
		p.startGate(n)
		time.Sleep(time.Second) // the first one takes the duty
	}
	site := fakewk.NewSite()
	for n := range pathWorkers {
		p.workers = append(p.workers, fakewk.New(site, fmt.Sprint("w", n), pathTook))
	}
	for n := range pathWorkers {
		p.startRelay(n)
		go p.beat(n)
	}
	time.Sleep(3 * time.Second)
	return p
}

func (p *path) startGate(n int) {
	ctx, cancel := context.WithCancel(p.life)
	addr, name := gateAddr(n), fmt.Sprint("g", n)
	g := gate.New(gate.Options{
		Name: name, Address: addr, KV: p.kv.WithCaller(name), Operator: pathOperator(), ClaimTTL: 1500 * time.Millisecond,
		Settings: duty.Settings{TaskLease: 6 * time.Second, ConfigAge: 2500 * time.Millisecond, StartAge: 4500 * time.Millisecond, Retention: time.Minute, RemoteFactor: 3},
	})
	p.mu.Lock()
	p.gates[addr], p.kill[addr] = g, cancel
	p.mu.Unlock()
	go func() { _ = g.Run(ctx) }() // it ends with the test or with killHolder
}

// holder returns the address in the claim, which may be that of a dead gate.
func (p *path) holder() (netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.gates {
		answer := &flow.FindResponse{}
		if err := g.Calls().Find(&flow.FindRequest{}, answer); err == nil && answer.GetClaim() != nil {
			return netip.ParseAddrPort(answer.GetClaim().GetAddress())
		}
	}
	return netip.AddrPort{}, errors.New("nobody holds the duty")
}

// killHolder ends the holder so that it can give nothing up.
func (p *path) killHolder() {
	addr, err := p.holder()
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kill[addr] != nil && len(p.gates) == pathGates {
		p.killGate(addr)
	}
}

// stopHolder ends the holder as planned: it leaves and gives up the duty.
func (p *path) stopHolder() {
	addr, err := p.holder()
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.gates[addr]; g != nil && len(p.gates) == pathGates {
		g.Leave()
		p.kill[addr]()
		delete(p.gates, addr)
	}
}

// killGate ends a gate; the caller holds the lock.
func (p *path) killGate(addr netip.AddrPort) {
	p.kv.SetFaults(fmt.Sprint("g", addr.Port()-1), fakekv.Faults{Down: true})
	p.kill[addr]()
	delete(p.gates, addr)
}

// yieldHolder asks the holder to give up the duty to another gate.
func (p *path) yieldHolder() {
	addr, err := p.holder()
	if err != nil {
		return
	}
	p.mu.Lock()
	g := p.gates[addr]
	p.mu.Unlock()
	found := &flow.FindResponse{}
	if err := g.Calls().Find(&flow.FindRequest{}, found); err == nil {
		_ = g.Calls().Yield(&flow.YieldRequest{Epoch: found.GetClaim().GetEpoch(), Gate: "g9"}, &flow.YieldResponse{}) // it may refuse
	}
}

// killAll ends all gates and relays; workers go on.
func (p *path) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr := range p.gates {
		p.killGate(addr)
	}
	for n := range p.relays {
		p.restart[n]()
	}
}

// startAll starts what killAll has ended.
func (p *path) startAll() {
	for n := range pathGates {
		p.kv.SetFaults(fmt.Sprint("g", n), fakekv.Faults{})
		p.startGate(n)
	}
	p.each(func(n int, _ *fakewk.Worker) { p.startRelay(n) })
}

func (p *path) startRelay(n int) {
	ctx, cancel := context.WithCancel(p.life)
	reached := func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return !p.cut[n] && ctx.Err() == nil
	}
	r := relay.New(relay.Options{
		Name: fmt.Sprint("r", n), Worker: p.workers[n],
		Find: func(context.Context) (netip.AddrPort, error) {
			if !reached() {
				return netip.AddrPort{}, errors.New("cut off")
			}
			return p.holder()
		},
		Attend: func(_ context.Context, addr netip.AddrPort, report *flow.Report) (*flow.Orders, error) {
			p.mu.Lock()
			g := p.gates[addr]
			p.mu.Unlock()
			if g == nil || !reached() {
				return nil, errors.New("not reached")
			}
			orders := &flow.Orders{}
			if err := g.Calls().Attend(proto.Clone(report).(*flow.Report), orders); err != nil {
				return nil, err
			}
			if !reached() {
				return nil, errors.New("answer lost")
			}
			return proto.Clone(orders).(*flow.Orders), nil
		},
	})
	p.mu.Lock()
	p.relays[n], p.restart[n] = r, cancel
	p.mu.Unlock()
	go func() { _ = r.Run(ctx) }() // it ends with the test or a restart
}

// beat sends the worker's heartbeats.
func (p *path) beat(n int) {
	for sequence := int64(1); p.life.Err() == nil; sequence++ {
		p.mu.Lock()
		r := p.relays[n]
		p.mu.Unlock()
		info := &flow.Worker{Service: "s", DataCentre: "d", Labels: []string{"a", "r"}, Cpu: 4000, MemoryMb: 4000}
		if !p.workers[n].Gone() {
			_ = r.Beat(p.life, p.workers[n].Beat(sequence, info)) // the next one follows
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// each calls f for every worker.
func (p *path) each(f func(n int, w *fakewk.Worker)) {
	for n, w := range p.workers {
		f(n, w)
	}
}

// pathFault is one fault of the matrix. During it lasts for a while.
type pathFault struct {
	name   string
	begin  func(p *path)
	during time.Duration
	end    func(p *path)
	// forgets tells that an end which no scheduler saw may be lost: with its
	// worker, or because the lease ran out meanwhile.
	forgets bool
	// keeps tells that no run may be given up for it: the workers live, and their
	// leases last.
	keeps bool
}

var pathFaults = []pathFault{
	{name: "none", begin: func(*path) {}},
	{name: "holder killed", begin: (*path).killHolder},
	{name: "holder stopped as planned", keeps: true, begin: (*path).stopHolder},
	{name: "store down", during: 4 * time.Second, begin: func(p *path) { p.kv.SetFaults(fakekv.Everyone, fakekv.Faults{Down: true}) }, end: (*path).storeBack},
	{name: "store down and holder killed", during: 3 * time.Second, begin: func(p *path) {
		p.killHolder()
		p.kv.SetFaults(fakekv.Everyone, fakekv.Faults{Down: true})
	}, end: (*path).storeBack},
	{name: "holder killed while the store is slow", during: 2 * time.Second, begin: func(p *path) {
		p.kv.SetFaults(fakekv.Everyone, fakekv.Faults{Slow: 300 * time.Millisecond})
		time.Sleep(450 * time.Millisecond) // a start is on its way to the store
		p.killHolder()
	}, end: (*path).storeBack},
	{name: "store answers lost", during: 2 * time.Second, begin: func(p *path) { p.kv.SetFaults(fakekv.Everyone, fakekv.Faults{LoseProbability: 0.5, Seed: 1}) }, end: (*path).storeBack},
	{name: "all gates and relays killed", during: 2 * time.Second, begin: (*path).killAll, end: (*path).startAll},
	{name: "relays restarted", keeps: true, begin: func(p *path) {
		p.each(func(n int, _ *fakewk.Worker) {
			p.mu.Lock()
			p.restart[n]()
			p.mu.Unlock()
			p.startRelay(n)
		})
	}},
	{name: "holder yields", keeps: true, begin: (*path).yieldHolder},
	{name: "relays cut off for a second", keeps: true, during: time.Second, begin: func(p *path) { p.setCut(true) }, end: func(p *path) { p.setCut(false) }},
	{name: "relays cut off for less than the lease", keeps: true, during: 4 * time.Second, begin: func(p *path) { p.setCut(true) }, end: func(p *path) { p.setCut(false) }},
	{name: "relays cut off for more than the lease", forgets: true, during: 9 * time.Second, begin: func(p *path) { p.setCut(true) }, end: func(p *path) { p.setCut(false) }},
	{name: "workers silent", during: 3 * time.Second, begin: func(p *path) { p.each(func(_ int, w *fakewk.Worker) { w.SetSilent(true) }) }, end: func(p *path) { p.each(func(_ int, w *fakewk.Worker) { w.SetSilent(false) }) }},
	{name: "starts carried out late", during: 4 * time.Second, begin: func(p *path) { p.each(func(_ int, w *fakewk.Worker) { w.SetLate(3 * time.Second) }) }, end: func(p *path) { p.each(func(_ int, w *fakewk.Worker) { w.SetLate(0) }) }},
	{name: "worker crashes", forgets: true, begin: func(p *path) { p.workers[0].Crash() }},
	{name: "worker leaves without a word", forgets: true, begin: func(p *path) { p.workers[0].Leave() }},
	{name: "holder killed and worker leaves", forgets: true, begin: func(p *path) { p.killHolder(); p.workers[0].Leave() }},
}

func (p *path) storeBack() { p.kv.SetFaults(fakekv.Everyone, fakekv.Faults{}) }

func (p *path) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := range p.workers {
		p.cut[n] = cut
	}
}

// pathSteps are the moments of a fault, from the hand-in of the first job.
var pathSteps = []struct {
	name string
	at   time.Duration
}{
	{"before", -800 * time.Millisecond},
	{"accept", 0},
	{"start", 10 * time.Millisecond},
	{"run", time.Second},
	{"end", pathTook + 30*time.Millisecond},
}

// Each fault at each step: accepted jobs end, no task runs twice at a time, none
// runs again after an end that was seen, and nothing runs that was refused.
func TestFaultsOnTheWholePath(t *testing.T) {
	for _, fault := range pathFaults {
		for _, step := range pathSteps {
			t.Run(fault.name+"/"+step.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					life, stop := context.WithCancel(t.Context())
					p := newPath(life, t)
					p.judge(fault, p.play(fault, step.at))
					stop()
					time.Sleep(5 * time.Second) // calls under way end
				})
			})
		}
	}
}

// play hands in jobs around a fault and returns what callers were told.
func (p *path) play(fault pathFault, at time.Duration) map[string]gate.Verdict {
	told := map[string]gate.Verdict{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for n := range 6 {
		id := fmt.Sprintf("%016x", n)
		calls.Go(func() {
			time.Sleep(max(0, -at) + time.Duration(n)*400*time.Millisecond)
			verdict := p.submit(id)
			mu.Lock()
			defer mu.Unlock()
			told[id] = verdict
		})
	}
	time.Sleep(max(0, at))
	fault.begin(p)
	if fault.end != nil {
		time.Sleep(fault.during)
		fault.end(p)
	}
	calls.Wait()
	time.Sleep(30 * time.Second)
	return told
}

// submit hands a job in at the gates in turn until one answers for certain.
func (p *path) submit(id string) gate.Verdict {
	verdict := gate.Refused
	for try := range 4 {
		p.mu.Lock()
		g := p.gates[gateAddr(try%pathGates)]
		p.mu.Unlock()
		if g == nil {
			time.Sleep(time.Second)
			continue
		}
		answer := g.Submit(p.life, gate.Call{Host: "h", Path: "/q/" + id, Budget: 3 * time.Second}, func(int64) (*flow.Job, error) {
			step := &flow.Step{Count: 2, Cpu: 1000, EstimateMs: pathTook.Milliseconds()}
			if id[len(id)-1]%2 == 0 {
				step.Gang = true
				return &flow.Job{Spec: fakewk.Gang(2), Steps: []*flow.Step{step}}, nil
			}
			return &flow.Job{Spec: id, Steps: []*flow.Step{step}}, nil
		})
		if verdict != gate.Unknown || answer.Verdict == gate.Done {
			verdict = answer.Verdict // an unknown outcome stays so after a refusal
		}
		if verdict == gate.Done {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return verdict
}

func (p *path) judge(fault pathFault, told map[string]gate.Verdict) {
	p.t.Helper()
	runs := map[string][]fakewk.Run{}
	p.each(func(_ int, w *fakewk.Worker) {
		for _, r := range w.Record() {
			runs[r.Task] = append(runs[r.Task], r)
		}
	})
	for id, verdict := range told {
		phase := p.phase(id)
		ran := false
		for task, list := range runs {
			if task[:len(id)] != id {
				continue
			}
			ran = true
			p.judgeTask(fault, task, list)
		}
		switch {
		case verdict == gate.Done && phase != flow.Phase_COMPLETED:
			p.t.Errorf("job %s was accepted and is %v", id, phase)
		case verdict == gate.Refused && ran:
			p.t.Errorf("job %s was refused and ran", id)
		}
	}
}

func (p *path) judgeTask(fault pathFault, task string, list []fakewk.Run) {
	p.t.Helper()
	slices.SortFunc(list, func(a, b fakewk.Run) int { return a.Began.Compare(b.Began) })
	if fault.keeps && len(list) > 1 {
		p.t.Errorf("task %s began %d times", task, len(list))
	}
	for i := 1; i < len(list); i++ {
		before := list[i-1]
		if before.Ended.IsZero() || list[i].Began.Before(before.Ended) {
			p.t.Errorf("task %s: runs %d and %d at the same time", task, before.Run, list[i].Run)
		}
		if before.How == "done" && !fault.forgets {
			p.t.Errorf("task %s: run %d after run %d was done", task, list[i].Run, before.Run)
		}
	}
}

// phase returns what callers are told of a job.
func (p *path) phase(id string) flow.Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.gates {
		return g.State(p.life, gate.Call{Host: "h", Path: "/q/" + id, Budget: 3 * time.Second}).Phase
	}
	return flow.Phase_QUEUED
}

// A relay learns the addresses of all gates, so that it finds a new holder when
// neither the store nor the old one answers.
func TestRelayKnowsAllGates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life, stop := context.WithCancel(t.Context())
		p := newPath(life, t)
		p.mu.Lock()
		known := p.relays[0].Gates()
		p.mu.Unlock()
		for n := range pathGates {
			if !slices.Contains(known, gateAddr(n)) {
				t.Errorf("known gates %v; want %v among them", known, gateAddr(n))
			}
		}
		stop()
		time.Sleep(5 * time.Second) // calls under way end
	})
}
