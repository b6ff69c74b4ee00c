package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"catkinpoint/flow"
)

// Error is the class of all errors of this package.
var Error = errs.Class("relay")

// ErrOtherWorker means that another process answered at the worker's address.
var ErrOtherWorker = Error.New("another worker answered")

// ErrReplaced wraps ErrOtherWorker and means that the next process of the worker, which
// may have the same id, answered at its address: the one before has ended.
var ErrReplaced = fmt.Errorf("%w: the next process of the worker", ErrOtherWorker)

// ErrNoWorker means that nothing listens at the worker's address. The worker is
// on this machine, so its process has ended or does not listen yet.
var ErrNoWorker = Error.New("nothing listens at the worker's address")

// Call holds the fields that all calls to a worker have.
type Call struct {
	// Worker is the id of the process that must answer, and BornMS its start in Unix
	// milliseconds, or 0 if any process with that id may answer.
	Worker string
	BornMS int64
	// Epoch is the fencing token of the scheduler: a worker rejects calls with a lower
	// epoch than it has received.
	Epoch int64
	// Deadline is the end of the task lease, on the worker's clock, at which the worker
	// kills its runs; 0 leaves it unchanged.
	Deadline time.Duration
}

// RunLists is a worker's answer to a hold: the runs that are running, and the ends of
// those that have ended.
type RunLists struct {
	// Clock is the worker's clock when it answered.
	Clock time.Duration
	// Born is the start of the worker's process in Unix milliseconds, or 0 if it is not
	// known.
	Born    int64
	Running []*flow.Run
	// Ends are the ends that the worker has not been told to forget.
	Ends []*flow.End
}

// Worker calls the worker. A call reaches the process that it names or none, in which case
// the answer is NotReached with ErrReplaced or ErrOtherWorker: the next process may have the
// same id, but knows no runs, stops and numbers of ends of the one before.
type Worker interface {
	// Start renews the task lease and starts a run.
	Start(ctx context.Context, call Call, start *flow.Start) Answer
	// Stop ends a run, or makes the worker reject it for good if it does not run.
	Stop(ctx context.Context, call Call, stop *flow.Stop) Answer
	// Hold renews the task lease, makes the worker forget the ends up to the number
	// observed, and returns the lists after wait, or earlier when a run ends. It
	// returns the lists at once if there are other ends. Only the lists of a call that
	// was carried out are valid.
	Hold(ctx context.Context, call Call, observed int64, wait time.Duration) (RunLists, Answer)
}

// Heartbeat is one heartbeat of a worker.
type Heartbeat struct {
	Worker *flow.Worker
	// Clock is the worker's clock when it sent the heartbeat.
	Clock time.Duration
	// Sequence grows with each heartbeat of one worker process.
	Sequence int64
}
