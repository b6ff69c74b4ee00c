package duty

import (
	"cmp"
	"slices"
	"time"

	"catkinpoint/graph"
)

const (
	// maxRequestTasks is the number of tasks up to which a decision considers all units that are
	// ready. Beyond it each job has a quota.
	maxRequestTasks = 4096
	// wideUnit is the number of tasks of a unit from which a decision considers only one such
	// unit.
	wideUnit = maxRequestTasks / 4
	// maxJobTasks bounds the tasks of a job in memory before more of its progress is begun, and
	// maxTasks those of all jobs, from which each job has minJobTasks.
	maxJobTasks = 16 << 10
	maxTasks    = 128 << 10
	minJobTasks = 1 << 10
)

// readyJob is a job with units that are ready.
type readyJob struct {
	*job
	tasks int // that are ready, at most maxRequestTasks
	first int // tasks of its first unit
	quota int // tasks that the decision considers, but for a first unit that has more
}

// cost returns the tasks of the units that the decision considers.
func (j readyJob) cost() int { return max(j.first, j.quota) }

// readyUnits returns the units that the next decision considers: all that are ready or, if
// these are many, some of each job. What the decision costs is thereby bounded for all jobs
// together, and a job with many units does not keep those of others from being considered.
func (st *state) readyUnits(guaranteed map[*job]bool, now time.Duration) []graph.Unit {
	unixMS := time.Now().UnixMilli()
	st.limitTasks()
	var jobs, wide []readyJob
	total := 0
	for _, j := range st.openJobs() {
		if st.full(j) {
			continue
		}
		tasks, first := j.graph.ReadyTasks(unixMS, maxRequestTasks)
		switch {
		case tasks == 0:
		case first >= wideUnit:
			wide = append(wide, readyJob{job: j, first: first})
		default:
			jobs = append(jobs, readyJob{j, tasks, first, tasks})
			total += tasks
		}
	}
	st.round++
	if total > maxRequestTasks {
		slices.SortStableFunc(jobs, func(a, b readyJob) int { return st.comparePrecedence(a.job, b.job, guaranteed, now) })
		setQuotas(jobs, maxRequestTasks)
		jobs = st.limitJobs(jobs)
	}
	if len(wide) > 0 {
		jobs = append(jobs, wide[st.round%len(wide)])
	}
	slices.SortFunc(jobs, func(a, b readyJob) int { return compareJobs(a.job, b.job) })
	var units []graph.Unit
	for _, j := range jobs {
		units = append(units, j.graph.ReadyUpTo(unixMS, j.cost(), scatter(st.round))...)
	}
	return units
}

// scatter returns a number that is spread evenly, for consecutive n, over the remainders of
// division by any number of steps.
func scatter(n int) int { return int(uint32(n) * 2654435769 >> 8) }

// setQuotas divides total among jobs that have more tasks together. Half of it goes to the
// first jobs, so that their later tasks do not come after others; of the rest all have like
// shares, where jobs with fewer tasks leave theirs to the others.
func setQuotas(jobs []readyJob, total int) {
	byOrder := total / 2
	for i := range jobs {
		jobs[i].quota = min(jobs[i].tasks, byOrder)
		byOrder -= jobs[i].quota
	}
	var missing []int
	for _, j := range jobs {
		missing = append(missing, j.tasks-j.quota)
	}
	share := fairShare(missing, total-total/2)
	for i := range jobs {
		jobs[i].quota += min(missing[i], share)
	}
}

// fairShare returns the largest share with which demands, each cut to it, are at most total
// together.
func fairShare(demands []int, total int) int {
	demands = slices.Sorted(slices.Values(demands))
	for i, d := range demands {
		if share := total / (len(demands) - i); d > share {
			return share
		}
		total -= d
	}
	return total
}

// limitJobs returns the jobs whose units are considered if one unit of each is too much already:
// half of the tasks are of the first jobs, and half of the others in turn.
func (st *state) limitJobs(jobs []readyJob) []readyJob {
	total := 0
	for _, j := range jobs {
		total += j.cost()
	}
	if total <= 2*maxRequestTasks {
		return jobs
	}
	spent, n := 0, 0
	for ; n < len(jobs) && spent < maxRequestTasks; n++ {
		spent += jobs[n].cost()
	}
	taken, rest := slices.Clone(jobs[:n]), jobs[n:]
	for i := 0; i < len(rest) && spent < 2*maxRequestTasks; i++ {
		j := rest[(st.turn+i)%len(rest)]
		taken, spent = append(taken, j), spent+j.cost()
	}
	st.turn += len(taken) - n
	return taken
}

// comparePrecedence orders jobs much as package plan orders their units.
func (st *state) comparePrecedence(a, b *job, guaranteed map[*job]bool, now time.Duration) int {
	first := func(x, y bool) int {
		switch {
		case x && !y:
			return -1
		case y && !x:
			return 1
		}
		return 0
	}
	slack := func(j *job) time.Duration { return st.objectiveOf(j) - (now - j.submitted) }
	priority := func(j *job) int32 { return j.graph.Spec.GetPriority() }
	return cmp.Or(
		first(guaranteed[a], guaranteed[b]), first(priority(a) == 0, priority(b) == 0), first(slack(a) > 0, slack(b) > 0),
		cmp.Compare(priority(a), priority(b)), cmp.Compare(slack(a), slack(b)), compareJobs(a, b),
	)
}

// limitTasks bounds the progress that is begun, for each job and for all jobs together.
func (st *state) limitTasks() {
	total, limit := 0, maxJobTasks
	for _, j := range st.openJobs() {
		total += j.graph.StartedTasks()
	}
	if total >= maxTasks {
		limit = minJobTasks
	}
	for _, j := range st.openJobs() {
		j.graph.LimitTasks(limit)
	}
}
