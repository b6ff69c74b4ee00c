package duty

import (
	"testing"
	"testing/synctest"

	"catkinpoint/graph"
	"catkinpoint/store"
)

// storeOnce stores what fits into one transaction of the holder.
func (f *countsFixture) storeOnce(records map[string][]byte, revision int64) int {
	b := f.state.collectBatch(&Claim{Epoch: 1, Revision: 1}, 0)
	for _, w := range b.txn.Writes {
		records[w.Key] = w.Value
	}
	for _, key := range b.txn.Deletes {
		delete(records, key)
	}
	f.state.applyWrite(b, writeResult{revision: revision})
	return len(b.txn.Writes)
}

// Guards against a failed run of a large gang that counts twice: its holder is lost when it
// has stored the count in some of its pages, and the end of the member that failed is not
// stored yet, so that its worker lists it to the next holder too.
func TestFailureOfPartlyStoredGangCountsOnce(t *testing.T) {
	const members = 10 * pageTasks
	synctest.Test(t, func(t *testing.T) {
		f := newCountsFixture(t, gangJob(jobID, members), 1)
		f.state.loaded = true
		f.state.choosePages()
		f.start(make([]int, members)...)
		for index := range int32(members) {
			f.job.graph.MarkStarted(graph.Ref{Index: index}, 1)
		}
		f.state.markDirty(f.job)
		records := map[string][]byte{}
		revision := int64(1)
		for ; f.storeOnce(records, revision) > 0; revision++ {
		}
		f.list(0, members-1, 1, graph.EndFailed)
		if n := f.storeOnce(records, revision); n == 0 || !f.job.dirty() {
			t.Fatalf("%d records stored, dirty %v; want a part of the pages", n, f.job.dirty())
		}
		next := &countsFixture{state: newState(0), ends: f.ends - 1}
		next.state.apply(store.Event{Item: itemOf(t, JobKey(jobID), f.job.graph.Spec, 1)})
		for key, value := range records {
			next.state.apply(store.Event{Item: store.Item{Key: key, Value: value, Revision: revision}})
		}
		next.state.finishLoad()
		next.job = next.state.jobs[jobID]
		next.addWorkers(1)
		if acknowledged := f.workers[0].lastStoredEnd; acknowledged != 0 {
			t.Fatalf("end %d is acknowledged", acknowledged)
		}
		next.list(0, members-1, 1, graph.EndFailed)
		if got := next.job.graph.MaxFailures(); got != 1 {
			t.Errorf("%d failures after one failed run", got)
		}
	})
}
