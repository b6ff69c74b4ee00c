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
	event := &crash{relay: w.relay, at: at}
	var runs []blame.Run[*job]
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
		event.runs = append(event.runs, crashedRun{j, ref, r.GetRun()})
		runs = append(runs, blame.Run[*job]{Job: j, Age: age, Earlier: suspectAges(j.graph.UnitCrashes(ref))})
	}
	verdict := blame.Judge(runs)
	event.explained = verdict.Explained
	outage := st.isOutage(event)
	klog.InfoS("duty: worker crashed", "worker", c.GetWorker(), "born", c.GetWorkerBornMs(), "relay", w.relay, "ago_ms", c.GetAgoMs(),
		"runs", len(c.GetRuns()), "youngest", graph.RunAges(c.GetRuns()), "explained", verdict.Explained, "outage", outage)
	for i, r := range event.runs {
		suspicion := verdict.Suspicions[i]
		if outage {
			suspicion = flow.Suspicion_OUTAGE
		}
		if !r.job.graph.AddCrash(r.ref, graph.Crash{
			Run: r.run, Worker: c.GetWorker(), WorkerStartMS: c.GetWorkerBornMs(), Age: runs[i].Age, UnixMS: atUnixMS, Suspicion: suspicion,
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

// suspectAges returns the ages of a unit at the crashes that it may have caused.
func suspectAges(crashes []graph.Crash) []time.Duration {
	var ages []time.Duration
	for _, c := range crashes {
		if c.Suspicion == flow.Suspicion_PROBABLE || c.Suspicion == flow.Suspicion_POSSIBLE {
			ages = append(ages, c.Age)
		}
	}
	return ages
}

// isOutage reports whether a crash has an outside cause, as another worker without any
// of its jobs crashed at the same time and nothing on one of the two explains why. The
// other one is then marked as an outage too.
func (st *state) isOutage(c *crash) bool {
	now := clock.Monotonic()
	st.recentCrashes = slices.DeleteFunc(st.recentCrashes, func(old *crash) bool { return now-old.at > crashMemory })
	outage := false
	for _, other := range st.recentCrashes {
		if other.relay == c.relay || (c.at-other.at).Abs() > outageWindow || c.explained && other.explained || c.sharesJob(other) {
			continue
		}
		outage = true
		for _, r := range other.runs {
			if r.job.graph.MarkOutage(r.ref, r.run) {
				r.job.crashesDirty = true
				st.markDirty(r.job)
				klog.InfoS("duty: task acquitted", "job", r.job.graph.Spec.GetId(), "step", r.ref.Step, "index", r.ref.Index, "run", r.run, "reason", "outage")
			}
		}
	}
	return outage
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

// onProbation reports whether a run of a suspect may still make its worker crash.
func (j *job) onProbation(t *graph.Task, now time.Duration) bool {
	if !j.graph.Suspect(t.Ref) {
		return false
	}
	r := j.runs[t.Ref]
	if r == nil || r.begunAt == 0 {
		return true
	}
	return now-r.begunAt < blame.Probation(suspectAges(j.graph.UnitCrashes(t.Ref)))
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
