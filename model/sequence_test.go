package model

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/graph"
)

// sequenceJob is a job of single tasks, or of a gang with one member on a worker, in a fixed
// sequence.
type sequenceJob struct {
	at, due time.Duration // due is 0 for a job that may start at once
	tasks   int32
	length  time.Duration // estimate of the tasks, which take between half and one and a half times as long
	gang    bool
	// attempts is 0 for a job with many. failures are those of the first runs of the gang.
	attempts int32
	failures []gangFailure
}

// sequences are fixed sequences of faults that have broken the rule. Worker 0 has the
// slowest clock, and gets the first tasks. Where a delay is random, several tries show the
// failure.
var sequences = []struct {
	name   string
	tries  int
	extra  faultKind
	jobs   []sequenceJob
	faults []fault
}{
	{
		// The relay reads the clock of an idle worker once, and then takes it to be as fast
		// as its own.
		name: "lease_after_idle_time", tries: 1,
		jobs:   []sequenceJob{{at: seconds(300), tasks: 3, length: seconds(40)}},
		faults: []fault{{kind: faultCut, at: seconds(302), length: seconds(11), gate: -1, seed: bothWays}},
	},
	{
		// The orders for a report of a worker's process are applied to the next one, whose
		// clock began anew.
		name: "lease_of_earlier_process", tries: 1,
		jobs: []sequenceJob{{at: seconds(42), tasks: 3, length: seconds(40)}},
		faults: []fault{
			{kind: faultCrashNew, at: seconds(40), length: seconds(0.5), gate: -1},
			{kind: faultCut, at: seconds(44), length: seconds(11), gate: -1, seed: bothWays},
		},
	},
	{
		// A late report of a relay's process of which the scheduler has not heard makes it
		// ignore those of the present one, while its answers renew the task lease.
		name: "late_report_of_earlier_relay", tries: 12,
		jobs: []sequenceJob{{at: seconds(23), tasks: 3, length: seconds(50)}},
		faults: []fault{
			{kind: faultRelayKill, at: seconds(20), length: seconds(0.2), gate: -1},
			{kind: faultLateReport, at: seconds(20.1), length: seconds(1), gate: -1, seed: bothWays},
			{kind: faultRelayKill, at: seconds(21), length: seconds(0.3), gate: -1},
		},
	},
	{
		// A hold carries the number of ends that were stored of the worker's earlier process
		// under the same id, and the present one forgets an end that nobody has stored.
		name: "ends_of_next_process", tries: 1,
		jobs: []sequenceJob{{at: seconds(1), tasks: 4, length: seconds(1)}, {at: seconds(11), tasks: 2, length: seconds(0.6)}},
		faults: []fault{
			{kind: faultMute, at: seconds(9.9), length: seconds(5), gate: -1},
			{kind: faultCrashSame, at: seconds(10), length: seconds(0.1), gate: -1},
		},
	},
	{
		// The relay keeps a start without an answer that is no longer ordered, and sends it
		// again under a new lease.
		name: "start_no_longer_ordered", tries: 3,
		jobs: []sequenceJob{{at: seconds(1), tasks: 3, length: seconds(30)}, {due: seconds(10), tasks: 1, length: seconds(20)}},
		faults: []fault{
			{kind: faultGateReads, at: seconds(8.6), length: seconds(3.9), gate: -1},
			{kind: faultWritesLost, at: seconds(9.9), length: seconds(0.6), gate: -1},
			{kind: faultGateSlow, at: seconds(10.85), length: seconds(0.5), gate: -1, seed: 80},
			{kind: faultDeaf, at: seconds(10.1), length: seconds(6.9), gate: -1},
			{kind: faultCut, at: seconds(12.3), length: seconds(11.7), gate: -1, seed: bothWays},
		},
	},
	{
		// A run of a gang counts once for each member whose failure becomes known: of one to
		// the holder, and of the other, whose relay is cut off, to the next holder.
		name: "gang_failure_under_two_holders", tries: 3,
		jobs: []sequenceJob{{at: seconds(1), tasks: 2, length: seconds(10), gang: true, attempts: 2, failures: []gangFailure{membersFail(3, 0, 1)}}},
		faults: []fault{
			{kind: faultCut, at: seconds(3), length: seconds(1.7), gate: -1, seed: holderBothWays},
			{kind: faultGateKill, at: seconds(4.5), length: seconds(6), gate: -1},
		},
	},
	{
		// A run of a gang that one member's failure has counted counts again when the failure
		// of the other is heard of, whose worker was taken as gone.
		name: "late_failure_of_counted_run", tries: 3,
		jobs: []sequenceJob{{at: seconds(1), tasks: 2, length: seconds(30), gang: true, attempts: 2, failures: []gangFailure{membersFail(7, 0, 1)}}},
		faults: []fault{
			{kind: faultDrain, at: seconds(2), length: seconds(2), gate: -1, seed: 3600},
			{kind: faultHang, at: seconds(7.5), length: seconds(1.8), gate: -1, seed: 1000},
		},
	},
	{
		// A failure that becomes known late, and to the next holder, is not counted.
		name: "late_failure_under_next_holder", tries: 3,
		jobs: []sequenceJob{{at: seconds(1), tasks: 2, length: seconds(30), gang: true, attempts: 2, failures: []gangFailure{
			membersFail(7.2, 0), membersFail(4, 0), membersFail(4, 0),
		}}},
		faults: []fault{
			{kind: faultDrain, at: seconds(2), length: seconds(2), gate: -1, seed: 3998},
			{kind: faultHang, at: seconds(7.9), length: seconds(1.9), gate: -1, seed: 1000},
			{kind: faultGateKill, at: seconds(9.6), length: seconds(6), gate: -1},
		},
	},
	{
		// Two starts are on their way to a worker that has crashed. The next process rejects
		// both, but the crash counts under one of the tasks. One real crash under that task
		// then gives up the job.
		name: "start_after_crash", tries: 3,
		jobs: []sequenceJob{{at: seconds(2.3), tasks: 2, length: seconds(10)}},
		faults: []fault{
			{kind: faultCrashNew, at: seconds(1.9), length: seconds(0.3), gate: -1},
			{kind: faultCrashNew, at: seconds(3.2), length: seconds(1), gate: -1},
		},
	},
	{
		// A run of a worker that is gone counts as ended, though a call without an answer may
		// start it in the next process under the same id.
		name: "late_start_in_next_process", tries: 3, extra: faultAcross,
		jobs: []sequenceJob{{at: seconds(10.2), tasks: 3, length: seconds(30)}},
		faults: []fault{
			{kind: faultLateStart, at: seconds(10), length: seconds(1), gate: -1},
			{kind: faultCrashSame, at: seconds(11.2), length: seconds(0.4), gate: -1},
		},
	},
}

// bothWays is the seed of a fault of the network that concerns one relay, all gates and
// both ways.
const bothWays = 48

// holderBothWays is the same with one gate.
const holderBothWays = 16

// membersFail has members of a gang fail at the same instant.
func membersFail(after float64, members ...int32) gangFailure {
	f := gangFailure{after: seconds(after), members: map[int32]time.Duration{}}
	for _, member := range members {
		f.members[member] = 0
	}
	return f
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against the return of the faults that random sequences have found.
func TestSequences(t *testing.T) {
	for _, s := range sequences {
		t.Run(s.name, func(t *testing.T) {
			tries := s.tries
			if sampled {
				tries = 1
			}
			for try := range tries {
				run := func(t *testing.T, report *bytes.Buffer) {
					runSequence(t, uint64(try), s.extra, s.jobs, s.faults, report)
				}
				if checkBubble(t, try, run); t.Failed() {
					return
				}
			}
		})
	}
}

// sequenceTime is how long a sequence goes on after its last fault or job.
const sequenceTime = 90 * time.Second

// runSequence runs the model with fixed jobs and faults.
func runSequence(t *testing.T, seed uint64, extra faultKind, jobs []sequenceJob, faults []fault, report *bytes.Buffer) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := newWorld(ctx, t, seed, map[faultKind]bool{extra: true})
	w.machines[0].slowClock()
	length := time.Duration(0)
	for _, f := range faults {
		go w.inject(ctx, f)
		length = max(length, f.at+f.length)
	}
	for i, j := range jobs {
		go w.submitSequenceJob(ctx, fmt.Sprintf("%016x", 0xa0+i), j)
	}
	sleep(ctx, length+sequenceTime)
	open := w.openJobs(ctx)
	cancel()
	time.Sleep(drainTime)
	w.report(t, faults, open, sequenceTime, report)
}

// slowClock makes the clock of the worker's process the slowest that is allowed.
func (m *machine) slowClock() {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	m.proc.rate = 0.98
}

// submitSequenceJob submits a job at its time.
func (w *world) submitSequenceJob(ctx context.Context, id string, j sequenceJob) {
	job := &flow.Job{
		Id: id, Queue: "q", Customer: "c", Service: "care", Priority: 1, MaxAttempts: 50, SlackFactor: 3, TargetMs: 1000,
		Steps: []*flow.Step{{Count: j.tasks, Cpu: 1000, MemoryMb: 1000, Accelerators: 1, EstimateMs: j.length.Milliseconds()}},
	}
	if j.attempts > 0 {
		job.MaxAttempts = j.attempts
	}
	if j.gang {
		job.Steps[0].Gang, job.Steps[0].MaxPerWorker = true, 1
	}
	if j.due > 0 {
		job.Repeats, job.PeriodMs, job.StartUnixMs = 1, 1000, time.Now().Add(j.due).UnixMilli()
	}
	sleep(ctx, j.at)
	job.AcceptedUnixMs = time.Now().UnixMilli()
	w.mu.Lock()
	w.jobs[id] = job
	w.gangFailures[gangName(id, graph.Ref{})] = j.failures
	w.mu.Unlock()
	w.storeRecord(ctx, duty.JobKey(id), job)
}

// checkBubble runs the model in a bubble of its own. If the run fails, it prints the
// report, and keeps it with the log.
func checkBubble(t *testing.T, seed int, run func(*testing.T, *bytes.Buffer)) {
	log := captureLog()
	var report bytes.Buffer
	defer func() { // synctest.Test does not return if the run fails
		if t.Failed() {
			fmt.Println(report.String())
			keepLog(t, seed, report.Bytes(), log)
		}
	}()
	synctest.Test(t, func(t *testing.T) { run(t, &report) })
}
