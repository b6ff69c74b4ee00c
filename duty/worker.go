package duty

import (
	"time"

	"golang.org/x/time/rate"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// worker is a worker as its relay reports it.
type worker struct {
	relay     string // address of the relay
	relayBoot string // of the relay's process whose reports count; differs after each start
	// bootOrder numbers the relay's processes in the order of their first reports here. Only
	// a process that has had an answer sends reports that count, so that of two such
	// processes the one with the lower number is the earlier one.
	bootOrder  map[string]int
	ignoredLog rate.Sometimes // of reports of earlier processes
	sequence   int64          // of the last report of this relay process
	place      graph.Place
	info       *flow.Worker
	lastReport time.Duration // that counted; the task lease lasts from there
	// reconciled is set once the worker has adopted the epoch of this claim, so
	// that it refuses orders of earlier ones, and has listed its runs since.
	reconciled     bool
	unstoredEnds   []unstoredChange // in the order of their numbers
	lastAppliedEnd int64            // ends up to this number were applied to their jobs
	lastStoredEnd  int64            // ends up to this number are stored
	// tellsCrashes is whether the relay reports crashes. The other fields are like
	// those of ends, for the crashes that the relay's process has seen.
	tellsCrashes bool
	// keepsStarts is whether the relay keeps the starts that it was ordered, and relayVersion
	// the version of the last orders that it had when it reported.
	keepsStarts      bool
	relayVersion     int64
	unstoredCrashes  []unstoredChange
	lastAppliedCrash int64
	lastStoredCrash  int64
	// infoBoot is the relay's process that reported info.
	infoBoot string
	// listedAt is when the worker's clock last advanced in its lists.
	listedAt    time.Duration
	listClockMS int64
	// unexpectedRuns are runs that the worker lists but should not have, by task
	// and number of the run. They are stopped.
	unexpectedRuns map[string]map[int64]bool
	// goneSince is when the relay first reported the worker as gone, or 0.
	goneSince time.Duration
	// leavesAt is when a worker that drains leaves at the earliest.
	leavesAt time.Duration
	// overRuns are runs that were taken as over on this machine, as long as a call for one
	// of them may still be carried out.
	overRuns      []*overRun
	ordersVersion int64
	ordersChanged bool // the next orders need a new version
	// pendingReply is the channel of the report that waits for new orders, or nil.
	pendingReply chan *flow.Orders
	health       health
}

// unstoredChange is the end of a run or a crash that is not acknowledged yet.
type unstoredChange struct {
	number    int64 // position in the worker's list of ends, or the relay's of crashes
	changeSeq int64 // it is stored once all changes up to this number are
}

// takeStored removes the leading changes that are stored and returns the number of the
// last of them, or 0 if there are none.
func takeStored(list *[]unstoredChange, storedSeq int64) int64 {
	last, n := int64(0), 0
	for n < len(*list) && (*list)[n].changeSeq <= storedSeq {
		last = (*list)[n].number
		n++
	}
	*list = (*list)[n:]
	return last
}
