package model

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/stand/fakekv"
)

// faultKind is a kind of fault. Each can be switched off.
type faultKind string

// The kinds without a time and a place hold for a whole run of the model.
const (
	faultLateStart     faultKind = "late-start"
	faultLateStop      faultKind = "late-stop"
	faultLateHold      faultKind = "late-hold"
	faultAcross        faultKind = "across" // late calls reach the next process under the same id
	faultHang          faultKind = "hang"
	faultDeaf          faultKind = "deaf" // calls are not carried out
	faultUnhealthy     faultKind = "unhealthy"
	faultCrashSame     faultKind = "crash-same" // the next process has the same id
	faultCrashNew      faultKind = "crash-new"
	faultDrain         faultKind = "drain"
	faultLateHeartbeat faultKind = "late-heartbeat"
	faultMute          faultKind = "mute"          // heartbeats are lost
	faultTasks         faultKind = "tasks"         // some runs fail
	faultGangs         faultKind = "gangs"         // some steps are gangs
	faultGangFailures  faultKind = "gang-failures" // runs of gangs in which members fail; few attempts
	faultIdle          faultKind = "idle"          // the first job comes late
	faultCancel        faultKind = "cancel"
	faultCut           faultKind = "cut"
	faultLateReport    faultKind = "late-report"
	faultLoseAnswer    faultKind = "lose-answer"
	faultRelayKill     faultKind = "relay-kill"
	faultGateKill      faultKind = "gate-kill"
	faultGateFreeze    faultKind = "gate-freeze"
	faultGateYield     faultKind = "gate-yield"
	faultStoreDown     faultKind = "store-down"
	faultStorePause    faultKind = "store-pause" // down, and leases do not run meanwhile
	faultStoreSlow     faultKind = "store-slow"
	faultStoreLose     faultKind = "store-lose"
	faultWritesLost    faultKind = "writes-lost"  // writes of progress get no answer and do nothing
	faultGateCutOff    faultKind = "gate-cut-off" // one gate is without the store
	faultGateReads     faultKind = "gate-reads"   // reads of one gate are rejected
	faultGateSlow      faultKind = "gate-slow"    // writes of one gate take effect late
	faultRelayCutOff   faultKind = "relay-cut-off"
	faultCompact       faultKind = "compact"
	faultLapse         faultKind = "lapse"  // leases in the store end early
	faultSticky        faultKind = "sticky" // a worker also forgets later ends up to the highest observed
)

// faultKinds are all kinds. The times and places of those with a length are drawn.
var faultKinds = []struct {
	kind      faultKind
	low, high time.Duration // shortest and longest length
}{
	{faultLateStart, 500 * time.Millisecond, 12 * time.Second},
	{faultLateStop, 500 * time.Millisecond, 12 * time.Second},
	{faultLateHold, 500 * time.Millisecond, 8 * time.Second},
	{faultAcross, 0, 0},
	{faultHang, 300 * time.Millisecond, 13 * time.Second},
	{faultDeaf, 300 * time.Millisecond, 13 * time.Second},
	{faultUnhealthy, 500 * time.Millisecond, 5 * time.Second},
	{faultCrashSame, 100 * time.Millisecond, 6 * time.Second},
	{faultCrashNew, 100 * time.Millisecond, 6 * time.Second},
	{faultDrain, 2 * time.Second, 12 * time.Second},
	{faultMute, 500 * time.Millisecond, 8 * time.Second},
	{faultLateHeartbeat, 1 * time.Second, 10 * time.Second},
	{faultTasks, 0, 0},
	{faultGangs, 0, 0},
	{faultGangFailures, 0, 0},
	{faultIdle, 0, 0},
	{faultCancel, 1 * time.Second, 10 * time.Second},
	{faultCut, 200 * time.Millisecond, 14 * time.Second},
	{faultLateReport, 500 * time.Millisecond, 10 * time.Second},
	{faultLoseAnswer, 500 * time.Millisecond, 12 * time.Second},
	{faultRelayKill, 100 * time.Millisecond, 4 * time.Second},
	{faultGateKill, 200 * time.Millisecond, 6 * time.Second},
	{faultGateFreeze, 200 * time.Millisecond, 10 * time.Second},
	{faultGateYield, time.Millisecond, 100 * time.Millisecond},
	{faultStoreDown, 300 * time.Millisecond, 12 * time.Second},
	{faultStorePause, 300 * time.Millisecond, 14 * time.Second},
	{faultStoreSlow, 500 * time.Millisecond, 8 * time.Second},
	{faultStoreLose, 500 * time.Millisecond, 8 * time.Second},
	{faultWritesLost, 300 * time.Millisecond, 6 * time.Second},
	{faultGateCutOff, 300 * time.Millisecond, 12 * time.Second},
	{faultGateReads, 300 * time.Millisecond, 12 * time.Second},
	{faultGateSlow, 500 * time.Millisecond, 10 * time.Second},
	{faultRelayCutOff, 500 * time.Millisecond, 12 * time.Second},
	{faultCompact, time.Millisecond, 100 * time.Millisecond},
	{faultLapse, time.Millisecond, 100 * time.Millisecond},
	{faultSticky, 0, 0},
}

// extraKinds are the kinds that are enabled only if they are named. The protocol leaves
// open whether the platform shows them, or excludes it (faultLapse).
var extraKinds = []faultKind{faultAcross, faultLapse, faultSticky}

// fault is one fault of a sequence.
type fault struct {
	kind       faultKind
	at, length time.Duration
	machine    int
	gate       int  // -1 is the holder of the claim
	seed       int  // further choices
	all        bool // all relays or all gates, where that applies
}

// String returns the fault for the trace.
func (f fault) String() string {
	return fmt.Sprintf("%s at %.3f for %.3f machine %d gate %d all %v", f.kind, f.at.Seconds(), f.length.Seconds(), f.machine, f.gate, f.all)
}

const (
	// firstFault and faultSpan limit the times at which clusters of faults begin, idleSpan
	// after an idle time: what is special then passes soon.
	firstFault = time.Second
	faultSpan  = 29 * time.Second
	idleSpan   = 6 * time.Second
	// faultSpread is the longest time within which the faults of one cluster begin.
	faultSpread = 9 * time.Second
)

// drawFaults draws a sequence of faults of one to three of the kinds. They come in
// clusters that begin within span; those of a cluster begin close to each other and mostly
// concern the same machine and gate.
func drawFaults(seed uint64, kinds []faultKind, span time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	var faults []fault
	var drawn []int
	for range 1 + rng.IntN(3) {
		var possible []int
		for i, k := range faultKinds {
			if k.high > 0 && slices.Contains(kinds, k.kind) {
				possible = append(possible, i)
			}
		}
		if len(possible) > 0 {
			drawn = append(drawn, possible[rng.IntN(len(possible))])
		}
	}
	for range 1 + rng.IntN(3) {
		start := firstFault + time.Duration(rng.Int64N(int64(span)))
		spread := time.Second + time.Duration(rng.Int64N(int64(faultSpread-time.Second)))
		machine, gate := rng.IntN(machineCount), -1
		for _, i := range drawn {
			for range 1 + rng.IntN(2) {
				k := faultKinds[i]
				f := fault{
					kind: k.kind, at: start + time.Duration(rng.Int64N(int64(spread))), machine: machine, gate: gate, seed: rng.Int(),
					length: k.low + time.Duration(rng.Int64N(int64(k.high-k.low))), all: rng.IntN(4) == 0,
				}
				if k.kind == faultCut && rng.IntN(3) == 0 {
					f.length = taskLease + time.Duration(rng.Int64N(int64(5*time.Second))) // task leases expire
				}
				if rng.IntN(4) == 0 {
					f.machine = rng.IntN(machineCount)
				}
				if rng.IntN(4) == 0 {
					f.gate = rng.IntN(gateCount)
				}
				faults = append(faults, f)
			}
		}
	}
	slices.SortFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	return faults
}

// maxIdle is the longest time before the first job.
const maxIdle = 8 * time.Minute

// drawIdle draws the time before the first job, which is 0 for most seeds.
func drawIdle(seed uint64, kinds []faultKind) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 4))
	if !slices.Contains(kinds, faultIdle) || rng.IntN(4) > 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(maxIdle)))
}

// inject waits for the time of a fault, injects it and ends it.
func (w *world) inject(ctx context.Context, f fault) {
	if !sleep(ctx, f.at) {
		return
	}
	end := w.begin(ctx, f)
	w.mu.Lock()
	w.rec.fault("begins: %v", f)
	w.mu.Unlock()
	sleep(ctx, f.length)
	if end != nil {
		end()
	}
	w.mu.Lock()
	w.rec.fault("ended: %v", f)
	w.mu.Unlock()
}

// begin injects a fault and returns a function that ends it, or nil.
func (w *world) begin(ctx context.Context, f fault) func() {
	m, h := w.machines[f.machine], w.relays[f.machine]
	g := w.gates[max(f.gate, 0)]
	if holder := w.holder(ctx); f.gate < 0 && holder != nil {
		g = holder
	}
	switch f.kind {
	case faultLateStart:
		return w.count(&m.lateStarts)
	case faultLateStop:
		return w.count(&m.lateStops)
	case faultLateHold:
		return w.count(&m.lateHolds)
	case faultDeaf:
		return w.count(&m.deaf)
	case faultMute:
		return w.count(&m.muted)
	case faultUnhealthy:
		return w.count(&m.unhealthy)
	case faultLateHeartbeat:
		return w.count(&m.lateHeartbeats)
	case faultHang:
		hangEnds := w.count(&m.hangs)
		if f.seed%2 == 0 {
			return hangEnds
		}
		muteEnds := w.count(&m.muted)
		return func() { hangEnds(); muteEnds() }
	case faultCrashSame, faultCrashNew:
		return w.crash(m, f.kind == faultCrashNew)
	case faultDrain:
		w.drain(ctx, m, h, f)
	case faultCancel:
		w.cancelJobs(ctx, f)
	case faultCut, faultLateReport, faultLoseAnswer:
		return w.disturbPaths(f, g)
	case faultRelayKill:
		h.kill()
		return func() { h.start(ctx) }
	case faultGateKill:
		g.kill()
		return func() {
			if g.present() == nil {
				g.start(ctx)
			}
		}
	case faultGateFreeze:
		g.freeze()
		return g.thaw
	case faultGateYield:
		if proc := g.present(); proc != nil {
			if claim, err := duty.ReadClaim(ctx, w.kv.WithCaller("check")); err == nil {
				_ = proc.gate.RPCHandlers().Yield(&flow.YieldRequest{Epoch: claim.GetEpoch()}, &flow.YieldResponse{}) // it may refuse
			}
		}
	case faultStoreLose:
		return w.count(&w.losingAnswers)
	case faultWritesLost:
		return w.count(&w.losingWrites)
	case faultGateReads:
		g.rejectReads(1)
		return func() { g.rejectReads(-1) }
	case faultStorePause:
		return w.pauseStore(ctx)
	case faultCompact:
		w.kv.Compact()
	case faultLapse:
		if proc := g.present(); proc != nil {
			w.kv.LapseLeases(proc.caller)
		}
	default:
		return w.disturbStore(f, g)
	}
	return nil
}

// count raises a count of faults, and lowers it when the returned function is called.
func (w *world) count(n *int) func() {
	add := func(change int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		*n += change
	}
	add(1)
	return func() { add(-1) }
}

// crash ends a worker's process. A new one starts when the returned function is called.
func (w *world) crash(m *machine, newID bool) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	m.crash(endCrash)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if m.proc == nil {
			m.boot(newID)
		}
	}
}

// drain has a worker drain, announce its end and end. A new one starts some seconds later.
func (w *world) drain(ctx context.Context, m *machine, h *relayHost, f fault) {
	w.mu.Lock()
	p := m.proc
	if p == nil || p.draining {
		w.mu.Unlock()
		return
	}
	p.draining, p.leavesAt = true, time.Now().Add(f.length)
	w.mu.Unlock()
	go func() {
		sleep(ctx, f.length+time.Duration(f.seed%4000)*time.Millisecond)
		w.mu.Lock()
		dead := p.dead
		w.mu.Unlock()
		if r := h.present(); r != nil && !dead {
			_ = r.HandleLeave(ctx, p.id) // the worker ends, whatever the answer
		}
		untilEnd := time.Duration(f.seed%300) * time.Millisecond
		w.mu.Lock()
		if m.hangs > 0 { // it gets no answer and ends some seconds later
			untilEnd = time.Duration(f.seed%4000) * time.Millisecond
		}
		w.mu.Unlock()
		sleep(ctx, untilEnd)
		w.mu.Lock()
		if m.proc == p {
			m.crash(endLeft)
		}
		w.mu.Unlock()
		sleep(ctx, time.Duration(500+f.seed%3000)*time.Millisecond)
		w.mu.Lock()
		defer w.mu.Unlock()
		if m.proc == nil {
			m.boot(true)
		}
	}()
}

// cancelJobs cancels some jobs.
func (w *world) cancelJobs(ctx context.Context, f fault) {
	w.mu.Lock()
	var ids []string
	for id := range w.jobs {
		ids = append(ids, id)
	}
	w.mu.Unlock()
	slices.Sort(ids)
	for i, id := range ids[max(0, len(ids)-6):] {
		if (f.seed>>i)%2 == 0 {
			w.mu.Lock()
			w.cancelled[id] = true
			w.mu.Unlock()
			w.storeRecord(ctx, duty.CancelKey(id), &flow.Work{})
		}
	}
}

// disturbPaths disturbs the paths between a relay, or all, and a gate or all.
func (w *world) disturbPaths(f fault, g *gateHost) func() {
	faults := map[faultKind]map[path]int{faultCut: w.net.cuts, faultLateReport: w.net.delays, faultLoseAnswer: w.net.losses}[f.kind]
	var paths []path
	for _, h := range w.relays {
		for _, other := range w.gates {
			if h.index != f.machine && !(f.all && f.seed%2 == 0) || other != g && !(f.all && f.seed%2 == 1) && f.seed%3 > 0 {
				continue
			}
			if f.kind != faultLoseAnswer && f.seed/8%4 != 0 {
				paths = append(paths, path{h.index, other.index, toGate})
			}
			if f.kind == faultLoseAnswer || f.seed/8%4 != 1 {
				paths = append(paths, path{h.index, other.index, toRelay})
			}
		}
	}
	for _, p := range paths {
		w.net.add(faults, p, 1)
	}
	return func() {
		for _, p := range paths {
			w.net.add(faults, p, -1)
		}
	}
}

// disturbStore disturbs the store for all, a gate or the relays.
func (w *world) disturbStore(f fault, g *gateHost) func() {
	slow := time.Duration(100+f.seed%6000) * time.Millisecond
	set := func(faults fakekv.Faults) {
		switch {
		case f.kind == faultRelayCutOff:
			for _, h := range w.relays {
				w.kv.SetFaults(fmt.Sprintf("r%d", h.index), faults)
			}
		case strings.HasPrefix(string(f.kind), "gate-"):
			g.setStoreFaults(faults)
		default:
			w.kv.SetFaults(fakekv.AllCallers, faults)
		}
	}
	set(map[faultKind]fakekv.Faults{
		faultStoreDown: {Down: true}, faultGateCutOff: {Down: true}, faultRelayCutOff: {Down: true},
		faultStoreSlow: {Delay: slow}, faultGateSlow: {Delay: slow},
	}[f.kind])
	return func() { set(fakekv.Faults{}) }
}

// pauseStore takes the store down. Until the returned function is called, the lease of the
// claim does not run.
func (w *world) pauseStore(ctx context.Context) func() {
	set := func(faults fakekv.Faults) {
		for _, g := range w.gates {
			g.setStoreFaults(faults)
		}
		for _, h := range w.relays {
			w.kv.SetFaults(fmt.Sprintf("r%d", h.index), faults)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	set(fakekv.Faults{Down: true})
	go func() {
		check := w.kv.WithCaller("check")
		for {
			if item, err := check.Get(ctx, duty.KeyPrefix+"duty"); err == nil {
				_ = check.KeepAlive(ctx, item.Lease) // it may have ended
			}
			if !sleep(ctx, pauseRenewal) {
				return
			}
		}
	}()
	return func() {
		cancel()
		set(fakekv.Faults{})
	}
}

// pauseRenewal is the time between two renewals of a lease that does not run.
const pauseRenewal = 100 * time.Millisecond
