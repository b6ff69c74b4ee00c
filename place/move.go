package place

import "time"

// moveTries bounds the jobs of one decision for which preemption of work that
// is neither lent to them nor less urgent is weighed.
const moveTries = 8

// move preempts checkpointable work for the job if that shortens the job's
// completion by more than it lengthens the victims'.
func (d *decision) move(j *request) bool {
	if j.Accelerators == 0 || d.moves >= moveTries {
		return false
	}
	d.moves++
	p, ok := d.planPreempt(j, d.forOther)
	if !ok || len(p.victims) == 0 {
		return ok && d.claims(j, p)
	}
	_, at, ok := d.earliest(j)
	wait := unknownWait
	if ok {
		wait = at.Sub(d.now)
	}
	if d.gain(j, p, wait) <= d.options.Margin*d.cost(j, p) {
		return false
	}
	d.actions = append(d.actions, d.execute(j, p, "job "+j.ID+" gains more than it costs")...)
	return true
}

// unknownWait stands for a wait that the expected ends of running work do not bound.
const unknownWait = time.Hour

// claims keeps room that stopping work is about to leave.
func (d *decision) claims(j *request, p plan) bool {
	d.actions = append(d.actions, d.execute(j, p, "")...)
	return true
}

// gain is the time by which the job ends sooner, weighted by its stretch.
func (d *decision) gain(j *request, p plan, wait time.Duration) float64 {
	var stop time.Duration
	for _, t := range p.victims {
		stop = max(stop, d.running[t].Job.StopTime)
	}
	return (wait - stop).Seconds() * d.stretch(j.Job)
}

// cost is the time by which the victims end later, weighted by their stretch:
// they wait for the job, stop, and repeat the work since their checkpoints.
func (d *decision) cost(j *request, p plan) float64 {
	sum := 0.0
	for _, i := range p.victims {
		t := &d.running[i]
		again := max(0, d.now.Sub(t.Started)-t.Checkpointed)
		later := j.remaining() + t.Job.StopTime + again
		sum += later.Seconds() * d.stretch(&t.Job)
	}
	return sum
}

// stretch is the time since submission over the expected run time, at least 1.
func (d *decision) stretch(j *Job) float64 {
	return min(d.options.Stretch, max(1, d.now.Sub(j.Submitted).Seconds()/max(shortest, j.Expected).Seconds()))
}

// forOther allows the preemption of work that is not urgent, runs beside the
// guarantees and has passed a checkpoint since it started, so that every run
// of a job makes progress.
func (d *decision) forOther(_ *node, t *task) bool {
	return t.Checkpointed > 0 && !t.Job.Urgent && d.beyond(t)
}
