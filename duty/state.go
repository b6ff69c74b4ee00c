package duty

import (
	"cmp"
	"slices"
	"time"

	"catkinpoint/graph"
	"catkinpoint/plan"
	"catkinpoint/store"
)

// state is the state of a Scheduler. Only the goroutine of its owner uses it.
type state struct {
	jobs    map[string]*job
	workers map[string]*worker
	byPlace map[graph.Place]*worker
	// activeByRelay holds the tasks with a run that has not ended, and their jobs,
	// by the relay of their place.
	activeByRelay map[string]map[*graph.Task]*job
	// revisions holds the revision of each key that was applied last.
	revisions        map[string]int64
	cancelled        map[string]bool                 // ids of cancelled jobs; a cancellation may come before its job
	loadedProgress   map[string]store.Item           // progress records read while loading, by job
	loadedCrashes    map[string]store.Item           // crash records read while loading, by job
	loadedPages      map[string]map[int64]store.Item // pages read while loading, by job and number
	orphanedKeys     []string                        // keys of crash records and pages of removed jobs
	maxUnpagedBytes  int
	gates            map[string]bool // listed gates, and whether they read progress in pages
	lastDoubtful     doubtfulStart
	recentCrashes    []*crash // in the last crashMemory
	startedAt        time.Duration
	loaded           bool // all jobs were read from the store
	planNeeded       bool // placement has to be decided again
	writing          bool // a write of progress is under way
	superseded       bool // the claim is lost or given up; nothing more is written
	sweeping         bool // a transaction that removes jobs is under way
	nextSweep        time.Duration
	nextExpire       time.Duration
	nextWorkerGroups time.Duration
	// holds are the places where resources are being freed for a unit by stopping
	// runs.
	holds map[unitKey][]graph.Place
	// urgentWaitAt is when an urgent unit last had to wait for resources.
	urgentWaitAt time.Duration
	lastSeq      int64 // number of the last change of any job's progress
	round        int   // number of the decisions that have looked for units that are ready
	turn         int   // see limitJobs
	// planInput is the last input of package plan. Its slices are reused.
	planInput plan.Input
	// chainsOf has the results of chains within buildInput, and is nil otherwise.
	chainsOf  map[*job][]time.Duration
	learned   learned
	admission admission
	// openCache is the result of openJobs, or nil if it has to be built again.
	openCache []*job
	// orderedBytes is the length of the starts that are ordered and not confirmed, as of the
	// last decision, with those ordered since.
	orderedBytes int
	// nextPlan is the earliest time of the next decision.
	nextPlan time.Duration
}

// unitKey identifies a unit by its job and first task.
type unitKey struct {
	job   *graph.Job
	first graph.Ref
}

func newState(now time.Duration) *state {
	st := &state{
		jobs: map[string]*job{}, workers: map[string]*worker{}, byPlace: map[graph.Place]*worker{}, activeByRelay: map[string]map[*graph.Task]*job{},
		revisions: map[string]int64{}, cancelled: map[string]bool{}, loadedProgress: map[string]store.Item{}, loadedCrashes: map[string]store.Item{}, startedAt: now,
		loadedPages: map[string]map[int64]store.Item{}, gates: map[string]bool{}, maxUnpagedBytes: maxUnpagedBytes,
	}
	st.learned = newLearned(&st.admission.promises)
	return st
}

// openJobs returns the jobs that are not settled, in the order in which they were
// accepted. The result is cached until a job is added or removed, and may hold
// jobs that were settled since.
func (st *state) openJobs() []*job {
	if st.openCache != nil {
		return st.openCache
	}
	st.openCache = make([]*job, 0, len(st.jobs))
	for _, j := range st.jobs {
		if !j.settled() {
			st.openCache = append(st.openCache, j)
		}
	}
	slices.SortFunc(st.openCache, compareJobs)
	return st.openCache
}

// addActive records a task that has been assigned a place.
func (st *state) addActive(j *job, t *graph.Task) {
	tasks := st.activeByRelay[t.Place.Relay]
	if tasks == nil {
		tasks = map[*graph.Task]*job{}
		st.activeByRelay[t.Place.Relay] = tasks
	}
	tasks[t] = j
}

// activeTask is a task with a run that has not ended, and its job.
type activeTask struct {
	*graph.Task
	job *job
}

func (t activeTask) name() string { return graph.TaskName(t.job.graph.Spec.GetId(), t.Ref) }

// activeOn returns the tasks with a run that was assigned to a worker of the relay,
// in the order in which their jobs were accepted.
func (st *state) activeOn(relay string) []activeTask {
	list := make([]activeTask, 0, len(st.activeByRelay[relay]))
	for t, j := range st.activeByRelay[relay] {
		list = append(list, activeTask{t, j})
	}
	slices.SortFunc(list, func(a, b activeTask) int {
		return cmp.Or(compareJobs(a.job, b.job), graph.CompareRefs(a.Ref, b.Ref))
	})
	return list
}

// markDirty records that the progress of a job has changed and must be stored.
func (st *state) markDirty(j *job) {
	st.lastSeq++
	records := j.graph.TakeChanged()
	if !j.graph.Paged() || len(records) == 0 {
		records = []int64{graph.HeadPage}
	}
	for _, page := range records {
		c, ok := j.changes[page]
		if !ok {
			c.first = st.lastSeq
		}
		c.last = st.lastSeq
		j.changes[page] = c
	}
	st.planNeeded = true
}

// markOrdersChanged makes the worker at a place get orders with a new version.
func (st *state) markOrdersChanged(p graph.Place) {
	if w := st.byPlace[p]; w != nil {
		w.ordersChanged = true
	}
}
