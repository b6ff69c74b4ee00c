package matrix

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"catkinpoint/local"
	"catkinpoint/stand/fakeep"
)

// taskRun is one run of a task as the endpoint recorded it.
type taskRun struct {
	worker  string
	job     string
	attempt string // of the job, without the rank, after the data centre's name
	rank    int    // of the task in the job
	start   time.Time
	end     time.Time // zero if the task still runs
	outcome string    // done, failed, or the cause of a stop
}

// runningAt reports whether the task ran at t.
func (r *taskRun) runningAt(t time.Time) bool {
	return r.start.Before(t) && (r.end.IsZero() || r.end.After(t))
}

// taskRuns returns the task runs in the records of all endpoints, in the order of
// their starts.
func (c *Cluster) taskRuns() []*taskRun {
	var list []*taskRun
	for _, worker := range c.agents() {
		byRun := make(map[int]*taskRun)
		for _, event := range c.endpoint(worker).Record() {
			switch event.Kind {
			case fakeep.KindStart:
				run := newTaskRun(worker, event)
				byRun[event.Run] = run
				list = append(list, run)
			case fakeep.KindEnd, fakeep.KindStop:
				byRun[event.Run].end, byRun[event.Run].outcome = event.Time, event.Detail
			}
		}
	}
	slices.SortFunc(list, func(a, b *taskRun) int { return a.start.Compare(b.start) })
	return list
}

func (c *Cluster) endpoint(worker string) *fakeep.Endpoint {
	return c.System.Process(local.EndpointProcessName(worker)).Endpoint
}

// newTaskRun returns the run that a start event begins. The id of its task has the
// form JOB.EPOCH.ATTEMPT-RANK, where ATTEMPT is a number.
func newTaskRun(worker string, event fakeep.Event) *taskRun {
	run := &taskRun{worker: worker, start: event.Time}
	run.job, _, _ = strings.Cut(event.Attempt, ".")
	if dash := strings.LastIndexByte(event.Attempt, '-'); dash >= 0 {
		// Schedulers of two data centres can give the same id to two attempts, so
		// the data centre is made part of the attempt. It is the prefix of the
		// worker's name, such as keila-00.
		dc, _, _ := strings.Cut(worker, "-0")
		run.attempt = dc + "/" + event.Attempt[:dash]
		run.rank, _ = strconv.Atoi(event.Attempt[dash+1:])
	}
	return run
}
