package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/clock"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/stand/fakekv"
)

func everyTask(graph.Ref) bool { return true }

func firstTask(ref graph.Ref) bool { return ref.Index == 0 }

// jobNumber returns the id of a job.
func jobNumber(n int) string { return fmt.Sprintf("00000000000001%02x", n) }

// gangJob returns a job with one gang.
func gangJob(id string, tasks int32) *flow.Job {
	spec := simpleJob(id, tasks)
	spec.Steps[0].Gang = true
	return spec
}

// A task that makes each worker crash which starts it went from worker to worker until
// the end of the day: no end of its runs was listed, so none counted.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	tests := []struct {
		name       string
		spec       *flow.Job
		crashes    func(graph.Ref) bool
		age        time.Duration
		holders    int // changes of the holder, one every two seconds
		oldRelays  bool
		maxCrashes int
	}{
		{name: "at its start", spec: simpleJob(jobID, 1), crashes: everyTask, maxCrashes: 2},
		{name: "after some time", spec: simpleJob(jobID, 1), crashes: everyTask, age: 3 * time.Second, maxCrashes: 3},
		{name: "one task of several", spec: simpleJob(jobID, 9), crashes: firstTask, maxCrashes: 2},
		{name: "each of several tasks", spec: simpleJob(jobID, 9), crashes: everyTask, maxCrashes: 4},
		{name: "a member of a gang", spec: gangJob(jobID, 12), crashes: firstTask, maxCrashes: 2},
		{name: "all members of a gang", spec: gangJob(jobID, 12), crashes: everyTask, maxCrashes: 4},
		{name: "with changes of the holder", spec: simpleJob(jobID, 1), crashes: everyTask, holders: 8, maxCrashes: 3},
		{name: "a gang, with changes of the holder", spec: gangJob(jobID, 12), crashes: firstTask, holders: 8, maxCrashes: 3},
		{name: "with relays that do not report crashes", spec: simpleJob(jobID, 1), crashes: everyTask, oldRelays: true, maxCrashes: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6)
				for _, w := range f.workers {
					w.oldRelay = test.oldRelays
				}
				j := f.submit(test.spec, 5*time.Second)
				j.crashes, j.crashAge = test.crashes, test.age
				for range test.holders {
					f.run(2 * time.Second)
					f.changeHolder()
				}
				f.run(40 * time.Second)
				if phase := f.state.jobs[jobID].graph.Phase; phase != flow.Phase_FAILED || f.crashes > test.maxCrashes {
					t.Errorf("phase %v after %d crashes; want FAILED after at most %d", phase, f.crashes, test.maxCrashes)
				}
			})
		})
	}
}

// Three workers that crash one after the other, each under another member of a gang, say
// little about any of its tasks. The gang was given up.
func TestGangOutlastsCrashesUnderDifferentMembers(t *testing.T) {
	for _, holders := range []bool{false, true} {
		t.Run(fmt.Sprint("changes of the holder: ", holders), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const members = 3
				f := newFleet(t, 8)
				f.submit(wholeWorker(gangJob(jobID, members)), 9*time.Second)
				for n := range int32(members) {
					f.run(6 * time.Second)
					for _, w := range f.workers {
						if w.running[graph.TaskName(jobID, graph.Ref{Index: n})] != nil {
							f.crash(w, clock.Monotonic())
						}
					}
					if holders {
						f.run(time.Second)
						f.changeHolder()
					}
				}
				f.run(60 * time.Second)
				if g := f.state.jobs[jobID].graph; f.crashes != members || g.Phase != flow.Phase_COMPLETED {
					t.Errorf("%d crashes, phase %v, crashes %v; want the gang completed after %d", f.crashes, g.Phase, g.CrashRecord(), members)
				}
			})
		})
	}
}

// wholeWorker makes each task of a job take all accelerators of a worker.
func wholeWorker(spec *flow.Job) *flow.Job {
	spec.Steps[0].Accelerators = 8
	return spec
}

// Tasks of several jobs that make their workers crash at the same time looked like an outage
// each time, which counts against nobody, and were started without end.
func TestTasksThatCrashWorkersTogetherAreGivenUp(t *testing.T) {
	const maxCrashes = 5 // three, and two of the starts after them that are allowed
	tests := []struct {
		age     time.Duration // of a run when its worker crashes
		jobs    int
		tasks   int32
		whole   bool // each task takes a whole worker
		holders int  // changes of the holder, one every four seconds
	}{
		{age: 1500 * time.Millisecond, jobs: 3, tasks: 1, whole: true},
		{age: 700 * time.Millisecond, jobs: 2, tasks: 1},
		{age: 700 * time.Millisecond, jobs: 5, tasks: 1, whole: true, holders: 12},
		{age: 700 * time.Millisecond, jobs: 5, tasks: 2},
		{age: 1500 * time.Millisecond, jobs: 2, tasks: 2, holders: 12},
		{age: 1500 * time.Millisecond, jobs: 5, tasks: 2, whole: true},
		{age: 1500 * time.Millisecond, jobs: 5, tasks: 2, holders: 12},
		{age: 4 * time.Second, jobs: 2, tasks: 1, whole: true, holders: 12},
		{age: 4 * time.Second, jobs: 3, tasks: 2},
		{age: 4 * time.Second, jobs: 5, tasks: 1},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 8)
				var deadly, innocent []*fleetJob
				for n := range test.jobs {
					spec := simpleJob(jobNumber(n), test.tasks)
					if test.whole {
						spec = wholeWorker(spec)
					}
					j := f.submit(spec, 8*time.Second)
					j.crashes, j.crashAge = everyTask, test.age
					deadly = append(deadly, j)
				}
				for n := range 4 {
					innocent = append(innocent, f.submit(simpleJob(jobNumber(40+n), 3), 4*time.Second))
				}
				for range test.holders {
					f.run(4 * time.Second)
					f.changeHolder()
				}
				f.run(60 * time.Second)
				for _, j := range deadly {
					g := f.state.jobs[j.spec.GetId()].graph
					if g.Phase != flow.Phase_FAILED {
						t.Errorf("job %s that makes workers crash: phase %v", j.spec.GetId(), g.Phase)
					}
					for index := range test.tasks {
						if crashes := len(g.UnitCrashes(graph.Ref{Index: index})); crashes > maxCrashes {
							t.Errorf("%d workers crashed under task %d of job %s: %v", crashes, index, j.spec.GetId(), g.CrashRecord())
						}
					}
				}
				for _, j := range innocent {
					if g := f.state.jobs[j.spec.GetId()].graph; g.Phase != flow.Phase_COMPLETED {
						t.Errorf("job %s beside them: phase %v, crashes %v", j.spec.GetId(), g.Phase, g.CrashRecord())
					}
				}
			})
		})
	}
}

// Workers that go down together take tasks with them that have nothing to do with it, also
// if tasks that make their workers crash do so at the same time.
func TestOutagesBesideCrashingTasksCostNoOtherJob(t *testing.T) {
	for _, outages := range []int{1, 2, 3} {
		for _, age := range []time.Duration{700 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("outages=%d/age=%v", outages, age), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 12)
					var innocent []*fleetJob
					for n := range 8 {
						spec := simpleJob(jobNumber(n), 6)
						if n%4 == 0 {
							spec = wholeWorker(simpleJob(jobNumber(n), 2))
						}
						innocent = append(innocent, f.submit(spec, 6*time.Second))
					}
					for n := range 2 {
						j := f.submit(simpleJob(jobNumber(20+n), 1), 8*time.Second)
						j.crashes, j.crashAge = everyTask, age
					}
					for outage := range outages {
						f.run(age + time.Duration(outage)*300*time.Millisecond)
						for _, w := range f.workers[outage%3*4 : outage%3*4+4] {
							if len(w.running) > 0 {
								f.crash(w, clock.Monotonic())
							}
						}
					}
					f.run(90 * time.Second)
					for _, j := range innocent {
						if g := f.state.jobs[j.spec.GetId()].graph; g.Phase != flow.Phase_COMPLETED {
							t.Errorf("job %s: phase %v after outages, with crashes %v", j.spec.GetId(), g.Phase, g.CrashRecord())
						}
					}
					for n := range 2 {
						g := f.state.jobs[jobNumber(20+n)].graph
						if g.Phase != flow.Phase_FAILED {
							t.Errorf("job %s that makes workers crash: phase %v", g.Spec.GetId(), g.Phase)
						}
					}
				})
			})
		}
	}
}

// A job whose tasks run beside one that makes workers crash, or which starts on a
// worker just before, must not be taken for the cause.
func TestNeighboursOfCrashingTaskComplete(t *testing.T) {
	for _, holders := range []int{0, 6} {
		t.Run(fmt.Sprint(holders, " changes of the holder"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6)
				var neighbours []*fleetJob
				for n := range 4 {
					neighbours = append(neighbours, f.submit(simpleJob(jobNumber(n), 6), 5*time.Second))
				}
				f.run(time.Second)
				for n := range 2 {
					neighbours = append(neighbours, f.submit(simpleJob(jobNumber(10+n), 2), 5*time.Second))
					j := f.submit(simpleJob(jobNumber(20+n), 1), 5*time.Second)
					j.crashes = everyTask
				}
				for range holders {
					f.run(1500 * time.Millisecond)
					f.changeHolder()
				}
				f.run(60 * time.Second)
				lost := 0
				for _, j := range neighbours {
					lost += j.lostRuns
					if phase := f.state.jobs[j.spec.GetId()].graph.Phase; phase != flow.Phase_COMPLETED {
						t.Errorf("job %s beside the cause: phase %v", j.spec.GetId(), phase)
					}
				}
				if most := 2 * 8; f.crashes > 6 || lost > most {
					t.Errorf("%d crashes, %d runs of other jobs lost; want at most 6 and %d", f.crashes, lost, most)
				}
				for n := range 2 {
					if phase := f.state.jobs[jobNumber(20+n)].graph.Phase; phase != flow.Phase_FAILED {
						t.Errorf("the cause %s: phase %v", jobNumber(20+n), phase)
					}
				}
			})
		})
	}
}

// Workers that go down together, again and again, take tasks with them that have
// nothing to do with it.
func TestOutagesAccuseNoTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		var jobs []*fleetJob
		for n := range 8 {
			jobs = append(jobs, f.submit(simpleJob(jobNumber(n), 6), 6*time.Second))
		}
		for round := range 6 {
			f.run(2500 * time.Millisecond)
			for _, w := range f.workers[round%2*4 : round%2*4+4] {
				if len(w.running) > 0 {
					f.crash(w, clock.Monotonic())
				}
			}
		}
		f.run(60 * time.Second)
		for _, j := range jobs {
			if phase := f.state.jobs[j.spec.GetId()].graph.Phase; phase != flow.Phase_COMPLETED {
				t.Errorf("job %s: phase %v after outages, with crashes %v", j.spec.GetId(), phase, f.state.jobs[j.spec.GetId()].graph.CrashRecord())
			}
		}
	})
}

// A machine that loses power takes the relay with it. The relay that comes back knows
// no crash, and the tasks that ran there are not suspected.
func TestMachineWithoutPowerAccusesNoTask(t *testing.T) {
	for _, tells := range []bool{true, false} {
		t.Run(fmt.Sprint("relay tells crashes: ", tells), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, fakekv.New(), 1)
				_, sequence := startJob(t, b, simpleJob(jobID, 1))
				newer := idleReport(1, sequence, 1)
				newer.RelayBoot, newer.Worker.Id, newer.Worker.BornMs, newer.TellsCrashes = "b2", "w9", 200, tells
				b.report(newer)
				time.Sleep(time.Second)
				if _, err := b.kv.Get(t.Context(), CrashKey(jobID)); err == nil {
					t.Error("a crash was stored")
				}
				if task := b.storedProgress(jobID).GetTasks()[0]; task.GetRun() != 2 {
					t.Errorf("task after its machine came back: %v; want run 2", task)
				}
			})
		})
	}
}

// crashReport returns a report of relay n after its worker crashed under a run and was
// replaced.
func crashReport(n int, sequence, epoch, process, run int64) *flow.Report {
	r := idleReport(n, sequence, epoch)
	r.Worker.Id, r.Worker.BornMs, r.TellsCrashes = fmt.Sprintf("w%d-%d", n, process), 100+process, true
	r.Crashes = []*flow.Crash{{
		Number: process, Worker: "w", WorkerBornMs: process, AgoMs: 1000,
		Runs: []*flow.CrashedRun{{Task: graph.TaskName(jobID, graph.Ref{}), Run: run, AgeMs: 10}},
	}}
	return r
}

// What a scheduler knows of crashes must not be lost with it: it is stored before the
// relay is told to forget it, it survives a scheduler of an old build, which writes the
// progress without it, and a start of all processes.
func TestCrashesOutlastSchedulers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		first := newHarness(t, kv, 1)
		_, sequence := startJob(t, first, simpleJob(jobID, 1))
		kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
		if got := first.report(crashReport(1, sequence, 1, 1, 1)).GetCrashesStored(); got != 0 {
			t.Errorf("crash %d acknowledged while the store is down", got)
		}
		kv.SetFaults(fakekv.AllCallers, fakekv.Faults{})
		time.Sleep(time.Second)
		if got := first.report(crashReport(1, sequence+1, 1, 1, 1)).GetCrashesStored(); got != 1 {
			t.Errorf("crash %d acknowledged after the store returned; want 1", got)
		}
		// Messages of a build without crash records hold none of their fields.
		storeMessage(t, kv, ProgressKey(jobID), &flow.Work{Phase: flow.Phase_RUNNING, Tasks: []*flow.Task{{Run: 5}}})
		second := newHarness(t, kv, 2)
		second.report(crashReport(2, 1, 2, 1, 5))
		time.Sleep(2 * time.Second)
		if got := second.storedProgress(jobID).GetPhase(); got != flow.Phase_FAILED {
			t.Errorf("phase %v after the second crash, under another scheduler; want FAILED", got)
		}
		item, err := kv.Get(t.Context(), CrashKey(jobID))
		record := &flow.JobCrashes{}
		if err != nil || proto.Unmarshal(item.Value, record) != nil || len(record.GetCrashes()) != 2 {
			t.Errorf("stored crashes %v (%v); want two", record, err)
		}
		third := newHarness(t, kv, 3)
		third.report(idleReport(1, 9, 3))
		time.Sleep(2 * time.Second)
		if got := third.storedProgress(jobID).GetPhase(); got != flow.Phase_FAILED {
			t.Errorf("phase %v under a third scheduler; want FAILED", got)
		}
		time.Sleep(2 * testSettings.Retention)
		third.report(idleReport(1, 10, 3))
		time.Sleep(time.Second)
		if _, err := kv.Get(t.Context(), CrashKey(jobID)); err == nil {
			t.Error("the crash record outlives its job")
		}
	})
}

// A build that does not know crash records removes an ended job without them.
func TestCrashRecordsOfRemovedJobsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		for n := range 12 {
			storeMessage(t, kv, CrashKey(jobNumber(n)), &flow.JobCrashes{})
		}
		b := newHarness(t, kv, 1)
		for sequence := range int64(40) {
			b.report(idleReport(1, sequence+1, 1))
		}
		for n := range 12 {
			if _, err := kv.Get(t.Context(), CrashKey(jobNumber(n))); err == nil {
				t.Errorf("the record of %s is still stored", jobNumber(n))
			}
		}
	})
}

// While a suspect may still crash its worker, nothing else starts there.
func TestNothingStartsBesideSuspectOnProbation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.submit(simpleJob(jobID, 1), time.Minute)
		suspect := f.state.jobs[jobID].graph
		suspect.AddCrash(graph.Ref{}, graph.Crash{Run: 1, Age: 10 * time.Millisecond, UnixMS: 1, Suspicion: flow.Suspicion_PROBABLE})
		f.run(200 * time.Millisecond)
		f.submit(simpleJob(jobNumber(1), 14), time.Minute)
		f.run(300 * time.Millisecond)
		beside := func() int {
			n := 0
			for _, task := range f.state.jobs[jobNumber(1)].graph.Active() {
				if task.Place == suspect.Active()[0].Place {
					n++
				}
			}
			return n
		}
		if n := beside(); n > 0 || len(suspect.Active()) != 1 {
			t.Errorf("%d tasks start beside the suspect, which has %d runs", n, len(suspect.Active()))
		}
		f.run(5 * time.Second)
		if n := beside(); n == 0 {
			t.Error("no task starts beside the suspect after its probation")
		}
	})
}
