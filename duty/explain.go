package duty

import (
	"fmt"
	"time"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/plan"
	"catkinpoint/shed"
)

// ErrNoDecision means that the scheduler decides nothing now, as it has no fresh
// configuration or has not read all jobs.
var ErrNoDecision = Error.New("no decision is made now: the configuration or the jobs are not read")

// Explained says what a scheduler would do now with a job.
type Explained struct {
	Phase   flow.Phase
	Running int
	// Admission is whether the job would be accepted now, if the scheduler does not know it.
	Admission shed.Decision
	Units     []plan.Explanation
}

// Explain returns what the next decision does with a job that the scheduler knows or, if
// spec is not nil, with one that it does not know. It changes nothing. It fails with
// ErrNotHolder if the claim is not valid, and with ErrNoDecision.
func (s *Scheduler) Explain(id string, spec *flow.Job) (Explained, error) {
	type result struct {
		explained Explained
		err       error
	}
	answer := make(chan result, 1)
	err := s.stateOwner.Do(s.ctx, func(st *state) {
		explained, err := st.explain(s, id, spec)
		answer <- result{explained, err}
	})
	if err != nil {
		return Explained{}, fmt.Errorf("explaining: %w", err)
	}
	select {
	case r := <-answer:
		return r.explained, r.err
	case <-s.ctx.Done():
		return Explained{}, ErrNotHolder
	}
}

// explain is Explain on the scheduler's state.
func (st *state) explain(s *Scheduler, id string, spec *flow.Job) (Explained, error) {
	now := clock.Monotonic()
	table := s.operator.Table()
	age, ok := s.operator.Age()
	switch {
	case !s.claim.Valid():
		return Explained{}, ErrNotHolder
	case !st.loaded || table == nil || !ok || age > s.settings.ConfigAge:
		return Explained{}, ErrNoDecision
	}
	j := st.jobs[id]
	if spec != nil {
		j = &job{graph: graph.New(spec, nil), submitted: now, runs: map[graph.Ref]*run{}, readySince: map[graph.Ref]time.Duration{}}
	}
	if j == nil {
		return Explained{}, Error.New("job %.64q is not known", id)
	}
	explained := Explained{Phase: j.graph.Phase, Running: len(j.graph.Active()), Admission: shed.Decision{Admitted: true}}
	if spec != nil {
		explained.Admission = st.decideAdmission(s, spec, st.admission.promises.Clone(), now, time.Now().UnixMilli())
	}
	in := st.buildInput(s, table, st.freeRoom(), now)
	if spec != nil {
		covered := st.guaranteed(table, j)[j]
		for _, unit := range j.graph.ReadyUpTo(time.Now().UnixMilli(), maxRequestTasks, 0) {
			in.Requests = append(in.Requests, st.planRequest(j, unit, covered, now))
		}
	}
	explained.Units = plan.Explain(in, j.graph)
	return explained, nil
}
