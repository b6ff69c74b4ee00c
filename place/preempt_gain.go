package place

import "time"

// maxGainAttempts bounds the jobs of one decision for which preemptForGain looks
// for victims.
const maxGainAttempts = 8

// preemptForGain preempts other jobs for the job if that brings the job's end
// forward by more than PreemptionMargin times what it delays the victims' ends.
// The victims need neither borrow the customer's shapes nor be less urgent than
// the job.
func (d *decision) preemptForGain(j *queuedJob) bool {
	if j.Accelerators == 0 || d.gainAttempts >= maxGainAttempts {
		return false
	}
	d.gainAttempts++
	p, ok := d.planPreemption(j, d.preemptibleForGain)
	if !ok || len(p.victims) == 0 {
		return ok && d.claimReleasing(j, p)
	}
	_, start, ok := d.earliestStart(j)
	wait := unknownWait
	if ok {
		wait = start.Sub(d.now)
	}
	if d.gain(j, p, wait) <= d.options.PreemptionMargin*d.cost(j, p) {
		return false
	}
	d.actions = append(d.actions, d.executePlan(j, p, "job "+j.ID+" gains more than it costs")...)
	return true
}

// unknownWait is the assumed wait of a job that can't start even when all
// running jobs have ended.
const unknownWait = time.Hour

// claimReleasing claims the room that stopping jobs release for the job, and
// returns true. The plan has no victims.
func (d *decision) claimReleasing(j *queuedJob, p preemptionPlan) bool {
	d.actions = append(d.actions, d.executePlan(j, p, "")...)
	return true
}

// gain returns the seconds by which the job ends sooner, weighted by its
// stretch: its wait without a preemption less the longest stop of a victim.
func (d *decision) gain(j *queuedJob, p preemptionPlan, wait time.Duration) float64 {
	var stop time.Duration
	for _, i := range p.victims {
		stop = max(stop, d.running[i].Job.StopTime)
	}
	return (wait - stop).Seconds() * d.stretch(j.Job)
}

// cost returns the seconds by which the victims end later, weighted by their
// stretch: they stop, wait for the job to end, and repeat the work that no
// checkpoint keeps.
func (d *decision) cost(j *queuedJob, p preemptionPlan) float64 {
	sum := 0.0
	for _, i := range p.victims {
		r := &d.running[i]
		repeated := max(0, d.now.Sub(r.Started)-r.CheckpointedWork)
		delay := j.remaining() + r.Job.StopTime + repeated
		sum += delay.Seconds() * d.stretch(&r.Job)
	}
	return sum
}

// stretch returns the time since submission divided by the expected run time,
// between 1 and MaxStretch.
func (d *decision) stretch(j *Job) float64 {
	return min(d.options.MaxStretch, max(1, d.now.Sub(j.Submitted).Seconds()/max(minRunTime, j.ExpectedRunTime).Seconds()))
}

// preemptibleForGain is a victimFilter for preemptForGain. It allows jobs that
// are not urgent, run beyond their customers' guarantees and would keep some work
// of this run, so that every run of a job makes progress.
func (d *decision) preemptibleForGain(_ *node, r *runningJob) bool {
	return r.CheckpointedWork > 0 && !r.Job.Urgent && d.exceedsGuarantee(r)
}
