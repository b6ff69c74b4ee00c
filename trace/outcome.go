package trace

import (
	"cmp"
	"slices"
	"time"

	"catkinpoint/place"
)

// largeGangAccelerators is the least number of accelerators of all tasks together
// with which a job counts as a large gang.
const largeGangAccelerators = 8

// Outcome holds the results of one replay.
type Outcome struct {
	Trace  string
	Policy string
	// Done, Refused, Failed and Cancelled count the jobs by how they ended;
	// Stuck counts those that never ended.
	Done, Refused, Failed, Cancelled, Stuck int
	// MeanCompletion and P95Completion are the mean and the 95th percentile of
	// the completion times, from submission to end, of the jobs that are done
	// and that no caller cancels.
	MeanCompletion, P95Completion time.Duration
	// MeanBound is a lower bound on MeanCompletion for any schedule.
	MeanBound time.Duration
	// Makespan is the time from the start of the trace until the last of these
	// jobs ended; MakespanBound is a lower bound on it for any schedule.
	Makespan, MakespanBound time.Duration
	// StrandedShare is the share of free accelerators that cannot serve the
	// largest guaranteed shape of their data centre, and MeanStranded is their
	// mean number, both over the length of the trace.
	StrandedShare, MeanStranded float64
	// LargeGangs counts the done jobs of 8 or more accelerators that no caller
	// cancels. MeanGangWait and MaxGangWait are the mean and the maximum of
	// their wait: completion time less run time. LongWaitGangs counts those
	// that waited for more than twice their run time.
	LargeGangs, LongWaitGangs int
	MeanGangWait, MaxGangWait time.Duration
	// LeaveWindowWork is the useful work in accelerator-seconds while a data centre
	// is out of service and for as long after its return.
	LeaveWindowWork float64
	// DiscardedWork is the work in accelerator-seconds that preemptions lost,
	// including the time that jobs took to stop. Preemptions is the number of
	// preemptions.
	DiscardedWork float64
	Preemptions   int
	// WithinGuarantee counts the started jobs that fitted in the unused part of
	// their customer's guarantees in their data centre when they were queued at
	// submission. MaxWithinGuaranteeWait is the longest time from the submission
	// of one of them to its first start.
	WithinGuarantee        int
	MaxWithinGuaranteeWait time.Duration
}

// recorder accumulates the results that depend on how long each state lasts.
// Work and accelerator time are in accelerator-seconds.
type recorder struct {
	integratedTo                 time.Duration
	freeSeconds, strandedSeconds float64
	leaveWindowWork              float64
	discardedWork                float64
	preemptions                  int
	leaveWindow                  [2]time.Duration
}

// advance adds the time from the last call until the given time, in which the
// state of the replay has not changed.
func (rec *recorder) advance(r *replay, to time.Duration) {
	dt := (to - rec.integratedTo).Seconds()
	start := rec.integratedTo
	rec.integratedTo = to
	if dt <= 0 {
		return
	}
	rec.leaveWindow = r.trace.leaveWindow()
	for _, dc := range r.dataCentres {
		if dc.placement.InService && start < r.trace.Length {
			free, usable := dc.freeAccelerators()
			rec.freeSeconds += dt * float64(free)
			rec.strandedSeconds += dt * float64(free-usable)
		}
		if rec.inLeaveWindow(start) {
			rec.leaveWindowWork += dt * dc.busyAccelerators()
		}
	}
}

// leaveWindow returns the start and the end of the window that LeaveWindowWork
// covers: it begins when a data centre leaves service and lasts twice as long
// as its absence. It is empty if no data centre leaves.
func (t *Trace) leaveWindow() [2]time.Duration {
	for _, d := range t.DataCentres {
		if d.ReturnsAt > 0 {
			return [2]time.Duration{d.LeavesAt, 2*d.ReturnsAt - d.LeavesAt}
		}
	}
	return [2]time.Duration{}
}

func (rec *recorder) inLeaveWindow(at time.Duration) bool {
	return rec.leaveWindow[0] <= at && at < rec.leaveWindow[1]
}

// busyAccelerators returns the number of accelerators of running jobs that are not
// stopping.
func (dc *dataCentreState) busyAccelerators() float64 {
	sum := 0
	for i := range dc.placement.Running {
		if run := &dc.placement.Running[i]; !run.Stopping {
			sum += run.Job.Tasks * run.Job.Accelerators
		}
	}
	return float64(sum)
}

// freeAccelerators returns the number of free accelerators and the number of those
// that can serve the largest guaranteed shape. A shape that is larger than a
// worker needs workers of one rack that are entirely free.
func (dc *dataCentreState) freeAccelerators() (free, usable int) {
	used, _ := dc.usageByWorker()
	largest := dc.largestGuarantee()
	wholeFreeByRack := make(map[string]int) // accelerators of entirely free workers
	for i := range dc.placement.Workers {
		w := &dc.placement.Workers[i]
		unused := w.Accelerators - used[w.Name]
		free += unused
		if largest.Adjacency == place.SameWorker || largest.Accelerators <= w.Accelerators {
			usable += unused / largest.Accelerators * largest.Accelerators
		} else if unused == w.Accelerators {
			wholeFreeByRack[w.Rack] += unused
		}
	}
	for _, wholeFree := range wholeFreeByRack {
		usable += wholeFree / largest.Accelerators * largest.Accelerators
	}
	return free, usable
}

// largestGuarantee returns the guarantee with the largest shape.
func (dc *dataCentreState) largestGuarantee() place.Guarantee {
	return slices.MaxFunc(dc.Guarantees, func(a, b place.Guarantee) int {
		return cmp.Compare(a.Accelerators, b.Accelerators)
	})
}

// recordPreemption adds a preemption that lost the given run time, which includes
// the time that the job takes to stop. The work of that run time before the
// stop was counted as useful and is subtracted again.
func (rec *recorder) recordPreemption(job *jobState, lost, at time.Duration) {
	rec.preemptions++
	work := lost.Seconds() * float64(job.Tasks*job.Accelerators)
	rec.discardedWork += work
	if rec.inLeaveWindow(at) {
		rec.leaveWindowWork -= (lost - job.StopTime).Seconds() * float64(job.Tasks*job.Accelerators)
	}
}

// recordCancellation subtracts the work of a cancelled run from the useful work.
func (rec *recorder) recordCancellation(job *jobState, ran, at time.Duration) {
	if rec.inLeaveWindow(at) {
		rec.leaveWindowWork -= ran.Seconds() * float64(job.Tasks*job.Accelerators)
	}
}

// outcome computes the results at the end of the replay.
func (r *replay) outcome() (*Outcome, error) {
	o := &Outcome{
		Trace: r.trace.Name, Policy: r.policy.Name(), LeaveWindowWork: r.recorder.leaveWindowWork,
		DiscardedWork: r.recorder.discardedWork, Preemptions: r.recorder.preemptions,
	}
	if r.recorder.freeSeconds > 0 {
		o.StrandedShare = r.recorder.strandedSeconds / r.recorder.freeSeconds
		o.MeanStranded = r.recorder.strandedSeconds / r.trace.Length.Seconds()
	}
	var times, waits []time.Duration
	var counted []*Job
	for i := range r.trace.Jobs {
		job := r.jobs[r.trace.Jobs[i].ID]
		o.countJob(job)
		if job.withinGuarantee && job.started {
			o.WithinGuarantee++
			o.MaxWithinGuaranteeWait = max(o.MaxWithinGuaranteeWait, job.firstStarted-job.Submitted)
		}
		if job.phase != phaseDone || job.CancelledAt > 0 {
			continue
		}
		counted = append(counted, job.Job)
		times = append(times, job.ended-job.Submitted)
		o.Makespan = max(o.Makespan, job.ended)
		if job.Tasks*job.Accelerators >= largeGangAccelerators {
			wait := job.ended - job.Submitted - job.RunTime
			waits = append(waits, wait)
			if wait > 2*job.RunTime {
				o.LongWaitGangs++
			}
		}
	}
	o.MeanCompletion, o.P95Completion, _ = summarize(times)
	o.LargeGangs = len(waits)
	o.MeanGangWait, _, o.MaxGangWait = summarize(waits)
	o.MeanBound, o.MakespanBound = lowerBounds(counted, r.trace.Capacity())
	return o, nil
}

// countJob counts the job by the phase that it has reached.
func (o *Outcome) countJob(job *jobState) {
	switch job.phase {
	case phaseDone:
		o.Done++
	case phaseRefused:
		o.Refused++
	case phaseFailed:
		o.Failed++
	case phaseCancelled:
		o.Cancelled++
	default:
		o.Stuck++
	}
}

// summarize returns the mean, the 95th percentile and the maximum, or zeros if
// there are no durations. It sorts the durations in place.
func summarize(durations []time.Duration) (mean, p95, maximum time.Duration) {
	if len(durations) == 0 {
		return 0, 0, 0
	}
	slices.Sort(durations)
	var sum time.Duration
	for _, duration := range durations {
		sum += duration
	}
	return sum / time.Duration(len(durations)), durations[(len(durations)*95+99)/100-1], durations[len(durations)-1]
}
