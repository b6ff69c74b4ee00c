package trace

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// bounds returns lower bounds of the mean completion time and of the time of
// the last end for any schedule, even one that knows the whole trace.
//
// No job ends sooner than its run time after its submission (critical path).
// And any schedule can be imitated by one server that is as fast as all
// accelerators together, for which shortest remaining work first has the
// least mean (total work over capacity). The larger of the two holds.
func bounds(jobs []*Job, capacity int) (mean, makespan time.Duration) {
	if len(jobs) == 0 {
		return 0, 0
	}
	jobs = slices.Clone(jobs)
	slices.SortStableFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
	var alone time.Duration
	for _, j := range jobs {
		alone += j.RunTime
		makespan = max(makespan, j.Submitted+j.RunTime)
	}
	shared, last := shortestFirst(jobs, float64(capacity))
	n := time.Duration(len(jobs))
	return max(alone/n, shared/n), max(makespan, last)
}

// shortestFirst returns the sum of completion times and the last end on one
// server under shortest remaining work first.
func shortestFirst(jobs []*Job, capacity float64) (sum, last time.Duration) {
	var open works
	now := 0.0
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	finish := func(until float64) {
		for len(open) > 0 {
			w := &open[0]
			if need := w.left / capacity; now+need > until {
				w.left -= (until - now) * capacity
				break
			}
			now += w.left / capacity
			sum += seconds(now) - w.job.Submitted
			last = seconds(now)
			heap.Pop(&open)
		}
	}
	for _, j := range jobs {
		at := j.Submitted.Seconds()
		finish(at)
		now = at
		heap.Push(&open, work{j, j.work()})
	}
	finish(1e18)
	return sum, last
}

type work struct {
	job  *Job
	left float64
}

// works is a heap by remaining work.
type works []work

func (w works) Len() int           { return len(w) }
func (w works) Less(a, b int) bool { return w[a].left < w[b].left }
func (w works) Swap(a, b int)      { w[a], w[b] = w[b], w[a] }
func (w *works) Push(x any)        { *w = append(*w, x.(work)) }

func (w *works) Pop() any {
	old := *w
	x := old[len(old)-1]
	*w = old[:len(old)-1]
	return x
}
