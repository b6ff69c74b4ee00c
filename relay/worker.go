package relay

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// Error is the class of all errors of this package.
var Error = errs.Class("relay")

// ErrOtherWorker means that another process answers at the worker's address.
var ErrOtherWorker = Error.New("another worker answered")

// ErrNoWorker means that nothing listens at the worker's address. The worker is
// on this machine, so its process has ended or does not listen yet.
var ErrNoWorker = Error.New("nothing listens at the worker's address")

// Answers of a worker to a call, beside the reasons of package graph.
const (
	// AnswerStarted means that the run is there.
	AnswerStarted = "started"
	// AnswerFenced means that the worker has seen a higher epoch.
	AnswerFenced = graph.RefusedEpoch
)

// Call is what each call to a worker carries.
type Call struct {
	// Worker is the id of the process that must answer.
	Worker string
	Epoch  int64
	// Deadline is when what runs is killed, on the worker's clock; 0 leaves it.
	Deadline time.Duration
}

// Lists is a worker's answer about its runs.
type Lists struct {
	// Clock is the worker's clock at the answer.
	Clock time.Duration
	// Born is the start of the worker's process, Unix milliseconds, or 0.
	Born    int64
	Running []*flow.Run
	Ends    []*flow.End
}

// Worker is the worker's interface. An error that is neither ErrOtherWorker nor
// ErrNoWorker leaves open whether the call was or will be carried out.
type Worker interface {
	// Start starts a run and returns AnswerStarted, or the reason of a refusal.
	Start(ctx context.Context, call Call, start *flow.Start) (string, error)
	// Stop ends a run, or makes the worker reject it for good.
	Stop(ctx context.Context, call Call, stop *flow.Stop) (string, error)
	// Hold renews the task lease, forgets ends up to observed, and returns the
	// lists, after wait or when a run ends.
	Hold(ctx context.Context, call Call, observed int64, wait time.Duration) (Lists, error)
}

// Beat is one heartbeat of a worker.
type Beat struct {
	Worker *flow.Worker
	// Clock is the worker's clock when it sent the heartbeat.
	Clock time.Duration
	// Sequence grows with each heartbeat of one process.
	Sequence int64
}
