package verbs

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"
)

// CLI has one field for each verb.
type CLI struct {
	Check    Check    `cmd:"" help:"Check declarations without an entry."`
	Diff     Diff     `cmd:"" help:"Show what applying declarations would change."`
	Apply    Apply    `cmd:"" help:"Publish declarations."`
	Status   Status   `cmd:"" help:"Show the published version and whether it is in force."`
	Audit    Audit    `cmd:"" help:"Show the audit trail."`
	Drain    Drain    `cmd:"" help:"Take a data centre or an endpoint out of service."`
	Return   Return   `cmd:"" help:"Return a data centre or an endpoint to service."`
	Submit   Submit   `cmd:"" help:"Submit a job and write its result."`
	Wait     Wait     `cmd:"" help:"Wait for a job and write its result."`
	Cancel   Cancel   `cmd:"" help:"Cancel a job."`
	Load     Load     `cmd:"" help:"Send jobs at a rate and report fates and latencies."`
	Serve    Serve    `cmd:"" help:"Run an entry."`
	Agent    Agent    `cmd:"" help:"Run the agent beside an endpoint."`
	Gate     Gate     `cmd:"" help:"Run a gate on the users' platform, for jobs that consist of steps."`
	Relay    Relay    `cmd:"" help:"Run the relay beside a worker on the users' platform."`
	Local    Local    `cmd:"" help:"Run an example of the whole system in this process."`
	Replay   Replay   `cmd:"" help:"Replay recorded traces through the placement policies and compare them."`
	Delays   Delays   `cmd:"" help:"Report from collected logs of gates why jobs were late."`
	Where    Where    `cmd:"" help:"Show where a job would go now and why, without submitting it."`
	Settings Settings `cmd:"" help:"Print the reference page of settings and declarations."`
}

// Output holds the standard output and the standard error of a verb. Every Run
// method can take it, the standard output alone as an io.Writer, and a context
// that is cancelled on SIGINT and SIGTERM.
type Output struct {
	Stdout io.Writer
	Stderr io.Writer
}

// entryFlag holds the address of the entry that a verb calls.
type entryFlag struct {
	Entry netip.AddrPort `env:"CATKINPOINT_ENTRY" default:"127.0.0.1:7100" placeholder:"IP:PORT" help:"HTTP address of an entry or of the balancer."`
}

// Main parses the arguments, which don't include the program's name, runs the
// verb and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	defer klog.Flush()
	code := -1
	parser, err := kong.New(&CLI{},
		kong.Name("catkinpoint"),
		kong.Description("Scheduler for multi-accelerator jobs under customer guarantees."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(c int) { code = c }),
	)
	if err != nil {
		fmt.Fprintf(stderr, "catkinpoint: %v\n", err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if code >= 0 {
		return code // the parser has printed the help
	}
	if err != nil {
		fmt.Fprintf(stderr, "catkinpoint: %v\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.BindTo(stdout, (*io.Writer)(nil))
	parsed.Bind(&Output{Stdout: stdout, Stderr: stderr})
	err = parsed.Run()
	if err != nil {
		fmt.Fprintf(stderr, "catkinpoint: %v\n", err)
	}
	return exitCodeOf(err)
}
