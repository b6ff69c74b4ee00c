package delay

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Cause is the reason for which a job was late, or for which work was lost. Its
// text is printed in the report.
type Cause string

// Causes of late jobs and of lost work.
const (
	SubmissionRefused     Cause = "refused at first"
	SchedulerInformedLate Cause = "heard of late by the scheduler"
	SchedulerLost         Cause = "scheduler was lost"
	RunFailed             Cause = "run failed"
	WorkerSlow            Cause = "worker slow or standing still"
	Preempted             Cause = "stopped for other work"
	WorkerLost            Cause = "worker was lost"
	NotStarted            Cause = "start was not carried out"
	WaitedForRoom         Cause = "waited for room"
	RanOverEstimate       Cause = "ran longer than declared"
	JobCancelled          Cause = "job was cancelled"
	Other                 Cause = "other"
)

// causesByPrecedence has the causes that a late job can have. A job that has
// several is reported under the first of them.
var causesByPrecedence = []Cause{SubmissionRefused, SchedulerInformedLate, SchedulerLost, RunFailed, WorkerSlow, Preempted, WorkerLost, NotStarted, WaitedForRoom, RanOverEstimate}

// delayThreshold is the age of a job above which it counts as a cause of delay if the
// scheduler learns of the job, or places one of its units for the first time, only
// then.
const delayThreshold = 500 * time.Millisecond

// maxLineBytes is the longest log line that Read accepts.
const maxLineBytes = 1 << 20

// forwardedPrefix begins the reason of an answer that a gate got from another gate, to which
// it forwarded the call.
const forwardedPrefix = "by another gate: "

// LateJob is a job that ended after its objective or failed.
type LateJob struct {
	ID       string
	Priority int64
	Failed   bool
	// Elapsed is the time that the job took, and Objective the time in which it
	// should have ended.
	Elapsed   time.Duration
	Objective time.Duration
	Cause     Cause
}

// Report is the result of an analysis of logs.
type Report struct {
	// Ended counts the jobs that ended and were not cancelled.
	Ended int
	// Late has the jobs counted in Ended that ended late or failed, ordered by how
	// far they exceeded their objective, the worst first.
	Late []LateJob
	// LostCoreSeconds is the work that was lost with runs that did not complete, in
	// core-seconds by cause.
	LostCoreSeconds map[Cause]int64
	// times has the times of the steps of the jobs counted in Ended.
	times stepTimes
}

// jobHistory is what the lines read so far say about one job.
type jobHistory struct {
	// seen has the causes of delay that apply to the job.
	seen map[Cause]bool
	// refusals counts the lines on refused submissions, or on those with an unknown outcome,
	// without the refusals of gates that then forwarded the submission.
	refusals int
	// timesKnown counts the "duty: job known" lines of the job. Each scheduler
	// writes one when it learns of the job.
	timesKnown int
	// lastCause is the cause for which a run of the job was last stopped or ended.
	lastCause Cause
	// allRuns has the histories of the runs that have ended, and runs the last one for each
	// key, as older logs do not tell all runs apart.
	allRuns []*runHistory
	runs    map[runKey]*runHistory
	// gangSteps has the steps that were placed as a gang.
	gangSteps map[int64]bool
	// stops has the tasks that were stopped and have not ended since, with the cause.
	stops map[memberKey]Cause
	// endLine is the last "duty: job ended" line of the job, and seenAtEnd the
	// value of seen at that line. There may be an earlier one, written by a
	// scheduler that had lost its duty.
	endLine   logLine
	seenAtEnd map[Cause]bool
	// steps has the times after acceptance at which the job first took each step.
	steps map[Step]time.Duration
}

// logReader builds a report from log lines; jobs has the job histories by id.
type logReader struct {
	report Report
	jobs   map[string]*jobHistory
}

// Read reads log lines until the end of r and returns the report on them. It
// fails if r does, or if a line is longer than maxLineBytes.
func Read(r io.Reader) (*Report, error) {
	in := logReader{report: Report{LostCoreSeconds: map[Cause]int64{}, times: stepTimes{}}, jobs: map[string]*jobHistory{}}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if l, ok := parseLine(lines.Text()); ok && l.fields["job"] != "" {
			in.addLine(l)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading logs: %w", err)
	}
	for _, id := range slices.Sorted(maps.Keys(in.jobs)) {
		in.addEndedJob(id, in.jobs[id])
		in.addLostWork(in.jobs[id])
	}
	slices.SortStableFunc(in.report.Late, func(a, b LateJob) int { return cmp.Compare(b.Elapsed-b.Objective, a.Elapsed-a.Objective) })
	return &in.report, nil
}

// addLine updates the history of the job that the line names.
func (in *logReader) addLine(l logLine) {
	id := l.fields["job"]
	j := in.jobs[id]
	if j == nil {
		j = &jobHistory{
			seen: map[Cause]bool{}, steps: map[Step]time.Duration{},
			runs: map[runKey]*runHistory{}, gangSteps: map[int64]bool{}, stops: map[memberKey]Cause{},
		}
		in.jobs[id] = j
	}
	switch l.message {
	case "gate: submit":
		j.recordAnswer(l)
	case "duty: job known":
		j.timesKnown++
		j.takeStep(StepKnown, l.duration("age_ms"))
		j.seen[SchedulerInformedLate] = j.seen[SchedulerInformedLate] || j.timesKnown == 1 && l.duration("age_ms") > delayThreshold
		j.seen[SchedulerLost] = j.timesKnown > 1
	case "duty: unit placed":
		j.recordPlacement(l)
		j.takeStep(StepPlaced, l.duration("waited_ms"))
		j.seen[WaitedForRoom] = j.seen[WaitedForRoom] || l.integer("run") == 1 && l.duration("waited_ms") > delayThreshold
	case "duty: run preempted":
		j.recordStop(l, Preempted)
	case "duty: slow run stopped":
		j.recordStop(l, WorkerSlow)
	case "duty: run over":
		j.recordEnd(l)
	case "duty: job ended":
		j.steps[StepEnded] = l.duration("took_ms")
		j.endLine, j.seenAtEnd = l, maps.Clone(j.seen)
	}
}

// recordAnswer records the answer of a gate to a submission. A gate that forwards the
// submission has logged its own refusal before, which the caller does not get.
func (j *jobHistory) recordAnswer(l logLine) {
	if strings.HasPrefix(l.fields["reason"], forwardedPrefix) {
		j.refusals = max(0, j.refusals-1)
	}
	if verdict := l.fields["verdict"]; verdict == "refused" || verdict == "unknown" {
		j.refusals++
	}
	j.seen[SubmissionRefused] = j.refusals > 0
}

// takeStep records the time of a step unless the job has taken it before.
func (j *jobHistory) takeStep(step Step, after time.Duration) {
	if _, ok := j.steps[step]; !ok {
		j.steps[step] = after
	}
}

// addEndedJob adds a job to the report if it has ended and was not cancelled.
func (in *logReader) addEndedJob(id string, j *jobHistory) {
	l := j.endLine
	phase := l.fields["phase"]
	if phase == "" || phase == "CANCELLED" {
		return
	}
	in.report.Ended++
	for step, after := range j.steps {
		in.report.times.add(step, l.integer("priority"), after)
	}
	late := LateJob{
		ID: id, Priority: l.integer("priority"), Failed: phase == "FAILED",
		Elapsed: l.duration("took_ms"), Objective: l.duration("objective_ms"), Cause: RanOverEstimate,
	}
	if !late.Failed && late.Elapsed <= late.Objective {
		return
	}
	for _, c := range causesByPrecedence {
		if j.seenAtEnd[c] {
			late.Cause = c
			break
		}
	}
	in.report.Late = append(in.report.Late, late)
}

// Write prints the report: the number of late jobs by cause and priority, the
// lost work by cause, the time of each step of the jobs' path, and a line for each of
// the first maxJobs late jobs.
func (r *Report) Write(out io.Writer, maxJobs int) error {
	var err error
	printf := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(out, format, args...)
		}
	}
	printf("%d jobs ended, %d of them late by their declared time, or failed\n", r.Ended, len(r.Late))
	counts := map[Cause]map[int64]int{}
	for _, l := range r.Late {
		if counts[l.Cause] == nil {
			counts[l.Cause] = map[int64]int{}
		}
		counts[l.Cause][l.Priority]++
	}
	for _, c := range causesByPrecedence {
		for _, priority := range slices.Sorted(maps.Keys(counts[c])) {
			printf("  %-32s priority %d %5d\n", c, priority, counts[c][priority])
		}
	}
	printf("core-seconds thrown away\n")
	byLoss := slices.SortedFunc(maps.Keys(r.LostCoreSeconds), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(r.LostCoreSeconds[b], r.LostCoreSeconds[a]), cmp.Compare(a, b))
	})
	for _, c := range byLoss {
		printf("  %-32s %16d\n", c, r.LostCoreSeconds[c])
	}
	if err == nil {
		err = r.writePath(out)
	}
	for _, l := range r.Late[:min(maxJobs, len(r.Late))] {
		outcome := "ended"
		if l.Failed {
			outcome = "failed"
		}
		printf("%s %s after %v, objective %v: %s\n", l.ID, outcome, l.Elapsed, l.Objective, l.Cause)
	}
	if err != nil {
		return fmt.Errorf("writing report: %w", err)
	}
	return nil
}
