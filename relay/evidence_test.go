package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"catkinpoint/flow"
	"catkinpoint/graph"
)

// The answer to a report that was sent before the worker was replaced has the orders for
// the next process, but the time on the clock of the former. With that time, the lease of
// the next process did not end when the relay lost the scheduler.
func TestLeaseOfNextProcessIsNotTakenFromFormerClock(t *testing.T) {
	for _, id := range []string{"w1", "w2"} {
		t.Run(id, func(t *testing.T) {
			withPath(t, 1, func(t *testing.T, f *pathFixture) {
				time.Sleep(30 * time.Second)
				f.restartWorker(id, 200)
				f.send(t, f.liveHeartbeat(1), nil)
				time.Sleep(time.Second)
				f.scheduler.order(startOrder("a.0.0.0"))
				time.Sleep(time.Second)
				f.expectLeaseEnds(t)
			})
		})
	}
}

// The lease must not count on a worker's clock that was read long ago and is slow.
func TestLeaseOfIdleWorkerIsNotTakenFromOldReading(t *testing.T) {
	for _, idle := range []time.Duration{45 * time.Second, 2 * time.Minute} {
		t.Run(idle.String(), func(t *testing.T) {
			withPath(t, 0.98, func(t *testing.T, f *pathFixture) {
				time.Sleep(idle)
				f.scheduler.order(startOrder("a.0.0.0"))
				time.Sleep(100 * time.Millisecond)
				f.expectLeaseEnds(t)
			})
		})
	}
}

// A relay that was restarted reads the worker's clock from a heartbeat, as the worker
// rejects its first call. A heartbeat without a clock, or with one that runs ahead, must
// not leave the worker with a lease that does not end.
func TestLeaseIsNotTakenFromClockOfOddHeartbeat(t *testing.T) {
	for _, reading := range []time.Duration{0, time.Hour} {
		t.Run(reading.String(), func(t *testing.T) {
			withPath(t, 1, func(t *testing.T, f *pathFixture) {
				f.stopRelay()
				f.startRelay(t)
				odd := f.liveHeartbeat(2)
				odd.Clock = reading
				f.send(t, odd, nil)
				time.Sleep(time.Second)
				f.scheduler.order(startOrder("a.0.0.0"))
				time.Sleep(time.Second)
				f.expectLeaseEnds(t)
			})
		})
	}
}

// expireStart orders a start that gets no answer, and lets the permit lapse before all
// tries are made. onStart handles the calls.
func (f *pathFixture) expireStart(onStart func(call Call, s *flow.Start)) {
	f.scheduler.order(func(o *flow.Orders) { o.PermitMs = 0 })
	time.Sleep(5 * time.Second)
	f.worker.withLock(func() { f.worker.onStart = onStart })
	f.scheduler.order(func(o *flow.Orders) {
		startOrder("a.0.0.0")(o)
		o.PermitMs = 900
	})
	time.Sleep(100 * time.Millisecond)
	f.scheduler.order(func(o *flow.Orders) {
		startOrder("a.0.0.0")(o)
		o.PermitMs = 0
	})
	time.Sleep(2 * time.Second)
}

// A start without an answer stays until its outcome is known. Once the scheduler no longer
// orders it, as it counts the run as ended, it must not be sent again: the task may run
// elsewhere.
func TestStartThatIsNoLongerOrderedIsNotSentAgain(t *testing.T) {
	tests := []struct {
		name  string
		until func(t *testing.T, f *pathFixture)
		ends  func(f *pathFixture) bool // the scheduler counts the run as ended
	}{
		{"after a cut", func(_ *testing.T, f *pathFixture) {
			f.scheduler.setDown(true)
			time.Sleep(12 * time.Second)
			f.scheduler.setDown(false)
		}, func(*pathFixture) bool { return true }},
		{"after the worker counted as gone", func(t *testing.T, f *pathFixture) {
			f.worker.withLock(func() { f.worker.notListening = true })
			f.scheduler.order(func(o *flow.Orders) { startOrder("a.0.0.0")(o); o.Observed, o.PermitMs = 1, 0 }) // has the relay make a call
			time.Sleep(time.Second)
			if !f.scheduler.sawGone() {
				t.Error("the worker is not reported as gone")
			}
			f.worker.withLock(func() { f.worker.notListening = false })
			f.send(t, f.liveHeartbeat(2), nil)
		}, func(f *pathFixture) bool { return f.scheduler.sawGone() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withPath(t, 1, func(t *testing.T, f *pathFixture) {
				f.expireStart(func(Call, *flow.Start) {})
				f.worker.withLock(func() {
					if f.worker.startCalls == 0 || f.worker.startCalls >= maxStartTries {
						t.Fatalf("%d calls; want a start that is neither confirmed nor given up", f.worker.startCalls)
					}
					f.worker.onStart = nil
				})
				test.until(t, f)
				if test.ends(f) {
					f.scheduler.order(func(*flow.Orders) {})
				}
				time.Sleep(3 * time.Second)
				f.worker.withLock(func() {
					if len(f.worker.starts) != 0 && test.ends(f) {
						t.Errorf("started after the scheduler dropped the start: %v", f.worker.starts)
					}
				})
			})
		})
	}
}

// A start that was carried out without an answer is settled by the end of its run. Sent
// again after that, it would run the task anew in a next process of the worker, which
// does not know the end.
func TestStartOfEndedRunIsNotSentAgain(t *testing.T) {
	withPath(t, 1, func(t *testing.T, f *pathFixture) {
		f.expireStart(func(call Call, s *flow.Start) {
			f.worker.startRun(call, s)
			if f.worker.running[s.GetTask()] != nil {
				f.worker.endRun(s.GetTask(), graph.EndDone)
			}
		})
		var calls int
		f.worker.withLock(func() { f.worker.onStart, calls = nil, f.worker.startCalls })
		f.scheduler.order(func(o *flow.Orders) { o.PermitMs = 0 }) // no start, as the scheduler may know the end
		time.Sleep(time.Second)
		f.scheduler.order(func(o *flow.Orders) { o.Observed = 1 })
		time.Sleep(2 * time.Second)
		f.worker.withLock(func() {
			if f.worker.startCalls != calls {
				t.Errorf("the start was sent %d times after the run had ended", f.worker.startCalls-calls)
			}
		})
	})
}

// A start without an answer may be carried out by the next process of the worker under the
// same id, which knows no stops of before. The run must not count as ended before.
func TestLateStartNeverRunsInNextProcess(t *testing.T) {
	tests := []struct {
		name string
		// crashAtOnce ends the first process as the start is sent, so that it counts as
		// gone; otherwise the start is refused first, after a stop.
		crashAtOnce bool
	}{
		{"after the process before counted as gone", true},
		{"after the start was refused", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withPath(t, 1, func(t *testing.T, f *pathFixture) {
				f.worker.withLock(func() {
					f.worker.onStart = func(call Call, s *flow.Start) {
						f.worker.onStart = nil
						f.worker.notListening = test.crashAtOnce
						f.worker.refusal = graph.RefusedUnhealthy // of the tries that follow
						f.worker.startLate(8*time.Second, call, s)
					}
				})
				f.scheduler.order(startOrder("a.0.0.0"))
				time.Sleep(4 * time.Second)
				f.worker.withLock(func() { f.worker.refusal = "" })
				f.restartWorker("w1", 200)
				f.send(t, f.liveHeartbeat(1), nil)
				time.Sleep(10 * time.Second)
				f.worker.withLock(func() {
					if len(f.worker.starts) != 0 && (f.scheduler.sawGone() || f.scheduler.sawRefusals() != "") {
						t.Errorf("started %v after it was reported as gone (%v) or refused (%q)", f.worker.starts, f.scheduler.sawGone(), f.scheduler.sawRefusals())
					}
				})
			})
		})
	}
}

// The next process of a worker may be carrying out late starts of the one before. No lease
// deadline has been sent to it yet, but it must not count as gone because of that as soon
// as a call has no answer.
func TestNextProcessWithoutAnswerIsNotGoneAtOnce(t *testing.T) {
	tests := []struct {
		name     string
		answered bool
	}{
		{"no answer", false},
		{"rejects holds", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withPath(t, 1, func(t *testing.T, f *pathFixture) {
				f.worker.withLock(func() {
					f.worker.onStart = func(call Call, s *flow.Start) { f.worker.startLate(time.Second, call, s) }
				})
				f.scheduler.order(startOrder("a.0.0.0"))
				time.Sleep(100 * time.Millisecond)
				f.restartWorker("w1", 200)
				f.worker.withLock(func() {
					f.worker.stopAnswers = slices.Repeat([]Answer{NothingDone(graph.RefusedUnhealthy)}, 100)
					holds := 0
					f.worker.onHold = func(Call, int64) bool {
						if holds++; holds == 1 {
							return false // it identifies the process
						}
						f.worker.holdAnswer = NothingDone(graph.RefusedUnhealthy)
						return !test.answered
					}
				})
				f.send(t, f.liveHeartbeat(1), nil)
				time.Sleep(2 * time.Second)
				f.worker.withLock(func() {
					if len(f.worker.running) != 1 {
						t.Errorf("runs on the worker: %v; want the late start", f.worker.running)
					}
				})
				if f.scheduler.sawGone() {
					t.Error("reported as gone while it runs a late start")
				}
			})
		})
	}
}

// A worker that drains goes on for a while after it has announced its end. One call that
// it rejects or does not answer does not prove that it has ended: its runs go on.
func TestOneFailedCallAfterAnnouncedEndIsNotGone(t *testing.T) {
	tests := []struct {
		name string
		edit func(w *pathWorker)
		undo func(w *pathWorker)
	}{
		{"rejected", func(w *pathWorker) { w.holdAnswer = NothingDone(graph.RefusedUnhealthy) }, func(w *pathWorker) { w.holdAnswer = Answer{} }},
		{"status 500", func(w *pathWorker) { w.holdAnswer = Unknown(errSilent) }, func(w *pathWorker) { w.holdAnswer = Answer{} }},
		{"no answer", func(w *pathWorker) {
			w.onHold = func(Call, int64) bool { w.onHold = nil; return true }
		}, func(*pathWorker) {}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withPath(t, 1, func(t *testing.T, f *pathFixture) {
				f.scheduler.order(startOrder("a.0.0.0"))
				time.Sleep(time.Second)
				f.heartbeat(t, 2, true)
				time.Sleep(time.Second)
				if err := f.relay.HandleLeave(t.Context(), "w1"); err != nil {
					t.Fatal(err)
				}
				f.worker.withLock(func() { test.edit(f.worker) })
				time.Sleep(700 * time.Millisecond)
				f.worker.withLock(func() { test.undo(f.worker) })
				time.Sleep(time.Second)
				f.worker.withLock(func() {
					if len(f.worker.running) != 1 || f.worker.clock() > f.worker.leaseEnd {
						t.Errorf("runs on the worker: %v; want one under its lease", f.worker.running)
					}
				})
				if f.scheduler.sawGone() {
					t.Error("reported as gone while its task runs")
				}
			})
		})
	}
}

// endRunOf ends the run of a task as done, has the end reported and stored, and returns its
// number.
func (f *pathFixture) endRunOf(task string, others ...string) int64 {
	var number int64
	f.worker.withLock(func() {
		f.worker.endRun(task, graph.EndDone)
		number = f.worker.lastEnd
	})
	time.Sleep(time.Second)
	f.scheduler.order(func(o *flow.Orders) { startOrder(others...)(o); o.Observed = number })
	time.Sleep(time.Second)
	return number
}

// expectEndReported checks that a report lists the end of a task.
func (f *pathFixture) expectEndReported(t *testing.T, task string) {
	t.Helper()
	for _, end := range f.scheduler.lastReport().GetEnds() {
		if end.GetTask() == task {
			return
		}
	}
	f.worker.withLock(func() {
		t.Errorf("the end of %s is not reported, and the worker lists %v", task, f.worker.ends)
	})
}

// The numbers of ends start anew in the next process of a worker. A hold that is meant for
// the process before, with the number that it had stored, made the next one forget ends
// that nobody had stored.
func TestEndOfNextProcessIsNotForgottenUnread(t *testing.T) {
	// endEarly ends task c on the next process before its first heartbeat, and expects
	// that no start reaches it by then and that the end is reported in the end.
	endEarly := func(t *testing.T, f *pathFixture) {
		time.Sleep(300 * time.Millisecond)
		f.worker.withLock(func() {
			if len(f.worker.running) > 0 {
				t.Errorf("started on the next process before its first heartbeat: %v", f.worker.running)
			}
			f.worker.running["c.0.0.0"] = &flow.Run{Task: "c.0.0.0", Run: 1} // by a call that was late
			f.worker.endRun("c.0.0.0", graph.EndDone)
		})
		time.Sleep(700 * time.Millisecond)
		f.send(t, f.liveHeartbeat(1), nil)
		time.Sleep(time.Second)
		f.expectEndReported(t, "c.0.0.0")
		f.scheduler.order(startOrder("d.0.0.0"))
		time.Sleep(time.Second)
		f.worker.withLock(func() {
			if f.worker.running["d.0.0.0"] == nil {
				t.Errorf("not started on the next process after its first heartbeat; it runs %v", f.worker.running)
			}
		})
	}
	t.Run("hold before the first heartbeat", func(t *testing.T) {
		withPath(t, 1, func(t *testing.T, f *pathFixture) {
			f.scheduler.order(startOrder("a.0.0.0", "b.0.0.0"))
			time.Sleep(time.Second)
			observed := f.endRunOf("a.0.0.0", "b.0.0.0")
			f.restartWorker("w1", 200)
			f.scheduler.order(func(o *flow.Orders) { startOrder("b.0.0.0", "c.0.0.0")(o); o.Observed = observed })
			endEarly(t, f)
		})
	})
	t.Run("hold with a number that the former process has not received", func(t *testing.T) {
		withPath(t, 1, func(t *testing.T, f *pathFixture) {
			f.scheduler.order(startOrder("a.0.0.0", "b.0.0.0"))
			time.Sleep(time.Second)
			f.worker.withLock(func() { f.worker.endRun("a.0.0.0", graph.EndDone) })
			time.Sleep(time.Second)
			f.restartWorker("w1", 200)
			f.scheduler.order(func(o *flow.Orders) { startOrder("b.0.0.0", "c.0.0.0")(o); o.Observed = 1 })
			endEarly(t, f)
		})
	})
	t.Run("hold that is carried out late", func(t *testing.T) {
		withPath(t, 1, func(t *testing.T, f *pathFixture) {
			f.scheduler.order(startOrder("a.0.0.0", "b.0.0.0"))
			time.Sleep(time.Second)
			f.endRunOf("a.0.0.0", "b.0.0.0")
			f.worker.withLock(func() {
				f.worker.onHold = func(call Call, observed int64) bool {
					f.worker.onHold = nil
					time.AfterFunc(5*time.Second, func() {
						f.worker.withLock(func() {
							if f.worker.checkCall(late(call)) == Done() {
								f.worker.ends = slices.DeleteFunc(f.worker.ends, func(e *flow.End) bool { return e.GetNumber() <= observed })
							}
						})
					})
					return true
				}
			})
			time.Sleep(600 * time.Millisecond) // until the hold is sent
			f.restartWorker("w1", 200)
			f.send(t, f.liveHeartbeat(1), nil)
			time.Sleep(time.Second)
			f.scheduler.order(startOrder("c.0.0.0"))
			time.Sleep(2 * time.Second)
			f.worker.withLock(func() { f.worker.holdAnswer = NothingDone(graph.RefusedUnhealthy) })
			time.Sleep(time.Second)
			f.worker.withLock(func() { f.worker.endRun("c.0.0.0", graph.EndDone) })
			time.Sleep(2 * time.Second)
			f.worker.withLock(func() { f.worker.holdAnswer = Answer{} })
			time.Sleep(time.Second)
			f.expectEndReported(t, "c.0.0.0")
		})
	})
}

// A worker lists at most 500 ends in one answer. A run whose end comes after them has
// neither vanished nor been refused.
func TestRunWithEndBeyondListIsNotLost(t *testing.T) {
	tests := []struct {
		name  string
		order func(o *flow.Orders)
	}{
		{"next scheduler", func(o *flow.Orders) { o.Epoch = 6 }},
		{"ordered stop", func(o *flow.Orders) { o.Stops = []*flow.Stop{{Task: "a.0.0.0", Run: 1}} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withPath(t, 1, func(t *testing.T, f *pathFixture) {
				f.scheduler.order(startOrder("a.0.0.0"))
				time.Sleep(time.Second)
				f.worker.withLock(func() {
					for i := range maxListedEnds {
						task := fmt.Sprintf("b.0.0.%d", i)
						f.worker.running[task] = &flow.Run{Task: task, Run: 1}
						f.worker.endRun(task, graph.EndDone)
					}
					f.worker.endRun("a.0.0.0", graph.EndDone)
				})
				f.scheduler.order(test.order)
				time.Sleep(2 * time.Second)
				r := f.scheduler.lastReport()
				if got := formatRefusals(r); got != "" {
					t.Errorf("refusals: %q; want none, as the run has ended", got)
				}
				if r.GetEpoch() == 6 && r.GetListed() {
					t.Errorf("the lists of %d ends and %d runs are reported as complete without the run", len(r.GetEnds()), len(r.GetRunning()))
				}
			})
		})
	}
}
