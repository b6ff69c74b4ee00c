package trace

import (
	"embed"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"catkinpoint/place"

	"golang.org/x/sync/errgroup"
)

//go:embed testdata/*.ini
var recordedFiles embed.FS

// RecordedNames returns the names of the recorded traces, in the order of the
// report.
func RecordedNames() []string {
	var names []string
	for _, s := range Scenarios() {
		names = append(names, s.Name)
	}
	return names
}

// ReadRecorded returns the recorded trace of the given name.
func ReadRecorded(name string) (*Trace, error) {
	f, err := recordedFiles.Open("testdata/" + name + ".ini")
	if err != nil {
		return nil, Error.New("opening trace %s: %w", name, err)
	}
	defer func() { _ = f.Close() }()
	return Read(f)
}

// Policies returns the policies that a report compares, the baselines first.
func Policies() []place.Policy {
	return []place.Policy{place.FirstFit{}, place.FirstFit{Backfill: true}, place.New(place.Options{})}
}

// Compare replays each of the named recorded traces under each policy and returns
// the outcomes: all policies of the first trace, then those of the next.
func Compare(names []string, policies []place.Policy) ([]*Outcome, error) {
	outcomes := make([]*Outcome, len(names)*len(policies))
	var group errgroup.Group
	group.SetLimit(4)
	for i, name := range names {
		t, err := ReadRecorded(name)
		if err != nil {
			return nil, err
		}
		for k, p := range policies {
			group.Go(func() error {
				o, err := Replay(t, p)
				outcomes[i*len(policies)+k] = o
				return err
			})
		}
	}
	return outcomes, group.Wait()
}

// CompareSeeds replays the traces of every scenario with the given number of seeds,
// of which the first is its own, under each policy. It returns the mean outcome
// of each scenario and policy in the order of Compare.
func CompareSeeds(policies []place.Policy, seeds int) ([]*Outcome, error) {
	scenarios := Scenarios()
	outcomes := make([]*Outcome, len(scenarios)*len(policies)*seeds)
	var group errgroup.Group
	group.SetLimit(4)
	for i, s := range scenarios {
		for n := range seeds {
			s.Seed = scenarios[i].Seed + uint64(n)*seedStep
			t := Generate(s)
			for k, p := range policies {
				group.Go(func() error {
					o, err := Replay(t, p)
					outcomes[(i*len(policies)+k)*seeds+n] = o
					return err
				})
			}
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var means []*Outcome
	for i := 0; i < len(outcomes); i += seeds {
		means = append(means, meanOutcome(outcomes[i:i+seeds]))
	}
	return means, nil
}

// seedStep is the difference between successive seeds of one scenario. It is larger
// than the differences between the seeds of the scenarios of one deployment, so
// that these never share a seed.
const seedStep = 1000

// meanOutcome returns the outcomes as one: counts as sums, maxima as the largest
// one, all else as means.
func meanOutcome(outcomes []*Outcome) *Outcome {
	n := len(outcomes)
	sum := &Outcome{Trace: outcomes[0].Trace, Policy: outcomes[0].Policy}
	for _, o := range outcomes {
		sum.Done += o.Done
		sum.Refused += o.Refused
		sum.Failed += o.Failed
		sum.Cancelled += o.Cancelled
		sum.Stuck += o.Stuck
		sum.MeanCompletion += o.MeanCompletion / time.Duration(n)
		sum.P95Completion += o.P95Completion / time.Duration(n)
		sum.MeanBound += o.MeanBound / time.Duration(n)
		sum.Makespan += o.Makespan / time.Duration(n)
		sum.MakespanBound += o.MakespanBound / time.Duration(n)
		sum.StrandedShare += o.StrandedShare / float64(n)
		sum.MeanStranded += o.MeanStranded / float64(n)
		sum.LargeGangs += o.LargeGangs
		sum.LongWaitGangs += o.LongWaitGangs
		sum.MeanGangWait += o.MeanGangWait / time.Duration(n)
		sum.MaxGangWait = max(sum.MaxGangWait, o.MaxGangWait)
		sum.LeaveWindowWork += o.LeaveWindowWork / float64(n)
		sum.DiscardedWork += o.DiscardedWork / float64(n)
		sum.Preemptions += o.Preemptions
		sum.WithinGuarantee += o.WithinGuarantee
		sum.MaxWithinGuaranteeWait = max(sum.MaxWithinGuaranteeWait, o.MaxWithinGuaranteeWait)
	}
	return sum
}

// Report replays the recorded traces under all policies and writes the outcomes as
// a table.
func Report(w io.Writer) error {
	outcomes, err := Compare(RecordedNames(), Policies())
	if err != nil {
		return err
	}
	return WriteTable(w, outcomes)
}

// WriteTable writes the outcomes as an aligned table with times in seconds and work
// in accelerator-hours.
func WriteTable(w io.Writer, outcomes []*Outcome) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "trace\tpolicy\tdone\trefused\tfailed\tcancelled\tstuck\tmean_s\tp95_s\tbound_s\tover_bound\t"+
		"stranded\tstranded_mean\tgangs\tgang_wait_s\tgang_most_s\tgangs_over\theld\theld_most_s\tleave_work_h\tthrown_h\tpreemptions\tmakespan_s\tmakespan_bound_s\t")
	for _, o := range outcomes {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%.2f\t%.3f\t%.1f\t%d\t%s\t%s\t%d\t%d\t%s\t%.1f\t%.2f\t%d\t%s\t%s\t\n",
			o.Trace, o.Policy, o.Done, o.Refused, o.Failed, o.Cancelled, o.Stuck,
			formatSeconds(o.MeanCompletion), formatSeconds(o.P95Completion), formatSeconds(o.MeanBound), float64(o.MeanCompletion)/float64(max(1, o.MeanBound)),
			o.StrandedShare, o.MeanStranded, o.LargeGangs, formatSeconds(o.MeanGangWait), formatSeconds(o.MaxGangWait), o.LongWaitGangs, o.WithinGuarantee, formatSeconds(o.MaxWithinGuaranteeWait),
			o.LeaveWindowWork/3600, o.DiscardedWork/3600, o.Preemptions, formatSeconds(o.Makespan), formatSeconds(o.MakespanBound))
	}
	if err := tw.Flush(); err != nil {
		return Error.New("writing report: %w", err)
	}
	return nil
}

func formatSeconds(d time.Duration) string {
	return fmt.Sprintf("%.0f", d.Seconds())
}
