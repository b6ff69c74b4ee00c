package verbs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("catkinpoint")

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnavailable = 4
)

// exitError carries the exit code of an error.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error without its code.
func (e *exitError) Unwrap() error { return e.err }

// entryFlag names the entry that a verb calls.
type entryFlag struct {
	Entry netip.AddrPort `default:"127.0.0.1:7100" placeholder:"IP:PORT" help:"HTTP address of an entry or of the balancer."`
}

type cli struct {
	Serve  serveVerb  `cmd:"" help:"Run an entry."`
	Agent  agentVerb  `cmd:"" help:"Run the agent beside an endpoint."`
	Local  localVerb  `cmd:"" help:"Run an example of the whole system in this process."`
	Submit submitVerb `cmd:"" help:"Submit a job and write its result."`
	Wait   waitVerb   `cmd:"" help:"Wait for a job and write its result."`
	Cancel cancelVerb `cmd:"" help:"Cancel a job."`
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var verbs cli
	code := -1
	parser, err := kong.New(&verbs, kong.Name("catkinpoint"), kong.Writers(stdout, stderr), kong.Exit(func(c int) { code = c }))
	if err != nil {
		fmt.Fprintf(stderr, "catkinpoint: %v\n", err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if code >= 0 {
		return code // kong has printed the help
	}
	if err != nil {
		fmt.Fprintf(stderr, "catkinpoint: %v\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.BindTo(stdout, (*io.Writer)(nil))
	if err := parsed.Run(); err != nil {
		fmt.Fprintf(stderr, "catkinpoint: %v\n", err)
		var exit *exitError
		if errors.As(err, &exit) {
			return exit.code
		}
		return exitFailed
	}
	return exitOK
}
