package trace

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// lowerBounds returns lower bounds on the mean completion time and on the
// makespan of any schedule of the jobs, even one that knows the whole trace in
// advance. Each is the larger of two bounds:
//
//   - Critical path: no job ends before its submission plus its run time.
//   - Total work over capacity: a single server as fast as all accelerators
//     together can imitate any schedule, and on a single server shortest
//     remaining processing time (SRPT) minimizes the mean completion time.
func lowerBounds(jobs []*Job, capacity int) (mean, makespan time.Duration) {
	if len(jobs) == 0 {
		return 0, 0
	}
	jobs = slices.Clone(jobs)
	slices.SortStableFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
	var soloSum time.Duration
	for _, j := range jobs {
		soloSum += j.RunTime
		makespan = max(makespan, j.Submitted+j.RunTime)
	}
	srptSum, srptEnd := simulateSRPT(jobs, float64(capacity))
	n := time.Duration(len(jobs))
	return max(soloSum/n, srptSum/n), max(makespan, srptEnd)
}

// simulateSRPT schedules the jobs, which are in order of submission, by shortest
// remaining processing time on a single server with the given number of
// accelerators. It returns the sum of their completion times and the end of
// the last one, from the start of the trace.
func simulateSRPT(jobs []*Job, capacity float64) (sum, last time.Duration) {
	var pending pendingHeap
	now := 0.0
	toDuration := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	runUntil := func(deadline float64) {
		for len(pending) > 0 {
			shortest := &pending[0]
			if timeNeeded := shortest.remaining / capacity; now+timeNeeded > deadline {
				shortest.remaining -= (deadline - now) * capacity
				break
			}
			now += shortest.remaining / capacity
			sum += toDuration(now) - shortest.job.Submitted
			last = toDuration(now)
			heap.Pop(&pending)
		}
	}
	for _, j := range jobs {
		submitted := j.Submitted.Seconds()
		runUntil(submitted)
		now = submitted
		heap.Push(&pending, pendingJob{j, j.acceleratorSeconds()})
	}
	runUntil(1e18)
	return sum, last
}

// pendingJob is a submitted job that has not ended.
type pendingJob struct {
	job       *Job
	remaining float64 // work in accelerator-seconds
}

// pendingHeap is a heap whose root has the least remaining work.
type pendingHeap []pendingJob

func (h pendingHeap) Len() int           { return len(h) }
func (h pendingHeap) Less(a, b int) bool { return h[a].remaining < h[b].remaining }
func (h pendingHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *pendingHeap) Push(x any)        { *h = append(*h, x.(pendingJob)) }

func (h *pendingHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
