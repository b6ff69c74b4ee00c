package verbs

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"catkinpoint/flow"
	"catkinpoint/gate"
	"catkinpoint/link"
)

// whereTimeout bounds the questions to the gates.
const whereTimeout = 5 * time.Second

// Where is the verb where: it shows where a job would go now and why, or why it would wait
// or be refused, without submitting it.
type Where struct {
	Gate     netip.AddrPort `required:"" placeholder:"IP:PORT" help:"Address of any gate for other processes (rpc_address)."`
	Job      string         `xor:"job" help:"Id of a job that was accepted."`
	File     string         `arg:"" optional:"" xor:"job" type:"existingfile" help:"File with a job as JSON: steps with count, cpu, memory_mb, accelerators, estimate_ms and so on."`
	Queue    string         `help:"Name of the queue of the job in the file."`
	Customer string         `help:"Name of its customer."`
	Output   string         `enum:"text,json" default:"text" help:"Form of the result: text or json."`
}

// Run asks the gate that holds the duty and prints its answer.
func (v *Where) Run(ctx context.Context, out io.Writer) error {
	request, err := v.request()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	answer, err := askWhere(ctx, v.Gate, request)
	if err == nil && answer.GetHolder() != "" {
		var holder netip.AddrPort
		if holder, err = netip.ParseAddrPort(answer.GetHolder()); err != nil {
			return fmt.Errorf("reading the holder's address: %w", err)
		}
		answer, err = askWhere(ctx, holder, request)
	}
	if err != nil {
		return err
	}
	if v.Output == "json" {
		text, err := protojson.MarshalOptions{UseProtoNames: true, Multiline: true, EmitUnpopulated: true}.Marshal(answer)
		if err != nil {
			return fmt.Errorf("encoding answer: %w", err)
		}
		_, err = fmt.Fprintf(out, "%s\n", text)
		return err
	}
	return printWhere(out, answer)
}

// request returns the question that the flags and the file ask.
func (v *Where) request() (*flow.WhereRequest, error) {
	if v.Job != "" {
		return &flow.WhereRequest{Id: v.Job}, nil
	}
	if v.File == "" || v.Queue == "" {
		return nil, fmt.Errorf("name a job with --job, or a file and its --queue")
	}
	text, err := os.ReadFile(v.File)
	if err != nil {
		return nil, fmt.Errorf("reading job: %w", err)
	}
	job := &flow.Job{}
	if err := protojson.Unmarshal(text, job); err != nil {
		return nil, fmt.Errorf("decoding job: %w", err)
	}
	job.Queue, job.Customer = v.Queue, v.Customer
	return &flow.WhereRequest{Job: job}, nil
}

func askWhere(ctx context.Context, addr netip.AddrPort, request *flow.WhereRequest) (*flow.WhereAnswer, error) {
	conn, err := link.Dial(ctx, nil, addr)
	if err != nil {
		return nil, fmt.Errorf("dialing gate: %w", err)
	}
	defer conn.Close()
	answer := &flow.WhereAnswer{}
	if err := conn.Call(ctx, gate.RPCName+".Where", request, answer); err != nil {
		return nil, fmt.Errorf("asking gate %s: %w", addr, err)
	}
	return answer, nil
}

// printWhere prints one line for all units of a step with the same outcome, and below it
// what keeps the first of them from workers.
func printWhere(out io.Writer, answer *flow.WhereAnswer) error {
	if answer.GetRefusal() != "" {
		_, err := fmt.Fprintf(out, "refused, return after %s: %s\n", milliseconds(answer.GetRetryAfterMs()), answer.GetRefusal())
		return err
	}
	fmt.Fprintf(out, "phase %s, %d tasks run, %d units are ready\n", strings.ToLower(answer.GetPhase().String()), answer.GetRunning(), len(answer.GetUnits()))
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for units := answer.GetUnits(); len(units) > 0; {
		first := units[0]
		n := slices.IndexFunc(units, func(u *flow.WhereUnit) bool {
			return u.GetStep() != first.GetStep() || u.GetOutcome() != first.GetOutcome()
		})
		if n < 0 {
			n = len(units)
		}
		printWhereUnits(table, units[:n])
		units = units[n:]
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("printing answer: %w", err)
	}
	return nil
}

func printWhereUnits(table io.Writer, units []*flow.WhereUnit) {
	first := units[0]
	tasks, workers, stops := int32(0), map[string]bool{}, 0
	for _, u := range units {
		tasks += u.GetTasks()
		stops += len(u.GetStops())
		for _, w := range u.GetWorkers() {
			workers[w] = true
		}
	}
	fmt.Fprintf(table, "step %d\t%d tasks\t%s\tin %s\ton %d workers: %s\n", first.GetStep(), tasks, first.GetOutcome(),
		milliseconds(first.GetExpectedInMs()), len(workers), shorten(first.GetWorkers()))
	if first.GetAhead() > 0 {
		fmt.Fprintf(table, "\t\t%d units come first\t\t\n", first.GetAhead())
	}
	if stops > 0 {
		fmt.Fprintf(table, "\t\t%d runs are stopped for it\t\t\n", stops)
	}
	for _, o := range first.GetObstacles() {
		fmt.Fprintf(table, "\t\t%d workers: %s\t\t\n", o.GetWorkers(), o.GetReason())
	}
}

// shorten joins the first few of some names.
func shorten(names []string) string {
	const most = 4
	if more := len(names) - most; more > 0 {
		return strings.Join(names[:most], " ") + fmt.Sprintf(" and %d more", more)
	}
	return strings.Join(names, " ")
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
