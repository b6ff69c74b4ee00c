package relay

import (
	"testing"
	"time"

	"catkinpoint/flow"
)

// Guards against a second run of a task that is done: until its first heartbeat, the next
// process of the worker under the same id gets the calls for the last one. A hold with the
// ends that were stored of the last one made it forget its own, which count from 1 again.
func TestEndsOfNextProcessAreNotForgotten(t *testing.T) {
	withRelay(t, func(t *testing.T, f *relayFixture) {
		f.scheduler.setOrders(orderStart)
		time.Sleep(time.Second)
		f.worker.withLock(func() { f.worker.endRun("a.0.0.0", "done") })
		time.Sleep(time.Second)
		f.scheduler.setOrders(func(o *flow.Orders) { o.Observed = 1 })
		time.Sleep(time.Second)
		f.worker.withLock(func() {
			next := newFakeWorker()
			f.worker.born, f.worker.start, f.worker.epoch, f.worker.deadline = 200, time.Now(), 0, 0
			f.worker.running, f.worker.rejectedUpTo, f.worker.ends, f.worker.lastEnd = next.running, next.rejectedUpTo, nil, 0
		})
		f.scheduler.setOrders(func(o *flow.Orders) {
			o.Observed, o.Starts = 1, []*flow.Start{{Task: "b.0.0.0", Run: 1, Spec: "x"}}
		})
		time.Sleep(300 * time.Millisecond)
		f.worker.withLock(func() {
			if f.worker.running["b.0.0.0"] != nil {
				f.worker.endRun("b.0.0.0", "done")
			}
		})
		time.Sleep(time.Second)
		f.worker.withLock(func() {
			if f.worker.lastEnd == 1 && len(f.worker.ends) == 0 {
				t.Errorf("the next process ran b.0.0.0 and has forgotten its end; last report: %v", f.scheduler.lastReport())
			}
		})
	})
}
