package gate

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/guard"
	"catkinpoint/plan"
)

// Where says what the scheduler would do now with a job and why, without submitting it. A
// gate that does not hold the claim answers with the address of the one that does.
func (c RPCHandlers) Where(request *flow.WhereRequest, answer *flow.WhereAnswer) error {
	return guard.Call("question where a job would go", func() error { return c.gate.where(request, answer) })
}

func (g *Gate) where(request *flow.WhereRequest, answer *flow.WhereAnswer) error {
	s := g.scheduler.Load()
	if s == nil {
		answer.Holder = g.view.currentClaim().GetAddress()
		if answer.Holder == "" {
			return duty.ErrNotHolder
		}
		return nil
	}
	var job *flow.Job
	if request.GetId() == "" {
		var err error
		if job, err = g.jobToExplain(request.GetJob()); err != nil {
			return fmt.Errorf("checking job: %w", err)
		}
		if groups, age := g.knownWorkerGroups(); len(groups) > 0 && !plan.Feasible(groups, job) {
			answer.Refusal, answer.RetryAfterMs = tooLarge(age), capacityRetryAfter.Milliseconds()
			return nil
		}
	}
	explained, err := s.Explain(request.GetId(), job)
	if err != nil {
		return fmt.Errorf("asking the scheduler: %w", err)
	}
	if !explained.Admission.Admitted {
		answer.Refusal, answer.RetryAfterMs = explained.Admission.Reason, explained.Admission.RetryAfter.Milliseconds()
	}
	answer.Phase, answer.Running = explained.Phase, int32(explained.Running)
	for _, e := range explained.Units {
		answer.Units = append(answer.Units, whereUnit(e))
	}
	return nil
}

// jobToExplain returns a job as its submission would store it.
func (g *Gate) jobToExplain(sent *flow.Job) (*flow.Job, error) {
	table := g.operator.Table()
	if table == nil {
		return nil, duty.ErrNoDecision
	}
	queue, ok := table.Queue(sent.GetQueue())
	if !ok {
		return nil, fmt.Errorf("no queue has the name %.64q", sent.GetQueue())
	}
	job := proto.CloneOf(sent)
	setQueue(job, queue)
	if err := graph.Check(job); err != nil {
		return nil, fmt.Errorf("job is not valid: %w", err)
	}
	return job, nil
}

// whereUnit converts an explanation to its message.
func whereUnit(e plan.Explanation) *flow.WhereUnit {
	first := e.Unit.Tasks[0]
	unit := &flow.WhereUnit{
		Step: first.Step, Occurrence: first.Occurrence, Index: first.Index, Tasks: int32(len(e.Unit.Tasks)),
		Outcome: e.Outcome.String(), ExpectedInMs: e.ExpectedIn.Milliseconds(), Ahead: int32(e.Ahead),
	}
	for _, p := range e.Places {
		unit.Workers = append(unit.Workers, p.Worker)
	}
	for _, stop := range e.Stops {
		unit.Stops = append(unit.Stops, graph.TaskName(stop.Job.Spec.GetId(), stop.Ref))
	}
	for _, o := range e.Obstacles {
		unit.Obstacles = append(unit.Obstacles, &flow.WhereObstacle{Reason: string(o.Obstacle), Workers: int32(o.Workers)})
	}
	return unit
}

// tooLarge is the reason of a refusal for a job that the workers could not hold if they
// were empty.
func tooLarge(countAge time.Duration) string {
	return fmt.Sprintf("all workers together cannot hold a step of the job, by a count that is %d ms old", countAge.Milliseconds())
}
