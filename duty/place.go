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

// urgentWaitMemory is how long urgent units count as short of resources after one of
// them had to wait for some. Bursts of urgent units last for some seconds.
const urgentWaitMemory = 4 * time.Second

// maxStarting is the number of runs that are starting on a worker from which no more are
// placed there. All of them are in each order to its relay.
const maxStarting = 256

// placeUnits decides which units start and which runs are stopped for others, and
// records the decision in the state. Starts are ordered once they are stored.
func (st *state) placeUnits(s *Scheduler, now time.Duration) {
	table := s.operator.Table()
	age, ok := s.operator.Age()
	if table == nil || !ok || age > s.settings.ConfigAge || st.superseded {
		return
	}
	free := st.freeRoom()
	st.takeBackStarts(free)
	in := st.buildInput(s, table, free, now)
	s.guaranteedWorkWaiting.Store(slices.ContainsFunc(in.Requests, func(r plan.Request) bool { return r.Guaranteed }))
	st.admission.unitsWait = len(in.Requests) > 0
	if len(in.Requests) == 0 {
		return
	}
	began := time.Now()
	decision := plan.Decide(in)
	observe(decisionHistogram, time.Since(began))
	if short := decision.Shortage; short != nil {
		observe(backlogHistogram, short.Backlog)
	}
	if short := decision.Shortage; short != nil && len(decision.Starts)+len(decision.Stops) > 0 {
		klog.InfoS("duty: room is short", "waiting_in_time", short.InTime, "waiting_late", short.Late, "waiting_useless", short.Useless,
			"backlog_ms", short.Backlog.Milliseconds(), "units_placed", len(decision.Starts), "runs_preempted", len(decision.Stops))
	}
	st.admission.unitsWait = len(decision.Starts) < len(in.Requests)
	doubtful := doubtfulJobs(in.Requests)
	for _, a := range decision.Starts {
		j := st.jobs[a.Unit.Job.Spec.GetId()]
		if st.full(j) || !st.startsApart(a.Unit, doubtful, now) {
			continue
		}
		number := j.graph.Assign(a.Unit, a.Places)
		for i, ref := range a.Unit.Tasks {
			pace := st.unitPace(s, a, i, now)
			expected := time.Duration(float64(st.expectedTimeAt(s, j, a, i)) * pace)
			j.runs[ref] = &run{run: number, knownSince: now, expectedTime: expected, remote: st.isRemote(a, i), pace: pace, ownPace: st.paceOf(s, a.Places[i], now)}
			delete(j.readySince, ref)
			st.addActive(j, j.graph.Task(ref))
		}
		st.markDirty(j)
		startsCounter.Add(context.Background(), int64(len(a.Places)))
		observe(waitHistogram, now-j.submitted)
		first := a.Unit.Tasks[0]
		klog.InfoS("duty: unit placed", "job", a.Unit.Job.Spec.GetId(), "step", first.Step, "index", first.Index, "tasks", len(a.Unit.Tasks),
			"run", number, "workers", workerNames(a.Places), "expected_ms", j.runs[first].expectedTime.Milliseconds(), "declared_ms", a.Unit.Step.GetEstimateMs(),
			"pace", twoDecimals(j.runs[first].pace), "waited_ms", (now - j.submitted).Milliseconds(), "config_age_ms", age.Milliseconds())
	}
	if len(decision.Holds) > 0 {
		st.urgentWaitAt = now
	}
	st.holds = map[unitKey][]graph.Place{}
	for _, h := range decision.Holds {
		st.holds[unitKey{h.Unit.Job, h.Unit.Tasks[0]}] = h.Places
	}
	for _, r := range decision.Stops {
		j := st.jobs[r.Job.Spec.GetId()]
		if t := j.graph.Task(r.Ref); t != nil && t.Active() {
			preemptionsCounter.Add(context.Background(), 1)
			klog.InfoS("duty: run preempted", "job", r.Job.Spec.GetId(), "step", r.Ref.Step, "index", r.Ref.Index,
				"unsaved_ms", r.Unsaved.Milliseconds(), "for", r.Preemptor.Job.Spec.GetId(), "for_tasks", len(r.Preemptor.Tasks))
			st.orderStop(j, t)
		}
	}
	st.planNeeded = len(decision.Starts) > 0
}

// workerNames returns the workers of a unit for the log, only the first few by name.
func workerNames(places []graph.Place) string {
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

// urgentUnitsWaited reports whether an urgent unit had to wait for resources
// recently.
func (st *state) urgentUnitsWaited(now time.Duration) bool {
	return st.urgentWaitAt > 0 && now-st.urgentWaitAt < urgentWaitMemory
}

// expectedTimeAt returns the expected run time of the unit's task i at its place. It
// is that on a typical worker, multiplied by RemoteFactor if the task runs outside the rack
// of its data, or if its gang is to share a rack and is spread over several.
func (st *state) expectedTimeAt(s *Scheduler, j *job, a plan.Assignment, i int) time.Duration {
	if st.isRemote(a, i) {
		return time.Duration(float64(st.typicalTimeOf(j, a.Unit.Tasks[i].Step)) * s.settings.RemoteFactor)
	}
	return st.typicalTimeOf(j, a.Unit.Tasks[i].Step)
}

// isRemote reports whether the unit's task i is outside the rack of its data, or its gang is
// to share a rack and is spread over several.
func (st *state) isRemote(a plan.Assignment, i int) bool {
	step, places := a.Unit.Step, a.Places
	remote := step.GetDataRack() != "" && st.rackOfPlace(places[i]) != step.GetDataRack()
	if step.GetGang() && step.GetSameRack() {
		for _, p := range places {
			remote = remote || st.rackOfPlace(p) != st.rackOfPlace(places[0])
		}
	}
	return remote
}

// unitPace returns the pace at which the unit's task i is expected to run: that of its
// worker or, for a gang, which ends with its slowest member, that of the slowest.
func (st *state) unitPace(s *Scheduler, a plan.Assignment, i int, now time.Duration) float64 {
	pace := st.paceOf(s, a.Places[i], now)
	if a.Unit.Step.GetGang() {
		for _, p := range a.Places {
			pace = max(pace, st.paceOf(s, p, now))
		}
	}
	return pace
}

// rackOfPlace returns the rack of the worker at a place, or "" if it is not known.
func (st *state) rackOfPlace(p graph.Place) string {
	if w := st.byPlace[p]; w != nil {
		return rackOf(w.info)
	}
	return ""
}

// rackOf returns the rack of a worker, which is its last label, or "".
func rackOf(info *flow.Worker) string {
	labels := info.GetLabels()
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

// buildInput returns the state as input of package plan, with the free resources of
// each worker. It reuses the slices of the last input.
func (st *state) buildInput(s *Scheduler, table *route.Table, free map[graph.Place]plan.Resources, now time.Duration) plan.Input {
	in := plan.Input{
		Workers: st.planInput.Workers[:0], Requests: st.planInput.Requests[:0], Running: st.planInput.Running[:0],
		RemoteFactor: s.settings.RemoteFactor, UrgentWaitedRecently: st.urgentUnitsWaited(now), OrderByCost: s.settings.OrderByCost,
	}
	st.chainsOf = map[*job][]time.Duration{}
	defer func() { st.chainsOf = nil }()
	guaranteed := st.guaranteed(table, nil)
	unixMS := time.Now().UnixMilli()
	testing, testedJobs := st.probation(now)
	st.orderedBytes = 0
	runsOn, starting := map[graph.Place]int{}, map[graph.Place]int{}
	for _, j := range st.openJobs() {
		for _, t := range j.graph.Active() {
			need := needOf(j.graph.Step(t.Ref))
			runsOn[t.Place]++
			if !t.Started {
				starting[t.Place]++
				if r := j.runs[t.Ref]; r != nil && r.orderedIn > 0 {
					st.orderedBytes += orderBytes(j, t)
				}
			}
			in.Running = append(in.Running, st.planRunning(j, t, need, guaranteed[j], now))
		}
	}
	for _, unit := range st.readyUnits(guaranteed, now) {
		j := st.jobs[unit.Job.Spec.GetId()]
		request := st.planRequest(j, unit, guaranteed[j], now)
		request.Isolated = j.graph.Doubtful(unit.Tasks[0])
		if j.graph.Suspect(unit.Tasks[0]) {
			request.Isolated = true
			// Suspects of a job start one at a time, and only once it is known
			// what else crashed when the last of them did.
			if testedJobs[j] || j.graph.CrashesUnsettled(unixMS) {
				continue
			}
			testedJobs[j] = true
		}
		in.Requests = append(in.Requests, request)
	}
	fewTrusted := st.fewTrusted(now)
	for p, w := range st.byPlace {
		in.Workers = append(in.Workers, plan.Worker{
			Place: p, Service: w.info.GetService(), Labels: w.info.GetLabels(), Rack: rackOf(w.info),
			Capacity: capacity(w.info), Free: free[p], Runs: runsOn[p],
			Usable: st.acceptsStarts(s, w, now) && !testing[w.relay] && starting[p] < maxStarting, Slowness: w.health.slowness(now), Pace: st.paceOf(s, p, now),
			Unreliable: w.health.unreliable(now), OnTrial: w.health.onTrial(now),
			FewTrusted: fewTrusted[w.info.GetService()],
		})
	}
	sortWorkers(in.Workers)
	st.planInput = in
	return in
}

func capacity(info *flow.Worker) plan.Resources {
	return plan.Resources{MilliCPU: info.GetCpu(), MemoryMB: info.GetMemoryMb(), Accelerators: info.GetAccelerators()}
}

// acceptsStarts reports whether units may be placed on a worker. A worker on trial
// takes one task at a time.
func (st *state) acceptsStarts(s *Scheduler, w *worker, now time.Duration) bool {
	return w.reconciled && !w.info.GetDraining() && !w.info.GetGone() &&
		now-w.lastReport < maxReportAge && now >= w.health.bannedUntil &&
		(!w.health.onTrial(now) || len(st.activeByRelay[w.relay]) == 0) && !s.operator.Evacuated(w.info.GetDataCentre())
}

// planRunning returns a task's run as input of package plan.
func (st *state) planRunning(j *job, t *graph.Task, need plan.Resources, guaranteed bool, now time.Duration) plan.Running {
	r := j.runs[t.Ref]
	if r == nil {
		return plan.Running{Job: j.graph, Ref: t.Ref, Run: t.Run, Place: t.Place, Need: need, Guaranteed: guaranteed}
	}
	done := time.Duration(float64(r.expectedTime) * float64(r.percent) / 100)
	objective, tail := st.objectiveOf(j), st.tailOf(j, t.Ref.Step)
	spare := objective - (now - j.submitted) - tail
	if j.graph.Step(t.Ref).GetCheckpointing() {
		spare += done
	}
	return plan.Running{
		Job: j.graph, Ref: t.Ref, Run: t.Run, Place: t.Place, Need: need, Remaining: r.remaining(now), ExpectedDuration: r.expectedTime, SlackAfterStop: spare,
		Unsaved: st.unsavedWork(j, t.Ref, now), Stopping: r.stopOrdered, Guaranteed: guaranteed,
	}
}

// planRequest returns a ready unit as input of package plan. reclaims says whether
// the customer's guarantee covers the unit's job; the unit counts as guaranteed only
// until its first start.
func (st *state) planRequest(j *job, unit graph.Unit, reclaims bool, now time.Duration) plan.Request {
	first := unit.Tasks[0]
	since, ok := j.readySince[first]
	if !ok {
		since = j.readyAt(unit, now)
		j.readySince[first] = since
	}
	objective, tail := st.objectiveOf(j), st.tailOf(j, first.Step)
	left := objective - (now - j.submitted)
	failures, failedAt := j.failures(unit)
	return plan.Request{
		Failures: failures, FailedOn: failedAt,
		Unit: unit, Need: needOf(unit.Step), ReadyFor: now - since, Slack: left - tail, DeadlineSlack: plan.LateFactor*objective - (now - j.submitted) - tail,
		Duration: st.typicalTimeOf(j, first.Step), Guaranteed: reclaims && j.graph.Task(first) == nil,
		Held: st.holds[unitKey{j.graph, first}],
	}
}

// readyAt returns when a unit that this holder sees as ready for the first time became
// ready, as far as the job's records tell: not for a later step or a task that has run,
// which count from now.
func (j *job) readyAt(unit graph.Unit, now time.Duration) time.Duration {
	first := unit.Tasks[0]
	if len(unit.Step.GetAfter()) > 0 || j.graph.Task(first) != nil {
		return now
	}
	waited := time.Duration(time.Now().UnixMilli()-j.graph.DueUnixMS(first.Occurrence)) * time.Millisecond
	return min(now, max(j.submitted, now-waited))
}

// failures returns the largest number of failures of any task of the unit, and the
// places of the workers on which its tasks failed.
func (j *job) failures(unit graph.Unit) (maxFailures int32, places []graph.Place) {
	for _, ref := range unit.Tasks {
		if t := j.graph.Task(ref); t != nil {
			maxFailures = max(maxFailures, t.Failures)
		}
		for _, w := range j.failedOn[ref] {
			places = append(places, w.place)
		}
	}
	return maxFailures, places
}

// guaranteed returns the jobs of priority 0 and whether their customer's guarantee
// covers each: it does if all such jobs of the customer that have not ended or been
// cancelled together need no more accelerators than are guaranteed. extra is a job that the
// scheduler does not know but that counts too, or nil.
func (st *state) guaranteed(table *route.Table, extra *job) map[*job]bool {
	need := map[string]int64{}
	jobs := st.openJobs()
	if extra != nil {
		jobs = append(slices.Clip(jobs), extra)
	}
	urgent := func(j *job) bool {
		return j.graph.Spec.GetPriority() == 0 && !j.graph.Ended() && !j.graph.Cancelled
	}
	for _, j := range jobs {
		if !urgent(j) {
			continue
		}
		need[j.graph.Spec.GetCustomer()] += j.graph.Accelerators()
	}
	covered := map[*job]bool{}
	for _, j := range jobs {
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
