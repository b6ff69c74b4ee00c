package duty

import (
	"cmp"
	"math"
	"slices"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/plan"
	"catkinpoint/speed"
)

// job is a job with the state that its stored records do not hold.
type job struct {
	graph *graph.Job
	// submitted is when the job was accepted, on this process's clock.
	submitted time.Duration
	// revisions has the revision of each stored record of the progress: of the pages and,
	// as graph.HeadPage, of the head or the record of the whole.
	revisions map[int64]int64
	// changes has the records with changes that are not stored, whose numbers are from
	// state.lastSeq.
	changes      map[int64]changeRange
	crashesDirty bool // the crash record has such changes too
	// recordBytes is the length of the last record of the whole progress, and recordTasks the
	// number of started tasks in it.
	recordBytes, recordTasks int
	// split is set once the stored head says that the progress is in pages, and unsplit has
	// the pages that are to be stored before.
	split   bool
	unsplit []int64
	// writeAlone is set after the store has refused a transaction with this job, and refused
	// if that had nothing but a record of it, which is not tried again until refusedUntil.
	writeAlone, refused bool
	refusedUntil        time.Duration

	runs map[graph.Ref]*run // by task
	// measured has, by step, the run time of a task on a typical worker as its progress shows
	// it.
	measured map[int32]time.Duration
	// readySince is when a unit became ready, by the first task of the unit.
	readySince map[graph.Ref]time.Duration
	// moves counts how often runs were stopped because of slow or stalled workers.
	moves int
	// concluded holds, by task, the last run that was taken as over without an end that
	// its worker listed.
	concluded map[graph.Ref]conclusion
	// failedOn holds the workers on which a task has failed.
	failedOn map[graph.Ref][]*worker
	// gangFailures has the last failed run of each gang, by its first task.
	gangFailures map[graph.Ref]gangFailure
	// lastingFailures has the last failed runs of each step that lasts.
	lastingFailures map[stepKey][]lastingFailure
}

// run is the last run of a task, with the state that the task's stored record does
// not hold. Times are on this process's clock unless they are called clocks.
type run struct {
	run         int64 // number of the run
	stored      bool  // the record with the run is committed, so it may be ordered
	orderedIn   int64 // version of the first orders with the start, or 0
	stopOrdered bool
	proved      bool          // it lasts, and has shown that its worker is sound
	knownSince  time.Duration // when this scheduler assigned or first saw the run
	// begunAt is when the worker of the run, and those of all other members of its
	// gang, had listed their runs for the first time, or 0.
	begunAt time.Duration
	// firstPercent is the progress at begunAt, percent the last known progress,
	// and percentAt when it last grew.
	firstPercent, percent int32
	percentAt             time.Duration
	// The worker's clock at begunAt, in its last list and when percent last grew.
	// It measures the speed of the run even if reports are delayed.
	begunClock, lastClock, percentClock time.Duration
	// sampleClock and samplePercent are the worker's clock and the progress at the
	// last slowness sample.
	sampleClock   time.Duration
	samplePercent int32
	slowness      float64 // in the last sample
	slowSamples   int     // slow samples in a row
	checkpoint    string  // last one that the worker listed
	expectedTime  time.Duration
	// pace is the pace that expectedTime includes, which is that of the slowest worker of a
	// gang, and ownPace that of the run's own worker; 0 if expectedTime includes none.
	pace, ownPace float64
	// remote is set if the run was placed outside the rack of its data or its gang.
	remote  bool
	stretch speed.Stretch // the part of the run since the last sample of its worker's pace
}

// runRef identifies a run of a task of a known job.
type runRef struct {
	ref graph.Ref
	run int64
}

// settled reports whether nothing of the job can change any more: it has ended, its
// progress is stored and none of its runs is active.
func (j *job) settled() bool { return j.graph.Ended() && !j.dirty() && len(j.graph.Active()) == 0 }

// dirty reports whether the progress has changes that are not stored.
func (j *job) dirty() bool { return len(j.changes) > 0 }

// firstUnstored returns the number of the first change that is not stored. There must be
// one.
func (j *job) firstUnstored() int64 {
	first := int64(math.MaxInt64)
	for _, c := range j.changes {
		first = min(first, c.first)
	}
	return first
}

// dirtyPages returns the pages with changes that are not stored, the oldest change first.
func (j *job) dirtyPages() []int64 {
	pages := make([]int64, 0, len(j.changes))
	for page := range j.changes {
		if page != graph.HeadPage {
			pages = append(pages, page)
		}
	}
	slices.SortFunc(pages, func(a, b int64) int {
		return cmp.Or(cmp.Compare(j.changes[a].first, j.changes[b].first), cmp.Compare(a, b))
	})
	return pages
}

// recordKey returns the key of a page or, for graph.HeadPage, of the progress record.
func (j *job) recordKey(page int64) string {
	if page == graph.HeadPage {
		return ProgressKey(j.graph.Spec.GetId())
	}
	return PageKey(j.graph.Spec.GetId(), page)
}

func compareJobs(a, b *job) int {
	if a == b {
		return 0
	}
	return cmp.Or(cmp.Compare(a.submitted, b.submitted), cmp.Compare(a.graph.Spec.GetId(), b.graph.Spec.GetId()))
}

// declaredTime returns the run time of a task as its step declares it.
func declaredTime(j *job, ref graph.Ref) time.Duration {
	return time.Duration(j.graph.Step(ref).GetEstimateMs()) * time.Millisecond
}

// unstoredRuns returns the active runs whose assignment is not stored yet.
func (j *job) unstoredRuns() []runRef {
	var refs []runRef
	for ref, r := range j.runs {
		if t := j.graph.Task(ref); !r.stored && t != nil && t.Active() && t.Run == r.run {
			refs = append(refs, runRef{ref, r.run})
		}
	}
	return refs
}

// unstoredRunsOf is like unstoredRuns, for the tasks of a page.
func (j *job) unstoredRunsOf(page int64) []runRef {
	var refs []runRef
	for _, t := range j.graph.PageTasks(page) {
		if r := j.runs[t.Ref]; r != nil && !r.stored && t.Active() && t.Run == r.run {
			refs = append(refs, runRef{t.Ref, r.run})
		}
	}
	return refs
}

// needOf returns the resources that one task of a step holds. A task that uses idle
// processors (Step.fills) holds no processor.
func needOf(step *flow.Step) plan.Resources {
	cpu := step.GetCpu()
	if step.GetFills() {
		cpu = 0
	}
	return plan.Resources{MilliCPU: cpu, MemoryMB: step.GetMemoryMb(), Accelerators: step.GetAccelerators()}
}
