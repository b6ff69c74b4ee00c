package duty

import (
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/speed"
)

// timesKeyOf returns the key of the run times of a job's step.
func timesKeyOf(spec *flow.Job, step int32) speed.TimesKey {
	return speed.TimesKey{Queue: spec.GetQueue(), Customer: spec.GetCustomer(), Image: spec.GetSteps()[step].GetImage()}
}

// learnTimes takes the run times of steps whose tasks gave samples. Each step of a job counts
// once, as its tasks share what sets them apart from the declaration; a later measurement of
// it is used for the job itself.
func (st *state) learnTimes(now time.Duration) {
	l := &st.learned
	for _, measured := range l.paces.GroupTimes(now) {
		g, took := measured.Group, measured.Took
		j := st.jobs[g.Job]
		if j == nil {
			continue
		}
		if j.measured == nil {
			j.measured = map[int32]time.Duration{}
		}
		if _, known := j.measured[g.Step]; !known {
			l.times.Add(timesKeyOf(j.graph.Spec, g.Step), declaredTime(j, graph.Ref{Step: g.Step}), took)
		}
		j.measured[g.Step] = took
	}
}

// averagePace returns the mean pace of the workers.
func (st *state) averagePace(s *Scheduler, now time.Duration) float64 {
	sum := 0.0
	for p := range st.byPlace {
		sum += st.paceOf(s, p, now)
	}
	if len(st.byPlace) == 0 {
		return 1
	}
	return sum / float64(len(st.byPlace))
}

// typicalTimeOf returns the expected run time of a task of a step on a typical worker: the
// measured one of the job, that of earlier jobs, or the declared one.
func (st *state) typicalTimeOf(j *job, step int32) time.Duration {
	declared := declaredTime(j, graph.Ref{Step: step})
	if !st.learned.useTimes {
		return declared
	}
	if took, ok := j.measured[step]; ok {
		return took
	}
	return st.learned.times.Expect(timesKeyOf(j.graph.Spec, step), declared)
}

// tailOf returns the expected time from the start of a step to the end of the longest chain
// of steps that begins with it, on typical workers.
func (st *state) tailOf(j *job, step int32) time.Duration {
	if !st.learned.useTimes {
		return time.Duration(j.graph.TailMS(step)) * time.Millisecond
	}
	return st.chains(j)[step]
}

// chains returns the result of tailOf for each step. Within buildInput it is computed once a
// job, as it is needed for each of its tasks.
func (st *state) chains(j *job) []time.Duration {
	if tails, ok := st.chainsOf[j]; ok {
		return tails
	}
	steps := j.graph.Spec.GetSteps()
	tails := make([]time.Duration, len(steps))
	for s := len(steps) - 1; s >= 0; s-- {
		tails[s] += st.typicalTimeOf(j, int32(s))
		for _, earlier := range steps[s].GetAfter() {
			tails[earlier] = max(tails[earlier], tails[s])
		}
	}
	if st.chainsOf != nil {
		st.chainsOf[j] = tails
	}
	return tails
}

// objectiveOf returns the time in which the job is to end. It follows the job's work on an
// average worker, of which the declared times are an estimate.
func (st *state) objectiveOf(j *job) time.Duration {
	if !st.learned.useTimes {
		return time.Duration(j.graph.ObjectiveMS()) * time.Millisecond
	}
	longest := time.Duration(0)
	for _, tail := range st.chains(j) {
		longest = max(longest, tail)
	}
	work := float64(longest) * st.learned.averagePace
	return time.Duration(j.graph.Spec.GetSlackFactor()*work) + time.Duration(j.graph.Spec.GetTargetMs())*time.Millisecond
}
