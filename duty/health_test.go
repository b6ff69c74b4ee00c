package duty

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/graph"
)

// Some workers fail all that they start, beside jobs with a task that fails
// wherever it runs: sound jobs complete, faulty ones fail, and sound workers go
// on working.
func TestJobsOutliveWorkersThatFailAll(t *testing.T) {
	tests := []struct {
		name   string
		bad    int // workers that fail all, of 12
		gang   bool
		faulty bool // every third job has a task that always fails
	}{
		{name: "one worker", bad: 1},
		{name: "a quarter of the workers", bad: 3},
		{name: "a quarter of the workers, gangs", bad: 3, gang: true},
		{name: "a quarter of the workers, faulty jobs", bad: 3, faulty: true},
		{name: "faulty jobs alone", faulty: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 12)
				for n := range test.bad {
					f.workers[4*n].fails = true
				}
				var jobs []*fleetJob
				for n := range 24 {
					spec := simpleJob(fmt.Sprintf("%016x", n+1), 40)
					if test.gang {
						spec.Steps[0].Gang, spec.Steps[0].Count, spec.Steps[0].Accelerators = true, 6, 4
					}
					spec.Steps[0].EstimateMs = 2000
					j := f.submit(spec, 2*time.Second)
					if test.faulty && n%3 == 0 {
						j.faulty = 0
					}
					jobs = append(jobs, j)
					f.play(700 * time.Millisecond)
				}
				f.play(30 * time.Second)
				for n, j := range jobs {
					if _, ok := f.took(j); ok != (j.faulty < 0) {
						t.Errorf("job %d: completed %v, faulty task %d", n, ok, j.faulty)
					}
				}
				for _, w := range f.st.workers {
					if bad := f.workers[workerNumber(w.place.Worker)-1].fails; !bad && w.health.bannedUntil > 0 {
						t.Errorf("%s: got no work for some time, though it is sound", w.place.Worker)
					}
				}
			})
		})
	}
}

func workerNumber(id string) (n int) {
	_, _ = fmt.Sscanf(id, "w%d", &n)
	return n
}

// Two tasks fail on a worker and then on another, which is sound: they are at fault
// themselves, and the first worker gets work again at once.
func TestWorkerIsAcquittedByASoundOne(t *testing.T) {
	tests := []struct {
		name      string
		elsewhere bool // the tasks fail on a sound worker too
		banned    bool
	}{
		{name: "failed nowhere else", banned: true},
		{name: "failed on a sound worker too", elsewhere: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			st := newState(0)
			first, second := &worker{place: placeOf(1)}, &worker{place: placeOf(2)}
			j := &job{graph: graph.New(simpleJob(jobID, 4), nil), failedAt: map[graph.Ref][]*worker{}}
			now := time.Second
			for index := range int32(2) {
				st.blame(first, j, graph.Ref{Index: index}, graph.EndFailed, now)
			}
			if now >= first.health.bannedUntil || !first.health.onTrial(now) {
				t.Fatal("two tasks failed in a row, and the worker is not suspect")
			}
			for index := range int32(2) {
				if test.elsewhere {
					st.blame(second, j, graph.Ref{Index: index}, graph.EndFailed, now)
				}
			}
			if banned := now < first.health.bannedUntil; banned != test.banned || first.health.doubtful(now) != test.banned {
				t.Errorf("banned %v, doubtful %v; want %v", banned, first.health.doubtful(now), test.banned)
			}
			if second.health.doubtful(now) {
				t.Error("the second worker is blamed for tasks that fail by themselves")
			}
		})
	}
}

// A worker that fails all it starts has served its ban on a full site: it gets one
// task at a time until one ends well there.
func TestWorkerIsTriedWithOneTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		bad := f.workers[0]
		bad.fails = true
		for n := range 12 {
			f.submit(simpleJob(fmt.Sprintf("%016x", n+1), 40), 2*time.Second)
		}
		f.play(time.Second)
		known := f.st.byPlace[placeOf(bad.n)]
		if known.health.bannedUntil == 0 {
			t.Fatal("the worker is not suspect")
		}
		tried := false
		for range 200 {
			f.play(fleetTick)
			if len(bad.running) > 1 {
				t.Fatalf("%d tasks run on a worker on trial", len(bad.running))
			}
			tried = tried || len(bad.running) == 1
		}
		if !tried {
			t.Error("the worker was not tried in 10 s")
		}
	})
}
