package model

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/relay"
)

const (
	// holdMax is the longest task lease that a worker grants.
	holdMax = 10 * time.Second
	// stopGrace is the longest time that a stop takes.
	stopGrace = 400 * time.Millisecond
	// maxListedEnds is the largest number of ends in one answer.
	maxListedEnds = 500
)

var (
	errNoAnswer = errors.New("no answer")
	errReset    = errors.New("connection reset")
)

// process is one process of a worker. The lock of the world guards it.
type process struct {
	id       string
	name     string // id and number of the boot, for the trace
	born     int64
	started  time.Time
	rate     float64 // of its clock against real time
	fence    int64
	deadline time.Duration // end of the task lease, on its clock
	lease    *time.Timer
	running  map[string]*taskRun
	rejected map[string]int64 // by task, the highest run that was stopped or has ended
	ends     []listedEnd
	lastEnd  int64
	observed int64 // the highest value that a hold carried
	dead     bool
	draining bool
	leavesAt time.Time
	changed  chan struct{} // closed when a run or the process ends
}

// listedEnd is the end of a run that the worker lists until it is observed.
type listedEnd struct {
	number     int64
	run        *taskRun
	checkpoint string
}

// clock returns the time on the worker's clock, which begins anew with each process.
func (p *process) clock() time.Duration {
	return 50*time.Millisecond + time.Duration(p.rate*float64(time.Since(p.started)))
}

// signal wakes the holds that wait.
func (p *process) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// machine is the machine of a worker with its relay.
type machine struct {
	w     *world
	index int
	proc  *process // nil while nothing listens at the worker's address
	boots int
	ids   int // number of ids that its processes have had
	// The fields below count the faults in force.
	lateStarts, lateStops, lateHolds, hangs, deaf, muted, unhealthy, lateHeartbeats int
}

var _ relay.Worker = (*machine)(nil)

// boot starts a process, under the last id or a new one. The caller holds the lock.
func (m *machine) boot(newID bool) {
	if newID || m.ids == 0 {
		m.ids++
	}
	m.boots++
	id := fmt.Sprintf("w%d-%d", m.index, m.ids)
	m.proc = &process{
		id: id, name: fmt.Sprintf("%s/%d", id, m.boots), born: time.Now().UnixMilli(), started: time.Now(), rate: 1 - 0.01*float64(m.w.rng.IntN(3)),
		running: map[string]*taskRun{}, rejected: map[string]int64{}, changed: make(chan struct{}),
	}
	m.w.rec.fault("worker %s starts, clock rate %.3f", m.proc.name, m.proc.rate)
}

// crash ends the process without notice, for the reason why. The caller holds the lock.
func (m *machine) crash(why string) {
	p := m.proc
	if p == nil {
		return
	}
	m.w.rec.fault("worker %s ends (%s) with %d runs", p.name, why, len(p.running))
	m.proc, p.dead = nil, true
	if p.lease != nil {
		p.lease.Stop()
	}
	for _, r := range p.running {
		m.w.rec.end(r, why)
		m.w.leave(r)
	}
	p.running = nil
	p.signal()
}

// call makes a call to the worker. It is carried out at once, later or never, and may
// lack an answer.
func (m *machine) call(ctx context.Context, kind string, call relay.Call, carryOut func(p *process, how string) relay.Answer) relay.Answer {
	m.w.mu.Lock()
	p := m.proc
	if p == nil {
		m.w.mu.Unlock()
		return relay.NotReached(relay.ErrNoWorker)
	}
	if call.BornMS != 0 && call.BornMS != p.born {
		m.w.mu.Unlock()
		return relay.NotReached(relay.ErrReplaced)
	}
	fate, delay := m.fate(kind)
	execute := func(p *process, how string) relay.Answer {
		if p.id != call.Worker {
			return relay.NotReached(relay.ErrOtherWorker)
		}
		return carryOut(p, how)
	}
	var answer relay.Answer
	switch fate {
	case fateAnswered:
		answer = execute(p, "")
	case fateUnhealthy:
		answer = relay.NothingDone(graph.RefusedUnhealthy)
	case fateLost:
		execute(p, "(answer lost)")
	case fateLate:
		sent := m.w.rec.clock()
		m.w.after(delay, func() {
			next := m.proc
			if next == nil || next != p && !m.w.enabled[faultAcross] {
				return
			}
			execute(next, fmt.Sprintf("(late %s sent at %s to %s)", kind, sent, p.name))
		})
	case fateNever:
	}
	latency := time.Duration(m.w.rng.IntN(2000)) * time.Microsecond
	m.w.mu.Unlock()
	if fate != fateAnswered && fate != fateUnhealthy {
		select {
		case <-ctx.Done():
		case <-time.After(30 * time.Second):
		}
		return relay.Unknown(errNoAnswer)
	}
	if !sleep(ctx, latency) {
		return relay.Unknown(ctx.Err())
	}
	return answer
}

// callFate is what becomes of a call.
type callFate int

const (
	fateAnswered callFate = iota
	fateLost              // carried out, without an answer
	fateLate              // carried out later, without an answer
	fateNever             // not carried out
	fateUnhealthy
)

// fate draws what becomes of a call. The caller holds the lock.
func (m *machine) fate(kind string) (callFate, time.Duration) {
	rng := m.w.rng
	late := kind == "start" && m.lateStarts > 0 || kind == "stop" && m.lateStops > 0 || kind == "hold" && m.lateHolds > 0
	switch {
	case m.deaf > 0:
		return fateNever, 0
	case late && rng.IntN(10) < 7, m.hangs > 0 && rng.IntN(2) == 0:
		return fateLate, 2*time.Second + time.Duration(rng.IntN(10000))*time.Millisecond
	case late && rng.IntN(3) == 0, m.hangs > 0:
		return []callFate{fateLost, fateNever}[rng.IntN(2)], 0
	case m.unhealthy > 0 && kind == "start":
		return fateUnhealthy, 0
	}
	return fateAnswered, 0
}

// accept checks the fence of a call and extends the task lease. The caller holds the lock.
func (w *world) accept(p *process, call relay.Call) relay.Answer {
	if call.Epoch < p.fence {
		return relay.NothingDone(graph.RefusedStaleEpoch)
	}
	p.fence = call.Epoch
	now := p.clock()
	deadline := min(call.Deadline.Truncate(time.Millisecond), now+holdMax)
	if deadline <= p.deadline {
		return relay.Done()
	}
	p.deadline = deadline
	if p.lease != nil {
		p.lease.Stop()
	}
	p.lease = w.after(time.Duration(float64(deadline-now)/p.rate), func() { w.lapse(p) })
	return relay.Done()
}

// lapse ends all runs of a process, whose task lease has expired.
func (w *world) lapse(p *process) {
	if p.dead || p.clock()+time.Millisecond < p.deadline {
		return
	}
	w.rec.fault("lease of worker %s expires with %d runs and %d listed ends", p.name, len(p.running), len(p.ends))
	for _, e := range p.ends {
		e.run.lapsed = true
	}
	for _, r := range p.running {
		w.endIfRunning(r, graph.EndLeaseExpired)
	}
}

// endIfRunning ends a run that still runs, and lists the end at its worker.
func (w *world) endIfRunning(r *taskRun, how string) {
	p := w.processOf(r)
	if p == nil {
		return
	}
	delete(p.running, r.task)
	r.timer.Stop()
	w.rec.end(r, how)
	p.rejected[r.task] = max(p.rejected[r.task], r.run)
	p.lastEnd++
	checkpoint := ""
	if how != graph.EndDone && w.isCheckpointing(r.task) {
		checkpoint = fmt.Sprintf("%x", p.lastEnd)
	}
	p.ends = append(p.ends, listedEnd{p.lastEnd, r, checkpoint})
	w.machines[r.machine].forget(p, 0, "(at its end)")
	if how != graph.EndDone {
		w.leave(r)
	}
	p.signal()
}

// processOf returns the process on which a run runs, or nil.
func (w *world) processOf(r *taskRun) *process {
	if p := w.machines[r.machine].proc; p != nil && p.running[r.task] == r {
		return p
	}
	return nil
}

// Start implements relay.Worker.
func (m *machine) Start(ctx context.Context, call relay.Call, start *flow.Start) relay.Answer {
	return m.call(ctx, "start", call, func(p *process, how string) relay.Answer {
		answer := m.startRun(p, call, start, how)
		m.w.rec.trace(start.GetTask(), "run %d start at %s: %v %s", start.GetRun(), p.name, answer, how)
		return answer
	})
}

// startRun carries out a start. The caller holds the lock.
func (m *machine) startRun(p *process, call relay.Call, start *flow.Start, how string) relay.Answer {
	w := m.w
	if answer := w.accept(p, call); answer.Effect() != relay.EffectDone {
		return answer
	}
	task, run := start.GetTask(), start.GetRun()
	present := p.running[task]
	switch {
	case present != nil && present.run == run && !present.stopping:
		return relay.Done()
	case run <= p.rejected[task] || present != nil:
		return relay.NothingDone(graph.RefusedStaleRun)
	case call.Deadline <= p.clock():
		return relay.NothingDone(graph.RefusedExpired)
	case len(p.running) >= machineRoom:
		return relay.NothingDone(graph.RefusedNoRoom)
	}
	r := &taskRun{task: task, run: run, machine: m.index, process: p.name, began: time.Now(), unit: w.unitOf(task), gang: w.gangOf(task, run)}
	w.rec.begin(r, how)
	p.running[task] = r
	length, fails := w.lengthOf(task, run)
	switch {
	case fails:
		r.timer = w.after(length/2, func() { w.endIfRunning(r, graph.EndFailed) })
	case r.gang == nil:
		r.timer = w.after(length, func() { w.endIfRunning(r, graph.EndDone) })
	default:
		r.timer = time.NewTimer(0)
	}
	if r.gang != nil {
		w.join(r)
	}
	return relay.Done()
}

// Stop implements relay.Worker.
func (m *machine) Stop(ctx context.Context, call relay.Call, stop *flow.Stop) relay.Answer {
	return m.call(ctx, "stop", call, func(p *process, how string) relay.Answer {
		answer := m.w.accept(p, relay.Call{Epoch: call.Epoch})
		m.w.rec.trace(stop.GetTask(), "run %d stop at %s: %v %s", stop.GetRun(), p.name, answer, how)
		if answer.Effect() != relay.EffectDone {
			return answer
		}
		p.rejected[stop.GetTask()] = max(p.rejected[stop.GetTask()], stop.GetRun())
		if r := p.running[stop.GetTask()]; r != nil && r.run == stop.GetRun() && !r.stopping {
			r.stopping = true
			m.w.after(time.Duration(m.w.rng.Int64N(int64(stopGrace))), func() { m.w.endIfRunning(r, graph.EndStopped) })
		}
		return answer
	})
}

// Hold implements relay.Worker.
func (m *machine) Hold(ctx context.Context, call relay.Call, observed int64, wait time.Duration) (relay.RunLists, relay.Answer) {
	var held *process
	answer := m.call(ctx, "hold", call, func(p *process, how string) relay.Answer {
		answer := m.w.accept(p, call)
		if answer.Effect() == relay.EffectDone {
			m.forget(p, observed, how)
			held = p
		}
		return answer
	})
	if answer.Effect() != relay.EffectDone {
		return relay.RunLists{}, answer
	}
	timeout := time.After(min(wait, 2*time.Second))
	for {
		m.w.mu.Lock()
		lists, changed, dead := m.w.lists(held), held.changed, held.dead
		m.w.mu.Unlock()
		if dead {
			return relay.RunLists{}, relay.Unknown(errReset)
		}
		if len(lists.Ends) > 0 || wait == 0 {
			return lists, answer
		}
		select {
		case <-ctx.Done():
			return relay.RunLists{}, relay.Unknown(ctx.Err())
		case <-timeout:
			wait = 0
		case <-changed:
		}
	}
}

// forget removes the ends that were observed. The caller holds the lock.
func (m *machine) forget(p *process, observed int64, how string) {
	p.observed = max(p.observed, observed)
	if m.w.enabled[faultSticky] {
		observed = p.observed
	}
	p.ends = slices.DeleteFunc(p.ends, func(e listedEnd) bool {
		if e.number > observed {
			return false
		}
		m.w.rec.observe(e.run, how)
		return true
	})
}

// lists returns a process's lists of runs. The caller holds the lock.
func (w *world) lists(p *process) relay.RunLists {
	lists := relay.RunLists{Clock: p.clock().Truncate(time.Millisecond), Born: p.born}
	for _, e := range p.ends[:min(len(p.ends), maxListedEnds)] {
		lists.Ends = append(lists.Ends, &flow.End{Number: e.number, Task: e.run.task, Run: e.run.run, How: e.run.how, Checkpoint: e.checkpoint})
	}
	for _, r := range p.running {
		length, _ := w.lengthOf(r.task, r.run)
		percent := min(99, int32(100*time.Since(r.began)/length))
		lists.Running = append(lists.Running, &flow.Run{Task: r.task, Run: r.run, Percent: percent})
	}
	return lists
}

// sleep waits and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
