package duty

import (
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// worker is a worker as its relay reports it.
type worker struct {
	relay        string          // address of the relay
	relayBoot    string          // differs after each start of the relay
	earlierBoots map[string]bool // values of relayBoot of earlier processes
	sequence     int64           // of the last report of this relay process
	place        graph.Place
	info         *flow.Worker
	lastReport   time.Duration
	// reconciled is set once the worker has adopted the epoch of this claim, so
	// that it refuses orders of earlier ones, and has listed its runs since.
	reconciled     bool
	unstoredEnds   []unstoredEnd // in the order of their numbers
	lastAppliedEnd int64         // ends up to this number were applied to their jobs
	lastStoredEnd  int64         // ends up to this number are stored
	// lastAppliedCrash is the number of the last crash of the relay's process that was
	// applied.
	lastAppliedCrash int64
	// unexpectedRuns are runs that the worker lists but should not have, by task
	// and number of the run. They are stopped.
	unexpectedRuns map[string]map[int64]bool
	ordersVersion  int64
	ordersChanged  bool // the next orders need a new version
	// pendingReply is the channel of the report that waits for new orders, or nil.
	pendingReply chan *flow.Orders
	health       health
}

// unstoredEnd is the end of a run that is not acknowledged to its worker yet.
type unstoredEnd struct {
	number    int64 // position in the worker's list of ends
	changeSeq int64 // the end is stored once all changes up to this number are
}
