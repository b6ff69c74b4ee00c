package graph

import (
	"cmp"
	"slices"
	"time"

	"catkinpoint/blame"
	"catkinpoint/flow"
)

const (
	// maxProbableCrashes is the number of crashes that a unit probably caused, at
	// similar ages, after which its job fails.
	maxProbableCrashes = 2
	// maxPossibleCrashes is that of crashes that it possibly or probably caused.
	maxPossibleCrashes = 4
	// maxCrashes is that of these and of outages shortly after a start. After three
	// crashes that it caused a task may be started twice more. It is also that of all
	// crashes but those with another cause, if it was alone on its worker in
	// minLoneCrashes of them.
	maxCrashes     = 5
	minLoneCrashes = 2
	// minOwnCrashes is the number of crashes under one task before its job is given up.
	minOwnCrashes = 2
	// isolatedAfterCrashes is the number of crashes, other than outages, after which
	// a unit gets workers of its own whatever it is suspected of.
	isolatedAfterCrashes = 2
	// maxKeptCrashes bounds the crashes that are kept for a task. Of more, those that
	// weigh least are forgotten.
	maxKeptCrashes = 12
	// CrashSettleTime is the time after a crash in which others may become known
	// that have the same outside cause.
	CrashSettleTime = 600 * time.Millisecond
)

// Crash is the crash of a worker under a run of a task.
type Crash struct {
	Run           int64
	Worker        string
	WorkerStartMS int64 // start of the worker's process, in Unix milliseconds
	// Age is the age of the run at the crash; it is negative if it is not known.
	Age       time.Duration
	UnixMS    int64 // when the worker crashed, in Unix milliseconds
	Suspicion flow.Suspicion
	Alone     bool // no other run was on the worker, except of the same gang
}

// LoadCrashes adds the crashes in a stored record.
func (j *Job) LoadCrashes(record *flow.JobCrashes) {
	for _, c := range record.GetCrashes() {
		ref := Ref{c.GetOccurrence(), c.GetStep(), c.GetIndex()}
		if j.Step(ref) == nil || ref.Occurrence < 0 {
			continue
		}
		age := time.Duration(c.GetAgeMs()) * time.Millisecond
		j.AddCrash(ref, Crash{
			Run: c.GetRun(), Worker: c.GetWorker(), WorkerStartMS: c.GetWorkerBornMs(), Age: max(age, -1),
			UnixMS: c.GetUnixMs(), Suspicion: c.GetSuspicion(), Alone: c.GetAlone(),
		})
	}
}

// CrashRecord returns the crashes as they are stored, sorted by task and run.
func (j *Job) CrashRecord() *flow.JobCrashes {
	record := &flow.JobCrashes{}
	for ref, crashes := range j.crashes {
		record.Crashes = appendCrashes(record.Crashes, ref, crashes)
	}
	slices.SortFunc(record.Crashes, func(a, b *flow.TaskCrash) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index), cmp.Compare(a.Run, b.Run))
	})
	return record
}

// appendCrashes appends the crashes under a task as they are stored.
func appendCrashes(records []*flow.TaskCrash, ref Ref, crashes []Crash) []*flow.TaskCrash {
	for _, c := range crashes {
		ageMS := c.Age.Milliseconds()
		if c.Age < 0 {
			ageMS = -1
		}
		records = append(records, &flow.TaskCrash{
			Occurrence: ref.Occurrence, Step: ref.Step, Index: ref.Index, Run: c.Run, Worker: c.Worker,
			WorkerBornMs: c.WorkerStartMS, AgeMs: ageMS, UnixMs: c.UnixMS, Suspicion: c.Suspicion, Alone: c.Alone,
		})
	}
	return records
}

// HasCrashes reports whether a worker has crashed under a task of the job.
func (j *Job) HasCrashes() bool { return len(j.crashes) > 0 }

// AddCrash adds the crash of a worker under a run, and reports whether it was not
// known yet.
func (j *Job) AddCrash(ref Ref, c Crash) bool {
	if slices.ContainsFunc(j.crashes[ref], func(known Crash) bool { return known.Run == c.Run }) {
		return false
	}
	if j.donePages.contains(j.layout.page(ref)) {
		return false
	}
	if j.crashes == nil {
		j.crashes = map[Ref][]Crash{}
	}
	crashes := append(j.crashes[ref], c)
	if len(crashes) > maxKeptCrashes {
		weight := func(c Crash) int { return suspicionRank(c.Suspicion) }
		lightest := slices.IndexFunc(crashes, func(c Crash) bool {
			return !slices.ContainsFunc(crashes, func(other Crash) bool { return weight(other) < weight(c) })
		})
		crashes = slices.Delete(crashes, lightest, lightest+1)
	}
	j.crashes[ref] = crashes
	j.markCrashesChanged(ref)
	return true
}

// markCrashesChanged records that the crashes of a task have changed. Progress that is one
// record does not have them.
func (j *Job) markCrashesChanged(ref Ref) {
	if j.Paged() {
		j.changed[j.layout.page(ref)] = true
	}
}

// MarkOutage changes the suspicion of a run's crash to an outage or to a doubtful one, and
// reports whether it was another before. An outage stays one.
func (j *Job) MarkOutage(ref Ref, run int64, cause flow.Suspicion) bool {
	for i, c := range j.crashes[ref] {
		if c.Run == run && c.Suspicion != flow.Suspicion_OUTAGE && c.Suspicion != cause {
			j.crashes[ref][i].Suspicion = cause
			j.markCrashesChanged(ref)
			return true
		}
	}
	return false
}

// UnitCrashes returns the crashes of a task or, if it is a member of a gang, of the
// gang: one for each run, with the highest suspicion of any member.
func (j *Job) UnitCrashes(ref Ref) []Crash {
	if len(j.crashes) == 0 {
		return nil
	}
	byRun := map[int64]Crash{}
	for _, member := range j.Members(ref) {
		for _, c := range j.crashes[member] {
			if known, ok := byRun[c.Run]; !ok || suspicionRank(c.Suspicion) > suspicionRank(known.Suspicion) {
				byRun[c.Run] = c
			}
		}
	}
	crashes := make([]Crash, 0, len(byRun))
	for _, c := range byRun {
		crashes = append(crashes, c)
	}
	slices.SortFunc(crashes, func(a, b Crash) int { return cmp.Compare(a.Run, b.Run) })
	return crashes
}

// suspicionRank orders suspicions by how much they weigh against a task.
func suspicionRank(s flow.Suspicion) int {
	return slices.Index([]flow.Suspicion{flow.Suspicion_OUTAGE, flow.Suspicion_BYSTANDER, flow.Suspicion_DOUBTFUL, flow.Suspicion_POSSIBLE, flow.Suspicion_PROBABLE}, s)
}

// countSuspicions returns how many crashes a unit probably caused at similar ages,
// possibly or probably caused, and was in without an outage.
func countSuspicions(crashes []Crash) (probable, possible, inside int) {
	for _, c := range crashes {
		switch c.Suspicion {
		case flow.Suspicion_PROBABLE:
			probable = max(probable, countSimilar(crashes, c.Age))
			possible++
			inside++
		case flow.Suspicion_POSSIBLE:
			possible++
			inside++
		case flow.Suspicion_BYSTANDER, flow.Suspicion_DOUBTFUL:
			inside++
		}
	}
	return probable, possible, inside
}

// countSimilar returns how many crashes a unit probably caused at an age similar to
// the given one.
func countSimilar(crashes []Crash, age time.Duration) int {
	n := 0
	for _, c := range crashes {
		if c.Suspicion == flow.Suspicion_PROBABLE && (c.Age == age || blame.SimilarAges(c.Age, age)) {
			n++
		}
	}
	return n
}

// Suspect reports whether the task, or its gang, may make workers crash, so that it
// should run apart from other jobs.
func (j *Job) Suspect(ref Ref) bool {
	crashes := j.UnitCrashes(ref)
	_, _, inside := countSuspicions(crashes)
	return inside >= isolatedAfterCrashes || slices.ContainsFunc(crashes, func(c Crash) bool {
		return c.Suspicion == flow.Suspicion_PROBABLE || c.Suspicion == flow.Suspicion_POSSIBLE && c.young()
	})
}

// Doubtful reports whether the task, or its gang, was in a crash that it may have caused at
// the same time as others caused theirs, so that it should not start when they do.
func (j *Job) Doubtful(ref Ref) bool {
	return slices.ContainsFunc(j.UnitCrashes(ref), func(c Crash) bool { return c.Suspicion == flow.Suspicion_DOUBTFUL })
}

// crashesExhausted reports whether a task or gang has made so many workers crash that
// the job is given up. It waits until the last crash has settled. Crashes under other
// members of a gang are evidence against a task, but do not suffice: several workers that
// crash once each take a large gang with them each time.
func (j *Job) crashesExhausted(nowUnixMS int64) bool {
	for ref, own := range j.crashes {
		if t := j.tasks[ref]; t != nil && t.Done || countOwn(own) < minOwnCrashes {
			continue
		}
		crashes := j.UnitCrashes(ref)
		probable, possible, _ := countSuspicions(crashes)
		if probable >= maxProbableCrashes || possible >= maxPossibleCrashes || countRelevant(crashes) >= maxCrashes || causedAlone(crashes) {
			return !j.CrashesUnsettled(nowUnixMS)
		}
	}
	return false
}

// countOwn returns how many of the crashes under a task it may have been on the worker for. A
// run without a known age beside another that explains the crash may never have started.
func countOwn(own []Crash) int {
	n := 0
	for _, c := range own {
		if c.Age >= 0 || c.Suspicion != flow.Suspicion_BYSTANDER {
			n++
		}
	}
	return n
}

// countRelevant returns how many of the crashes the unit possibly or probably caused,
// or were outages shortly after the start of the run.
func countRelevant(crashes []Crash) int {
	_, n, _ := countSuspicions(crashes)
	for _, c := range crashes {
		if (c.Suspicion == flow.Suspicion_OUTAGE || c.Suspicion == flow.Suspicion_DOUBTFUL) && c.young() {
			n++
		}
	}
	return n
}

// causedAlone reports whether a unit was in so many crashes, alone on its worker in enough
// doubtful ones and always after the same time, that it has to be the cause. A run that has
// lasted longer shows that the time was not the same.
func causedAlone(crashes []Crash) bool {
	longest := time.Duration(-1)
	for _, c := range crashes {
		longest = max(longest, c.Age)
	}
	lone := 0
	for _, c := range crashes {
		accused := c.Suspicion == flow.Suspicion_POSSIBLE || c.Suspicion == flow.Suspicion_PROBABLE
		if (accused || c.Suspicion == flow.Suspicion_DOUBTFUL && c.Alone) && blame.SimilarAges(c.Age, longest) {
			lone++
		}
	}
	return len(crashes) >= maxCrashes && lone >= minLoneCrashes
}

// young reports whether the worker crashed shortly after the start of the run.
func (c Crash) young() bool { return c.Age >= 0 && c.Age <= blame.YoungAge }

// CrashesUnsettled reports whether a worker has crashed under a task of the job less
// than CrashSettleTime ago.
func (j *Job) CrashesUnsettled(nowUnixMS int64) bool {
	for _, crashes := range j.crashes {
		for _, c := range crashes {
			// A crash that lies in the future was recorded by a clock that was ahead.
			if age := nowUnixMS - c.UnixMS; age >= 0 && age < CrashSettleTime.Milliseconds() {
				return true
			}
		}
	}
	return false
}
