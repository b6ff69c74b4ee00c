package duty

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/plan"
	"catkinpoint/route"
)

// pressedMemory is how long the last wait of an urgent unit counts; bursts of
// them last for some seconds.
const pressedMemory = 4 * time.Second

// place decides on starts and stops and notes them for the next write.
func (st *state) place(s *Scheduler, now time.Duration) {
	table := s.operator.Table()
	age, ok := s.operator.Age()
	if table == nil || !ok || age > s.settings.ConfigAge || st.superseded {
		return
	}
	in := st.input(s, table, now)
	s.reclaiming.Store(slices.ContainsFunc(in.Requests, func(r plan.Request) bool { return r.Reclaims }))
	if len(in.Requests) == 0 {
		return
	}
	began := time.Now()
	decision := plan.Decide(in)
	observe(decisionTime, time.Since(began))
	for _, a := range decision.Starts {
		j := st.jobs[a.Unit.Job.Spec.GetId()]
		number := j.graph.Assign(a.Unit, a.Places)
		for i, ref := range a.Unit.Tasks {
			j.runs[ref] = &run{run: number, at: now, expected: st.expectedAt(j, ref, a.Places, i, s)}
			delete(j.readySince, ref)
			st.put(j, j.graph.Task(ref))
		}
		st.change(j)
		startsCount.Add(context.Background(), int64(len(a.Places)))
		observe(waitTime, now-j.submitted)
		first := a.Unit.Tasks[0]
		klog.InfoS("duty: unit placed", "job", a.Unit.Job.Spec.GetId(), "step", first.Step, "index", first.Index, "tasks", len(a.Unit.Tasks),
			"run", number, "workers", workersOf(a.Places), "expected_ms", j.runs[first].expected.Milliseconds(), "declared_ms", a.Unit.Step.GetEstimateMs(),
			"waited_ms", (now - j.submitted).Milliseconds(), "config_age_ms", age.Milliseconds())
	}
	if len(decision.Holds) > 0 {
		st.pressedAt = now
	}
	st.held = map[unitKey][]graph.Place{}
	for _, h := range decision.Holds {
		st.held[unitKey{h.Unit.Job, h.Unit.Tasks[0]}] = h.Places
	}
	for _, r := range decision.Stops {
		j := st.jobs[r.Job.Spec.GetId()]
		if t := j.graph.Task(r.Ref); t != nil && t.Active() {
			stopsCount.Add(context.Background(), 1)
			klog.InfoS("duty: run preempted", "job", r.Job.Spec.GetId(), "step", r.Ref.Step, "index", r.Ref.Index,
				"unsaved_ms", r.Unsaved.Milliseconds(), "for", r.For.Job.Spec.GetId(), "for_tasks", len(r.For.Tasks))
			st.stop(j, t)
		}
	}
	st.plan = len(decision.Starts) > 0
}

// workersOf lists the workers of a unit for the log, the first few by name.
func workersOf(places []graph.Place) string {
	const named = 4
	var names []string
	for _, p := range places {
		if !slices.Contains(names, p.Worker) {
			names = append(names, p.Worker)
		}
	}
	if more := len(names) - named; more > 0 {
		names = append(names[:named], fmt.Sprintf("and %d more", more))
	}
	return strings.Join(names, " ")
}

// pressed tells whether urgent units have had to wait for room of late.
func (st *state) pressed(now time.Duration) bool {
	return st.pressedAt > 0 && now-st.pressedAt < pressedMemory
}

// expectedAt is the expected time of the unit's task i at its place.
func (st *state) expectedAt(j *job, ref graph.Ref, places []graph.Place, i int, s *Scheduler) time.Duration {
	step := j.graph.Step(ref)
	remote := step.GetDataRack() != "" && st.rackAt(places[i]) != step.GetDataRack()
	if step.GetGang() && step.GetSameRack() {
		for _, p := range places {
			remote = remote || st.rackAt(p) != st.rackAt(places[0])
		}
	}
	if remote {
		return time.Duration(float64(expected(j, ref)) * s.settings.RemoteFactor)
	}
	return expected(j, ref)
}

func (st *state) rackAt(p graph.Place) string {
	if w := st.byPlace[p]; w != nil {
		return rackOf(w.info)
	}
	return ""
}

// rackOf returns the label that names the worker's rack: the last one.
func rackOf(info *flow.Worker) string {
	labels := info.GetLabels()
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

// input is the state as package plan sees it.
func (st *state) input(s *Scheduler, table *route.Table, now time.Duration) plan.Input {
	in := plan.Input{
		Workers: st.in.Workers[:0], Requests: st.in.Requests[:0], Running: st.in.Running[:0],
		RemoteFactor: s.settings.RemoteFactor, Pressed: st.pressed(now),
	}
	guaranteed := st.guaranteed(table)
	free := map[graph.Place]plan.Amount{}
	for p, w := range st.byPlace {
		free[p] = capacity(w.info)
	}
	unixMS := time.Now().UnixMilli()
	for _, j := range st.open() {
		for _, t := range j.graph.Active() {
			need := amount(j.graph.Step(t.Ref))
			free[t.Place] = free[t.Place].Minus(need)
			in.Running = append(in.Running, st.running(j, t, need, guaranteed[j], now))
		}
		for _, unit := range j.graph.Ready(unixMS) {
			in.Requests = append(in.Requests, st.request(j, unit, guaranteed[j], now))
		}
	}
	for p, w := range st.byPlace {
		in.Workers = append(in.Workers, plan.Worker{
			Place: p, Service: w.info.GetService(), Labels: w.info.GetLabels(), Rack: rackOf(w.info),
			Capacity: capacity(w.info), Free: free[p], Usable: st.usable(s, w, now), Slowness: w.health.slowness(now),
			Doubtful: w.health.doubtful(now), Trial: w.health.onTrial(now),
		})
	}
	sortWorkers(in.Workers)
	st.in = in
	return in
}

func capacity(info *flow.Worker) plan.Amount {
	return plan.Amount{CPU: info.GetCpu(), Memory: info.GetMemoryMb(), Accelerators: info.GetAccelerators()}
}

// usable tells whether a worker takes starts.
func (st *state) usable(s *Scheduler, w *worker, now time.Duration) bool {
	return w.reconciled && !w.info.GetDraining() && !w.info.GetGone() &&
		now-w.heard < silence && now >= w.health.bannedUntil &&
		(!w.health.onTrial(now) || len(st.at[w.relay]) == 0) && !s.operator.Evacuated(w.info.GetDataCentre())
}

func (st *state) running(j *job, t *graph.Task, need plan.Amount, guaranteed bool, now time.Duration) plan.Running {
	r := j.runs[t.Ref]
	if r == nil {
		return plan.Running{Job: j.graph, Ref: t.Ref, Run: t.Run, At: t.Place, Need: need, Guaranteed: guaranteed}
	}
	done := time.Duration(float64(r.expected) * float64(r.percent) / 100)
	objective := time.Duration(graph.ObjectiveMS(j.graph.Spec)) * time.Millisecond
	tail := time.Duration(graph.TailMS(j.graph.Spec, t.Ref.Step)) * time.Millisecond
	spare := objective - (now - j.submitted) - tail
	if j.graph.Step(t.Ref).GetCheckpointing() {
		spare += done
	}
	return plan.Running{
		Job: j.graph, Ref: t.Ref, Run: t.Run, At: t.Place, Need: need, Remaining: r.remaining(now), Expected: r.expected, Spare: spare,
		Unsaved: st.unsaved(j, t.Ref, now), Stopping: r.stop, Guaranteed: guaranteed,
	}
}

func (st *state) request(j *job, unit graph.Unit, reclaims bool, now time.Duration) plan.Request {
	first := unit.Tasks[0]
	since, ok := j.readySince[first]
	if !ok {
		since = now
		j.readySince[first] = now
	}
	objective := time.Duration(graph.ObjectiveMS(j.graph.Spec)) * time.Millisecond
	left := objective - (now - j.submitted)
	tail := time.Duration(graph.TailMS(j.graph.Spec, first.Step)) * time.Millisecond
	const lateFactor = 3 // a result later than this many objectives is of no use
	failures, failedAt := j.failures(unit)
	return plan.Request{
		Failures: failures, FailedAt: failedAt,
		Unit: unit, Need: amount(unit.Step), Ready: now - since, Slack: left - tail,
		Lateness: lateFactor*objective - (now - j.submitted) - tail,
		Duration: time.Duration(unit.Step.GetEstimateMs()) * time.Millisecond, Reclaims: reclaims && j.graph.Task(first) == nil,
		Held: st.held[unitKey{j.graph, first}],
	}
}

// failures returns the most that a task of the unit has failed, and where.
func (j *job) failures(unit graph.Unit) (most int32, at []graph.Place) {
	for _, ref := range unit.Tasks {
		if t := j.graph.Task(ref); t != nil {
			most = max(most, t.Failures)
		}
		for _, w := range j.failedAt[ref] {
			at = append(at, w.place)
		}
	}
	return most, at
}

// guaranteed tells which jobs are covered by their customer's guarantee: those
// of priority 0 if all such jobs that have not ended need no more.
func (st *state) guaranteed(table *route.Table) map[*job]bool {
	need := map[string]int64{}
	urgent := func(j *job) bool {
		return j.graph.Spec.GetPriority() == 0 && !j.graph.Over() && !j.graph.Cancelled
	}
	for _, j := range st.open() {
		if !urgent(j) {
			continue
		}
		for _, step := range j.graph.Spec.GetSteps() {
			need[j.graph.Spec.GetCustomer()] += int64(step.GetCount()) * step.GetAccelerators()
		}
	}
	covered := map[*job]bool{}
	for _, j := range st.open() {
		if urgent(j) {
			customer := j.graph.Spec.GetCustomer()
			covered[j] = need[customer] <= table.Guaranteed(customer)
		}
	}
	return covered
}

func sortWorkers(workers []plan.Worker) {
	slices.SortFunc(workers, func(a, b plan.Worker) int { return cmp.Compare(a.Place.Worker, b.Place.Worker) })
}
