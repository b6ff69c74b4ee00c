package relay

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
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

// Guards against a task lease that outlives its scheduler: an answer to a report that was
// sent before a new process became the worker counts on the clock of the last process,
// which may be far ahead of the new one's.
func TestLeaseOfNextProcessCountsOnItsClock(t *testing.T) {
	const lease = 9 * time.Second
	for _, id := range []string{"w1", "w2"} {
		t.Run(id, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				worker, replaced := newFakeWorker(), make(chan struct{})
				f := &relayFixture{worker: worker}
				f.relay = New(Options{
					Name: "r", Worker: worker,
					FindScheduler: func(context.Context) (netip.AddrPort, error) { return netip.MustParseAddrPort("127.0.0.1:1"), nil },
					// As the scheduler does, it answers a report that waits as soon as the next
					// one arrives, for the worker in that one. Later reports get no answer.
					SendReport: func(ctx context.Context, _ netip.AddrPort, r *flow.Report) (*flow.Orders, error) {
						orders := &flow.Orders{Version: 1, Epoch: 5, LeaseMs: lease.Milliseconds(), PermitMs: 4000, Worker: r.GetWorker().GetId(), WorkerBornMs: r.GetWorker().GetBornMs()}
						if r.GetWorker().GetBornMs() == 200 {
							<-ctx.Done()
							return nil, ctx.Err()
						}
						select {
						case <-replaced:
							orders.Worker, orders.WorkerBornMs = id, 200
						case <-time.After(700 * time.Millisecond):
						}
						return orders, nil
					},
				})
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = f.relay.Run(ctx)
				}()
				f.heartbeat(t, 1, false)
				time.Sleep(time.Minute)
				worker.withLock(func() {
					worker.id, worker.born, worker.start, worker.epoch, worker.deadline = id, 200, time.Now(), 0, 0
					worker.running = map[string]*flow.Run{"a.0.0.0": {Task: "a.0.0.0", Run: 1}}
				})
				next := Heartbeat{Worker: &flow.Worker{Service: "care", Id: id, BornMs: 200}, Clock: time.Second, Sequence: 1}
				if err := f.relay.HandleHeartbeat(t.Context(), next); err != nil {
					t.Fatal(err)
				}
				close(replaced)
				time.Sleep(time.Second)
				worker.withLock(func() {
					if now := time.Since(worker.start) + time.Second; worker.deadline > now+lease {
						t.Errorf("deadline %v when the clock of the new process is %v; want at most %v later", worker.deadline, now, lease)
					}
				})
				cancel()
				<-done
				time.Sleep(5 * time.Second) // until pending calls have ended
			})
		})
	}
}
