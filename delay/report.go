package delay

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Cause is why a job was late, or why work was thrown away.
type Cause string

// Causes, in the order in which they are looked for.
const (
	Refused   Cause = "refused at first"
	HeardLate Cause = "heard of late by the scheduler"
	Handover  Cause = "scheduler was lost"
	Failed    Cause = "run failed"
	Slow      Cause = "worker slow or standing still"
	Preempted Cause = "stopped for other work"
	Lost      Cause = "worker was lost"
	NotBegun  Cause = "start was not carried out"
	Room      Cause = "waited for room"
	Long      Cause = "ran longer than declared"
	Cancelled Cause = "job was cancelled"
	Other     Cause = "other"
)

var causes = []Cause{Refused, HeardLate, Handover, Failed, Slow, Preempted, Lost, NotBegun, Room, Long}

// noticed is the delay above which a wait is named as a cause.
const noticed = 500 * time.Millisecond

// maxLine bounds a line of a log, bytes.
const maxLine = 1 << 20

// Late is a job that ended after its objective or failed.
type Late struct {
	ID        string
	Priority  int64
	Failed    bool
	Took      time.Duration
	Objective time.Duration
	Cause     Cause
}

// Report is what the logs say.
type Report struct {
	// Ended counts the jobs that ended and were not cancelled.
	Ended int
	// Late has those that ended late or failed, the latest first.
	Late []Late
	// Thrown has the core-seconds that were thrown away.
	Thrown map[Cause]int64
}

// job is what was seen of one job so far.
type job struct {
	seen  map[Cause]bool
	known int
	// last is the last cause for which a run of the job ended, for the members
	// of a gang that end with it.
	last Cause
	// end is the last line of its end, and atEnd what had been seen by then. A
	// holder that lost the duty may have written one before.
	end   line
	atEnd map[Cause]bool
}

type reader struct {
	report Report
	jobs   map[string]*job
}

// Read reads logs until their end.
func Read(r io.Reader) (*Report, error) {
	in := reader{report: Report{Thrown: map[Cause]int64{}}, jobs: map[string]*job{}}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if l, ok := parse(lines.Text()); ok && l.fields["job"] != "" {
			in.take(l)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading logs: %w", err)
	}
	for _, id := range slices.Sorted(maps.Keys(in.jobs)) {
		in.ended(id, in.jobs[id])
	}
	slices.SortStableFunc(in.report.Late, func(a, b Late) int { return cmp.Compare(b.Took-b.Objective, a.Took-a.Objective) })
	return &in.report, nil
}

func (in *reader) take(l line) {
	id := l.fields["job"]
	j := in.jobs[id]
	if j == nil {
		j = &job{seen: map[Cause]bool{}}
		in.jobs[id] = j
	}
	stopped := func(c Cause) { j.seen[c], j.last = true, c }
	switch l.message {
	case "gate: submit":
		if verdict := l.fields["verdict"]; verdict == "refused" || verdict == "unknown" {
			j.seen[Refused] = true
		}
	case "duty: job known":
		j.known++
		j.seen[HeardLate] = j.seen[HeardLate] || j.known == 1 && l.duration("age_ms") > noticed
		j.seen[Handover] = j.known > 1
	case "duty: unit placed":
		j.seen[Room] = j.seen[Room] || l.number("run") == 1 && l.duration("waited_ms") > noticed
	case "duty: run preempted":
		stopped(Preempted)
	case "duty: slow run stopped":
		stopped(Slow)
	case "duty: run over":
		in.over(j, l)
	case "duty: job ended":
		j.end, j.atEnd = l, maps.Clone(j.seen)
	}
}

// over takes the end of a run.
func (in *reader) over(j *job, l line) {
	cause := j.last
	switch how := l.fields["how"]; how {
	case "done":
		return
	case "failed":
		cause = Failed
	case "gone", "replaced", "unreachable", "lapsed":
		cause = Lost
	case "stopped", "broken":
	default: // alone, never_started and refusals
		cause = NotBegun
	}
	if l.fields["cancelled"] == "true" {
		cause = Cancelled
	}
	if cause == "" {
		cause = Other
	}
	j.seen[cause], j.last = true, cause
	in.report.Thrown[cause] += l.number("lost_core_s")
}

// ended counts a job that has ended.
func (in *reader) ended(id string, j *job) {
	l := j.end
	phase := l.fields["phase"]
	if phase == "" || phase == "CANCELLED" {
		return
	}
	in.report.Ended++
	late := Late{
		ID: id, Priority: l.number("priority"), Failed: phase == "FAILED",
		Took: l.duration("took_ms"), Objective: l.duration("objective_ms"), Cause: Long,
	}
	if !late.Failed && late.Took <= late.Objective {
		return
	}
	for _, c := range causes {
		if j.atEnd[c] {
			late.Cause = c
			break
		}
	}
	in.report.Late = append(in.report.Late, late)
}

// Write prints the report: late jobs by cause and priority, work thrown away by
// cause, and up to so many late jobs.
func (r *Report) Write(out io.Writer, most int) error {
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
	for _, c := range causes {
		for _, priority := range slices.Sorted(maps.Keys(counts[c])) {
			printf("  %-32s priority %d %5d\n", c, priority, counts[c][priority])
		}
	}
	printf("core-seconds thrown away\n")
	byLoss := slices.SortedFunc(maps.Keys(r.Thrown), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(r.Thrown[b], r.Thrown[a]), cmp.Compare(a, b))
	})
	for _, c := range byLoss {
		printf("  %-32s %16d\n", c, r.Thrown[c])
	}
	for _, l := range r.Late[:min(most, len(r.Late))] {
		end := "ended"
		if l.Failed {
			end = "failed"
		}
		printf("%s %s after %v, objective %v: %s\n", l.ID, end, l.Took, l.Objective, l.Cause)
	}
	if err != nil {
		return fmt.Errorf("writing report: %w", err)
	}
	return nil
}
