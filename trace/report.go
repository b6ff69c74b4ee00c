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
var files embed.FS

// Names are the recorded traces in the order of the report.
func Names() []string {
	var names []string
	for _, s := range Scenarios() {
		names = append(names, s.Name)
	}
	return names
}

// Recorded returns a recorded trace by its name.
func Recorded(name string) (*Trace, error) {
	f, err := files.Open("testdata/" + name + ".ini")
	if err != nil {
		return nil, Error.New("open of trace %s: %w", name, err)
	}
	defer func() { _ = f.Close() }()
	return Read(f)
}

// Policies are the policies that a report compares, the baselines first.
func Policies() []place.Policy {
	return []place.Policy{place.FirstFit{}, place.FirstFit{Backfill: true}, place.New(place.Options{})}
}

// Compare replays each trace under each policy and returns the outcomes in
// the order of the traces and policies.
func Compare(names []string, policies []place.Policy) ([]*Outcome, error) {
	outcomes := make([]*Outcome, len(names)*len(policies))
	var g errgroup.Group
	g.SetLimit(4)
	for i, name := range names {
		t, err := Recorded(name)
		if err != nil {
			return nil, err
		}
		for k, p := range policies {
			g.Go(func() error {
				o, err := Replay(t, p)
				outcomes[i*len(policies)+k] = o
				return err
			})
		}
	}
	return outcomes, g.Wait()
}

// Average replays every scenario with further seeds under each policy and
// returns the mean outcomes in the order of the scenarios and policies.
func Average(policies []place.Policy, seeds int) ([]*Outcome, error) {
	scenarios := Scenarios()
	outcomes := make([]*Outcome, len(scenarios)*len(policies)*seeds)
	var g errgroup.Group
	g.SetLimit(4)
	for i, s := range scenarios {
		for n := range seeds {
			s.Seed = scenarios[i].Seed + uint64(n)*seedStep
			t := Generate(s)
			for k, p := range policies {
				g.Go(func() error {
					o, err := Replay(t, p)
					outcomes[(i*len(policies)+k)*seeds+n] = o
					return err
				})
			}
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	var means []*Outcome
	for i := 0; i < len(outcomes); i += seeds {
		means = append(means, average(outcomes[i:i+seeds]))
	}
	return means, nil
}

// seedStep keeps the seeds of the scenarios apart.
const seedStep = 1000

// average returns the mean of outcomes, with the largest of their maxima.
func average(all []*Outcome) *Outcome {
	n := len(all)
	sum := &Outcome{Trace: all[0].Trace, Policy: all[0].Policy}
	for _, o := range all {
		sum.Done += o.Done
		sum.Refused += o.Refused
		sum.Failed += o.Failed
		sum.Cancelled += o.Cancelled
		sum.Stuck += o.Stuck
		sum.Mean += o.Mean / time.Duration(n)
		sum.P95 += o.P95 / time.Duration(n)
		sum.Bound += o.Bound / time.Duration(n)
		sum.Makespan += o.Makespan / time.Duration(n)
		sum.MakespanBound += o.MakespanBound / time.Duration(n)
		sum.Stranded += o.Stranded / float64(n)
		sum.StrandedMean += o.StrandedMean / float64(n)
		sum.Gangs += o.Gangs
		sum.GangsOver += o.GangsOver
		sum.GangMean += o.GangMean / time.Duration(n)
		sum.GangMost = max(sum.GangMost, o.GangMost)
		sum.LeaveWork += o.LeaveWork / float64(n)
		sum.Thrown += o.Thrown / float64(n)
		sum.Preemptions += o.Preemptions
		sum.Held += o.Held
		sum.HeldMost = max(sum.HeldMost, o.HeldMost)
	}
	return sum
}

// Report replays the recorded traces under all policies and writes a table.
func Report(w io.Writer) error {
	outcomes, err := Compare(Names(), Policies())
	if err != nil {
		return err
	}
	return Table(w, outcomes)
}

// Table writes outcomes as an aligned table; times are in seconds and work in
// accelerator-hours.
func Table(w io.Writer, outcomes []*Outcome) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "trace\tpolicy\tdone\trefused\tfailed\tcancelled\tstuck\tmean_s\tp95_s\tbound_s\tover_bound\t"+
		"stranded\tstranded_mean\tgangs\tgang_wait_s\tgang_most_s\tgangs_over\theld\theld_most_s\tleave_work_h\tthrown_h\tpreemptions\tmakespan_s\tmakespan_bound_s\t")
	for _, o := range outcomes {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%.2f\t%.3f\t%.1f\t%d\t%s\t%s\t%d\t%d\t%s\t%.1f\t%.2f\t%d\t%s\t%s\t\n",
			o.Trace, o.Policy, o.Done, o.Refused, o.Failed, o.Cancelled, o.Stuck,
			seconds(o.Mean), seconds(o.P95), seconds(o.Bound), float64(o.Mean)/float64(max(1, o.Bound)),
			o.Stranded, o.StrandedMean, o.Gangs, seconds(o.GangMean), seconds(o.GangMost), o.GangsOver, o.Held, seconds(o.HeldMost),
			o.LeaveWork/3600, o.Thrown/3600, o.Preemptions, seconds(o.Makespan), seconds(o.MakespanBound))
	}
	if err := tw.Flush(); err != nil {
		return Error.New("write of report: %w", err)
	}
	return nil
}

func seconds(d time.Duration) string {
	return fmt.Sprintf("%.0f", d.Seconds())
}
