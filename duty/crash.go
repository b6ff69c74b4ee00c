package duty

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/blame"
	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/plan"
	"catkinpoint/store"
)

const (
	// outageWindow is the time between two crashes that may have the same outside
	// cause. Relays report when a connection to the worker broke, not when they were
	// sure of its end.
	outageWindow = 300 * time.Millisecond
	// crashMemory is how long a crash is kept for comparison with later ones.
	crashMemory = 30 * time.Second
)

// crashedRun is a run of a known job that was on a worker when it crashed.
type crashedRun struct {
	job *job
	ref graph.Ref
	run int64
}

// crash is a crash that a relay of this claim's time reported.
type crash struct {
	relay     string
	at        time.Duration
	runs      []crashedRun
	explained bool // as in blame.Verdict
	// clean is set if no run on the worker was of a unit that had been in a crash before.
	clean bool
}

// applyCrashes records the crashes that a relay reports, each once.
func (st *state) applyCrashes(w *worker, crashes []*flow.Crash) {
	for _, c := range crashes {
		if c.GetNumber() <= w.lastAppliedCrash {
			continue
		}
		w.lastAppliedCrash = c.GetNumber()
		st.applyCrash(w, c)
		w.unstoredCrashes = append(w.unstoredCrashes, unstoredChange{c.GetNumber(), st.lastSeq})
	}
	if len(w.unstoredCrashes) > 0 {
		st.acknowledgeEnds()
	}
}

// applyCrash records a crash with the jobs of the runs that were on the worker.
func (st *state) applyCrash(w *worker, c *flow.Crash) {
	at := clock.Monotonic() - time.Duration(c.GetAgoMs())*time.Millisecond
	atUnixMS := time.Now().UnixMilli() - c.GetAgoMs()
	event := &crash{relay: w.relay, at: at, clean: true}
	var runs, doubted []blame.Run[*job] // without and with the ages at crashes together with others
	for _, r := range c.GetRuns() {
		id, ref, err := graph.ParseTask(r.GetTask())
		j := st.jobs[id]
		if err != nil || j == nil || j.graph.Step(ref) == nil {
			continue
		}
		age := time.Duration(r.GetAgeMs()) * time.Millisecond
		if r.GetAgeMs() < 0 {
			age = blame.UnknownAge
		}
		earlier := slices.DeleteFunc(j.graph.UnitCrashes(ref), func(c graph.Crash) bool { return c.Run == r.GetRun() })
		event.clean = event.clean && len(earlier) == 0
		event.runs = append(event.runs, crashedRun{j, ref, r.GetRun()})
		runs = append(runs, blame.Run[*job]{Job: j, Age: age, Earlier: suspectAges(earlier, false)})
		doubted = append(doubted, blame.Run[*job]{Job: j, Age: age, Earlier: suspectAges(earlier, true)})
	}
	verdict := blame.Judge(runs)
	event.explained = verdict.Explained
	outage, cause := st.findOutage(event)
	if !outage {
		verdict = blame.Judge(doubted)
	}
	klog.InfoS("duty: worker crashed", "worker", c.GetWorker(), "born", c.GetWorkerBornMs(), "relay", w.relay, "ago_ms", c.GetAgoMs(),
		"runs", len(c.GetRuns()), "youngest", graph.RunAges(c.GetRuns()), "explained", verdict.Explained, "clean", event.clean, "outage", outage, "cause", cause)
	for i, r := range event.runs {
		suspicion := verdict.Suspicions[i]
		if outage {
			suspicion = cause
		}
		if !r.job.graph.AddCrash(r.ref, graph.Crash{
			Run: r.run, Worker: c.GetWorker(), WorkerStartMS: c.GetWorkerBornMs(), Age: runs[i].Age, UnixMS: atUnixMS, Suspicion: suspicion,
			Alone: unitAlone(c.GetRuns(), r),
		}) {
			continue // an earlier holder has stored it
		}
		r.job.crashesDirty = true
		st.markDirty(r.job)
		count(crashesCounter, 1, "suspicion", suspicion.String())
		klog.InfoS("duty: task in a crash", "job", r.job.graph.Spec.GetId(), "step", r.ref.Step, "index", r.ref.Index, "run", r.run,
			"worker", c.GetWorker(), "age_ms", runs[i].Age.Milliseconds(), "suspicion", suspicion, "crashes", len(r.job.graph.UnitCrashes(r.ref)))
	}
	st.recentCrashes = append(st.recentCrashes, event)
}

// unitAlone reports whether all runs that were on a worker are of the task of r or, if it is
// a member of a gang, of that gang.
func unitAlone(runs []*flow.CrashedRun, r crashedRun) bool {
	return !slices.ContainsFunc(runs, func(other *flow.CrashedRun) bool {
		id, ref, err := graph.ParseTask(other.GetTask())
		sameUnit := ref == r.ref || stepOf(ref) == stepOf(r.ref) && r.job.graph.Step(r.ref).GetGang()
		return err != nil || id != r.job.graph.Spec.GetId() || !sameUnit
	})
}

// suspectAges returns the ages of a unit at the crashes that it may have caused, with those
// at the same time as others if they count: doubtful ones, and outages in which it was alone
// on its worker.
func suspectAges(crashes []graph.Crash, together bool) []time.Duration {
	var ages []time.Duration
	for _, c := range crashes {
		accused := c.Suspicion == flow.Suspicion_PROBABLE || c.Suspicion == flow.Suspicion_POSSIBLE
		if accused || together && (c.Suspicion == flow.Suspicion_DOUBTFUL || c.Suspicion == flow.Suspicion_OUTAGE && c.Alone) {
			ages = append(ages, c.Age)
		}
	}
	return ages
}

// findOutage reports whether a crash may have an outside cause, as another worker without
// any of its jobs crashed at the same time and nothing on one of the two explains why. It
// is an outage if one of these workers had only runs of units that had been in no crash
// before. Otherwise it is doubtful: units that make their workers crash after the same time,
// and were started at the same time, look like that each time. The others are then marked
// too.
func (st *state) findOutage(c *crash) (bool, flow.Suspicion) {
	now := clock.Monotonic()
	st.recentCrashes = slices.DeleteFunc(st.recentCrashes, func(old *crash) bool { return now-old.at > crashMemory })
	clean, together := c.clean, []*crash(nil)
	for _, other := range st.recentCrashes {
		if other.relay == c.relay || (c.at-other.at).Abs() > outageWindow || c.explained && other.explained || c.sharesJob(other) {
			continue
		}
		together = append(together, other)
		clean = clean || other.clean
	}
	cause := flow.Suspicion_DOUBTFUL
	if clean {
		cause = flow.Suspicion_OUTAGE
	}
	for _, other := range together {
		for _, r := range other.runs {
			if r.job.graph.MarkOutage(r.ref, r.run, cause) {
				r.job.crashesDirty = true
				st.markDirty(r.job)
				klog.InfoS("duty: crash of task judged again", "job", r.job.graph.Spec.GetId(), "step", r.ref.Step, "index", r.ref.Index, "run", r.run, "suspicion", cause)
			}
		}
	}
	return len(together) > 0, cause
}

func (c *crash) sharesJob(other *crash) bool {
	return slices.ContainsFunc(c.runs, func(r crashedRun) bool {
		return slices.ContainsFunc(other.runs, func(o crashedRun) bool { return o.job == r.job })
	})
}

// inferCrash records the crash of a worker whose relay does not report crashes, once
// the relay reports it as gone or replaced. The age of a run counts from its order.
func (st *state) inferCrash(s *Scheduler, w *worker) {
	now := clock.Monotonic()
	if w.tellsCrashes || w.info == nil || w.info.GetDraining() || w.info.GetGone() {
		return
	}
	if w.infoBoot != w.relayBoot || now-w.listedAt > s.settings.TaskLease/2 {
		return // the machine was lost, or the lease may have run out
	}
	c := &flow.Crash{Worker: w.place.Worker, WorkerBornMs: w.place.StartUnixMS}
	for _, t := range st.activeOn(w.relay) {
		r := t.job.runs[t.Ref]
		if r == nil || !r.stored || t.Place != w.place {
			continue
		}
		ageMS := (now - r.knownSince).Milliseconds()
		if r.knownSince <= st.startedAt {
			ageMS = -1
		}
		c.Runs = append(c.Runs, &flow.CrashedRun{Task: t.name(), Run: t.Run, AgeMs: ageMS})
	}
	if len(c.Runs) > 0 {
		st.applyCrash(w, c)
	}
}

// loadCrashes restores the crashes that earlier holders stored for a job.
func (j *job) loadCrashes(item store.Item) {
	record := &flow.JobCrashes{}
	if err := proto.Unmarshal(item.Value, record); err != nil {
		klog.ErrorS(err, "duty: cannot decode crash record", "job", j.graph.Spec.GetId())
		return
	}
	j.graph.LoadCrashes(record)
}

// onProbation reports whether a run of a suspect or doubtful unit may still make its worker
// crash.
func (j *job) onProbation(t *graph.Task, now time.Duration) bool {
	if !j.graph.Suspect(t.Ref) && !j.graph.Doubtful(t.Ref) {
		return false
	}
	r := j.runs[t.Ref]
	if r == nil || r.begunAt == 0 {
		return true
	}
	return now-r.begunAt < blame.Probation(suspectAges(j.graph.UnitCrashes(t.Ref), true))
}

// probation returns which workers, by relay, run a suspect on probation, and which
// jobs have one.
func (st *state) probation(now time.Duration) (relays map[string]bool, jobs map[*job]bool) {
	relays, jobs = map[string]bool{}, map[*job]bool{}
	for _, j := range st.openJobs() {
		if !j.graph.HasCrashes() {
			continue
		}
		for _, t := range j.graph.Active() {
			if j.onProbation(t, now) {
				relays[t.Place.Relay], jobs[j] = true, true
			}
		}
	}
	return relays, jobs
}

const (
	// doubtfulGap is the time between two starts of doubtful units of different jobs: if they
	// make their workers crash after the same time, these crashes are then no outage.
	doubtfulGap = 2 * outageWindow
	// maxDoubtfulWait is the time in which a unit of each job with a doubtful one may start.
	maxDoubtfulWait = 5 * doubtfulGap
)

// doubtfulStart is the last start of a doubtful unit.
type doubtfulStart struct {
	at  time.Duration // 0 if there was none
	job *graph.Job
}

// doubtfulJobs returns how many jobs have doubtful units among the requests.
func doubtfulJobs(requests []plan.Request) int {
	jobs := map[*graph.Job]bool{}
	for _, r := range requests {
		if r.Unit.Job.Doubtful(r.Unit.Tasks[0]) {
			jobs[r.Unit.Job] = true
		}
	}
	return len(jobs)
}

// startsApart reports whether a unit may start now, when units of that many jobs are
// doubtful: the others wait for a time of their own.
func (st *state) startsApart(unit graph.Unit, jobs int, now time.Duration) bool {
	if !unit.Job.Doubtful(unit.Tasks[0]) {
		return true
	}
	gap := min(doubtfulGap, maxDoubtfulWait/time.Duration(max(1, jobs)))
	if last := st.lastDoubtful; last.at > 0 && now-last.at < gap && (now != last.at || unit.Job != last.job) {
		return false
	}
	st.lastDoubtful = doubtfulStart{now, unit.Job}
	return true
}
