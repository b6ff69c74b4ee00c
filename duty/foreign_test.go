package duty

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// FuzzForeignRecord applies a record of another writer to a scheduler whose worker runs
// a task. The run must go on, and the worker be known as it is.
func FuzzForeignRecord(f *testing.F) {
	const other = "00000000000000bb"
	for _, key := range []string{
		JobKey(jobID), ProgressKey(jobID), CrashKey(jobID), JobKey(other), ProgressKey(other), CancelKey(other), CrashKey(other),
		GateKey("g"), claimKey, epochKey, KeyPrefix, KeyPrefix + "other", "servers/w1", "",
	} {
		f.Add(key, []byte("\xff\x00"), false)
		f.Add(key, []byte{}, false)
		f.Add(key, []byte("\x0a\x1000000000000000aa"), key != JobKey(jobID))
	}
	f.Fuzz(func(t *testing.T, key string, value []byte, deleted bool) {
		if key == CancelKey(jobID) || key == JobKey(jobID) && deleted {
			t.Skip("the record cancels or removes the job")
		}
		if kind, id := KindOf(key); kind == KindJob && proto.Unmarshal(value, &flow.Job{}) == nil && id != jobID {
			t.Skip("the record may be a job that runs on the worker too")
		}
		synctest.Test(t, func(t *testing.T) {
			b := newHarness(t, fakekv.New(), 1)
			_, sequence := startJob(t, b, simpleJob(jobID, 1))
			job := graph.New(simpleJob(jobID, 1), nil)
			assignAll(job, false)
			running := runningReport(job, sequence, 1)
			b.collectOrders(running)
			b.scheduler.Apply([]store.Event{{Item: store.Item{Key: key, Value: value, Revision: 1 << 40}, Deleted: deleted}})
			time.Sleep(time.Second)
			if orders := b.collectOrders(running)[0]; len(orders.GetStops()) != 0 || len(orders.GetStarts()) != 0 || orders.GetWorker() != "w1" {
				t.Errorf("orders after the record %q: %v; want none for w1", key, orders)
			}
			if p := b.storedProgress(jobID); p.GetPhase() != flow.Phase_RUNNING || p.GetTasks()[0].GetWorker() != "w1" || p.GetTasks()[0].GetRun() != 1 {
				t.Errorf("progress after the record %q: %v; want run 1 on w1", key, p)
			}
		})
	})
}
