package main

import (
	"fmt"
	"os"
	"time"
)

const (
	// crashAge is the time from the start of a job's last task on a worker to the crash of that
	// worker, and crashTime how long it is down.
	crashAge  = 200 * time.Millisecond
	crashTime = 2500 * time.Millisecond
	// lastingTasks is the number of tasks of the job.
	lastingTasks = 24
)

// crashedWorker lets a worker crash once, shortly after the tasks of a job that lasts have
// started there, and checks whether each task is started again in time.
func crashedWorker(record *os.File, trouble bool) (verdict, error) {
	s, err := newSystem(record, 3, 8, baseConfig)
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	if err := s.serves(); err != nil {
		return notRun, err
	}
	const id = "00000000000000b1"
	need := amounts{CPU: 1000, Memory: 1000}
	s.setNeed(id, need)
	lasting := job{Spec: "took=600000", Steps: []step{{Count: lastingTasks, CPU: need.CPU, Memory: need.Memory, EstimateMS: 1000, Lasting: true}}}
	if !s.submit(id, "/normal/", "key-a", lasting) {
		return notRun, fmt.Errorf("the job is not accepted in calm")
	}
	for range 100 {
		if s.active(id) == lastingTasks {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if s.active(id) != lastingTasks {
		return notRun, fmt.Errorf("%d of %d tasks run in calm", s.active(id), lastingTasks)
	}
	time.Sleep(crashAge)
	disruptionEnd := time.Now()
	if trouble {
		busiest := 0
		for i, w := range s.workers {
			if w.count() > s.workers[busiest].count() {
				busiest = i
			}
		}
		w := s.workers[busiest]
		s.logf("worker %s crashes with %d runs", w.id, w.count())
		w.lose()
		time.Sleep(crashTime)
		next := w.successor()
		s.workers[busiest] = next
		if err := next.start(); err != nil {
			return notRun, err
		}
		s.logf("worker %s starts at its address", next.id)
		disruptionEnd = time.Now()
	}
	// Each task is judged from 6 s after its last run on, after 4 s of calm.
	time.Sleep(time.Until(disruptionEnd.Add(restartTime)))
	idle, longest := map[int]time.Time{}, map[int]time.Duration{}
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		full := s.inUse() > maxInUse
		for i := range lastingTasks {
			switch since, known := idle[i]; {
			case full || s.running(fmt.Sprintf("%s.0.0.%d", id, i)):
				delete(idle, i)
			case !known:
				idle[i] = time.Now()
			default:
				longest[i] = max(longest[i], time.Since(since))
			}
		}
	}
	late := 0
	for i := range lastingTasks {
		if longest[i] > idleTime {
			late++
			s.logf("task %d has nothing running for %v on end in calm", i, longest[i].Round(time.Millisecond))
		}
	}
	s.logf("%d of %d tasks have nothing running for over %v from %v after the last disruption on; %d run at the end", late, lastingTasks, idleTime, restartTime, s.active(id))
	for i := range s.gates {
		s.call(s.gates[i], "GET", "/normal/"+id, "key-a", nil, answerBudget)
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// running reports whether a task runs on a worker.
func (s *system) running(task string) bool {
	for _, w := range s.workers {
		if w.runs(task) {
			return true
		}
	}
	return false
}
