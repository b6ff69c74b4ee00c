package duty

import (
	"context"
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/plan"
	"catkinpoint/route"
	"catkinpoint/shed"
)

// admissionSettleTime is how long after its start a scheduler refuses nothing, as workers that
// have not reported to it yet look lost.
const admissionSettleTime = 5 * time.Second

// maxForecasts is how many jobs are measured by a forecast in a planPeriod; any others are
// admitted. With 60 full workers and 150 waiting jobs, these take the scheduler's goroutine about
// a third of the period (see BenchmarkDecide of packages shed and plan), so that a flood of
// questions does not delay decisions on placement.
const maxForecasts = 16

// admission is what the scheduler needs to decide on the admission of jobs.
type admission struct {
	promises shed.Promises
	// loads has the load of each service, as it was at loadsAt.
	loads   map[string]*shed.Load
	loadsAt time.Duration
	// unitsWait is set if the last decision on placement left units waiting.
	unitsWait  bool
	nextUpdate time.Duration
	// forecasts is the number of jobs measured since forecastsSince, for at most a planPeriod.
	forecasts      int
	forecastsSince time.Duration
	// arrivals are the last jobs that became known, at most maxArrivals.
	arrivals []arrival
}

// maxArrivals bounds the arrivals that are kept for the forecast. More of them in
// shed.ArrivalMemory would make a forecast take too long.
const maxArrivals = 500

// arrival is a job that became known at a time.
type arrival struct {
	at    time.Duration
	spec  *flow.Job
	steps []plan.Request // once they were needed
}

// noteArrival keeps a job that was submitted at a time for the forecast.
func (a *admission) noteArrival(spec *flow.Job, submitted time.Duration) {
	if len(a.arrivals) >= maxArrivals {
		a.arrivals = slices.Delete(a.arrivals, 0, 1)
	}
	a.arrivals = append(a.arrivals, arrival{at: submitted, spec: spec})
}

// mayForecast counts a job that is to be measured by a forecast and reports whether it may be.
func (a *admission) mayForecast(now time.Duration) bool {
	if now-a.forecastsSince >= planPeriod {
		a.forecasts, a.forecastsSince = 0, now
	}
	a.forecasts++
	return a.forecasts <= maxForecasts
}

// recentArrivals returns the arrivals of the last shed.ArrivalMemory and forgets the others.
func (st *state) recentArrivals(now time.Duration) []arrival {
	a := &st.admission
	a.arrivals = slices.DeleteFunc(a.arrivals, func(old arrival) bool { return now-old.at > shed.ArrivalMemory })
	for i := range a.arrivals {
		if known := &a.arrivals[i]; known.steps == nil {
			known.steps = st.stepRequests(known.spec, now)
		}
	}
	return a.arrivals
}

// Shortage returns whether the scheduler may have to refuse jobs, or nil if jobs are never
// refused.
func (s *Scheduler) Shortage() *flow.Shortage {
	if !s.settings.RefuseLate {
		return nil
	}
	return &flow.Shortage{Epoch: s.claim.Epoch, Refusing: s.refusing.Load() && s.claim.Valid()}
}

// Admit decides whether a job that is not stored yet is to be accepted. It fails with
// ErrNotHolder if the claim is not valid, and decides nothing once ctx has ended, as the gate has
// then stored the job.
func (s *Scheduler) Admit(ctx context.Context, spec *flow.Job) (*flow.AdmissionAnswer, error) {
	if err := graph.Check(spec); err != nil {
		return nil, fmt.Errorf("deciding on admission: %w", err)
	}
	var answer *flow.AdmissionAnswer
	err := s.stateOwner.Do(ctx, func(st *state) {
		if ctx.Err() == nil && s.claim.Valid() && st.loaded && !st.superseded {
			answer = st.admit(s, spec, clock.Monotonic())
		}
	})
	if err != nil {
		return nil, fmt.Errorf("deciding on admission: %w", err)
	}
	if answer == nil {
		if ctx.Err() != nil {
			return nil, fmt.Errorf("deciding on admission: %w", ctx.Err())
		}
		return nil, ErrNotHolder
	}
	answer.Shortage = s.Shortage()
	return answer, nil
}

// admit decides on a job, makes the promise of a refusal and logs it.
func (st *state) admit(s *Scheduler, spec *flow.Job, now time.Duration) *flow.AdmissionAnswer {
	unixMS := time.Now().UnixMilli()
	d := st.decideAdmission(s, spec, &st.admission.promises, now, unixMS)
	if d.Admitted {
		if d.Promised {
			klog.InfoS("duty: job returned at its time", "job", spec.GetId(), "queue", spec.GetQueue())
		}
		return &flow.AdmissionAnswer{Admitted: true, Reason: d.Reason}
	}
	observePromises(st.admission.promises.Open())
	count(admissionRefusalsCounter, 1, "queue", spec.GetQueue())
	klog.InfoS("duty: job refused", "job", spec.GetId(), "queue", spec.GetQueue(), "priority", spec.GetPriority(), "wait_ms", d.Wait.Milliseconds(),
		"late_ms", d.Late.Milliseconds(), "objective_ms", graph.ObjectiveMS(spec), "retry_after_ms", d.RetryAfter.Milliseconds(),
		"return_unix_ms", unixMS+d.RetryAfter.Milliseconds(), "firm", d.Promised, "new", d.New, "open_promises", st.admission.promises.Open())
	return &flow.AdmissionAnswer{RetryAfterMs: d.RetryAfter.Milliseconds(), Reason: d.Reason}
}

// decideAdmission decides on a job, given the promises, to which it may add one. It admits the
// job whenever a refusal might be wrong.
func (st *state) decideAdmission(s *Scheduler, spec *flow.Job, promises *shed.Promises, now time.Duration, unixMS int64) shed.Decision {
	table, known := st.admissionTable(s, now)
	switch {
	case !known:
		return shed.Decision{Admitted: true, Reason: "no forecast"}
	case st.jobs[spec.GetId()] != nil:
		return shed.Decision{Admitted: true, Reason: "known"}
	case spec.GetRepeats() > 0 || spec.GetStartUnixMs() > unixMS:
		return shed.Decision{Admitted: true, Reason: "starts later or repeats"}
	case st.guaranteeCovers(table, spec):
		return shed.Decision{Admitted: true, Reason: "guaranteed"}
	}
	if d, ok := promises.Answer(spec, unixMS); ok {
		return d
	}
	if !st.admission.mayForecast(now) {
		return shed.Decision{Admitted: true, Reason: "too many questions at once"}
	}
	st.updateLoads(s, table, now)
	load := st.admission.loads[spec.GetService()]
	if load == nil {
		return shed.Decision{Admitted: true, Reason: "no forecast"}
	}
	steps := st.stepRequests(spec, now)
	return shed.Decide(load, shed.Question{Job: spec, Steps: steps, StartsNow: len(steps) > 0 && st.startsNow(steps)}, promises, unixMS)
}

// admissionTable returns the configuration, and false if jobs may not be refused by it, as it
// is too old or the workers are not known yet.
func (st *state) admissionTable(s *Scheduler, now time.Duration) (*route.Table, bool) {
	table := s.operator.Table()
	age, ok := s.operator.Age()
	return table, s.settings.RefuseLate && table != nil && ok && age <= s.settings.ConfigAge && now-st.startedAt >= admissionSettleTime
}

// settlePromises ends promises that are kept or over.
func (st *state) settlePromises() {
	promises := &st.admission.promises
	ended := promises.Settle(func(id string) bool { return st.jobs[id] != nil }, time.Now().UnixMilli())
	if len(ended.Kept)+len(ended.Expired) == 0 {
		return
	}
	count(promisesEndedCounter, int64(len(ended.Kept)), "how", "kept")
	count(promisesEndedCounter, int64(len(ended.Expired)), "how", "expired")
	observePromises(promises.Open())
	klog.InfoS("duty: promises ended", "kept", ended.Kept, "expired", ended.Expired, "open", promises.Open())
}

// updateShortage decides at most once in a planPeriod whether jobs may have to be refused, and
// ends promises.
func (st *state) updateShortage(s *Scheduler, now time.Duration) {
	a := &st.admission
	if !s.settings.RefuseLate || now < a.nextUpdate {
		return
	}
	a.nextUpdate = now + planPeriod
	st.settlePromises()
	table, known := st.admissionTable(s, now)
	refusing := false
	if known && (a.unitsWait || a.promises.Open() > 0) {
		st.updateLoads(s, table, now)
		for _, load := range a.loads {
			refusing = refusing || shed.Refusing(load, &a.promises)
		}
	}
	if s.refusing.Swap(refusing) != refusing {
		klog.InfoS("duty: shortage changed", "refusing", refusing, "open_promises", a.promises.Open())
	}
}

// updateLoads makes the loads anew if they are older than a planPeriod.
func (st *state) updateLoads(s *Scheduler, table *route.Table, now time.Duration) {
	if st.admission.loads != nil && now-st.admission.loadsAt < planPeriod {
		return
	}
	in := st.buildInput(s, table, st.freeRoom(), now)
	loads := map[string]*shed.Load{}
	indices := map[graph.Place]int{}
	for i := range in.Workers {
		w := &in.Workers[i]
		if !w.Usable && now-st.byPlace[w.Place].lastReport > groupsMemory {
			continue
		}
		load := loads[w.Service]
		if load == nil {
			load = &shed.Load{}
			loads[w.Service] = load
		}
		worker := shed.Worker{Free: w.Free, Labels: w.Labels}
		if w.Usable {
			indices[w.Place] = len(load.Workers)
		} else {
			worker.Away, worker.Free = true, w.Capacity
		}
		load.Workers = append(load.Workers, worker)
	}
	for i := range in.Running {
		r := &in.Running[i]
		if index, usable := indices[st.presentPlace(r.Place)]; usable {
			hold := shed.Hold{Worker: index, Need: r.Need, Until: st.expectedHold(r, now)}
			load := loads[st.byPlace[st.presentPlace(r.Place)].info.GetService()]
			load.Holds = append(load.Holds, hold)
		}
	}
	for _, r := range in.Requests {
		if load := loads[r.Unit.Job.Spec.GetService()]; load != nil {
			load.Waiting = append(load.Waiting, r)
		}
	}
	for _, arrived := range st.recentArrivals(now) {
		if load := loads[arrived.spec.GetService()]; load != nil {
			load.Arrivals = append(load.Arrivals, shed.Arrival{Age: now - arrived.at, Steps: arrived.steps})
		}
	}
	for _, load := range loads {
		slices.SortStableFunc(load.Waiting, func(a, b plan.Request) int {
			switch {
			case plan.Before(a, b):
				return -1
			case plan.Before(b, a):
				return 1
			}
			return 0
		})
	}
	st.admission.loadsAt, st.admission.loads = now, loads
}

// expectedHold returns for how long a run is expected to hold its room. A run that should be
// over is expected to go on for as long as it has shown no progress: it may hang.
func (st *state) expectedHold(r *plan.Running, now time.Duration) time.Duration {
	if r.Stopping {
		return 0
	}
	if r.Remaining > 0 {
		return r.Remaining
	}
	known := st.jobs[r.Job.Spec.GetId()].runs[r.Ref]
	if known == nil {
		return 0
	}
	return now - max(known.percentAt, known.knownSince)
}

// startsNow reports whether the next decision on placement would start a step of a job or stop
// runs for it, if the job were stored. It must follow updateLoads.
//
// Package shed forecasts with the order by deadline. While the order by cost is in force instead,
// a job also counts as starting now if it would get the room of the runs that are expected to end
// while its result can still be of use: small jobs, which that order serves first, are not to be
// refused for the work that waits before them by deadline.
func (st *state) startsNow(steps []plan.Request) bool {
	in := st.planInput
	in.Requests = append(slices.Clone(in.Requests), steps[0])
	mine := func(a plan.Assignment) bool { return a.Unit.Job == steps[0].Unit.Job }
	decision := plan.Decide(in)
	if slices.ContainsFunc(decision.Starts, mine) || slices.ContainsFunc(decision.Holds, mine) {
		return true
	}
	if decision.Shortage == nil {
		return false
	}
	later := plan.Decide(inputAfter(in, steps[0].DeadlineSlack))
	return later.Shortage != nil && slices.ContainsFunc(later.Starts, mine)
}

// inputAfter returns the input as if the runs that are expected to end within a time had ended.
func inputAfter(in plan.Input, within time.Duration) plan.Input {
	indices := map[graph.Place]int{}
	in.Workers = slices.Clone(in.Workers)
	for i := range in.Workers {
		indices[in.Workers[i].Place] = i
	}
	var running []plan.Running
	for _, r := range in.Running {
		i, known := indices[r.Place]
		if r.Remaining > within || !known {
			running = append(running, r)
			continue
		}
		in.Workers[i].Free = in.Workers[i].Free.Add(r.Need)
		in.Workers[i].Runs--
	}
	in.Running = running
	return in
}

// stepRequests returns one unit of each step of a job that is not stored, as if the steps were
// ready.
func (st *state) stepRequests(spec *flow.Job, now time.Duration) []plan.Request {
	j := &job{graph: graph.New(spec, nil), submitted: now, readySince: map[graph.Ref]time.Duration{}}
	requests := make([]plan.Request, 0, len(spec.GetSteps()))
	for i, step := range spec.GetSteps() {
		unit := graph.Unit{Job: j.graph, Step: step, Tasks: []graph.Ref{{Step: int32(i)}}}
		if step.GetGang() {
			unit.Tasks = j.graph.Members(unit.Tasks[0])
		}
		requests = append(requests, st.planRequest(j, unit, false, now))
	}
	return requests
}

// guaranteeCovers reports whether the customer's guarantee would cover a job that is not
// stored; see guaranteed.
func (st *state) guaranteeCovers(table *route.Table, spec *flow.Job) bool {
	if spec.GetPriority() != 0 {
		return false
	}
	j := &job{graph: graph.New(spec, nil)}
	return st.guaranteed(table, j)[j]
}
