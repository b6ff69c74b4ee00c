package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	// restartTime is from the last run of a task that lasts until it is judged.
	restartTime = 6 * time.Second
	// calmTime has to pass without a disruption before a task without a run is judged.
	calmTime = 4 * time.Second
	// watchTime is how long the task is watched after that.
	watchTime = 12 * time.Second
	// maxInUse is below the share of the capacity up to which a task without a run is judged.
	maxInUse = 0.4
)

// removedMachine removes the machine of a worker for good, with a task that lasts on it, and
// checks whether the task is started on another worker in time.
func removedMachine(record *os.File, trouble bool) (verdict, error) {
	s, err := newSystem(record, 3, 6, baseConfig)
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	if err := s.serves(); err != nil {
		return notRun, err
	}
	const id = "00000000000000b1"
	s.setNeed(id, smallNeed)
	lasting := job{Spec: "took=600000", Steps: []step{{Count: 1, CPU: smallNeed.CPU, Memory: smallNeed.Memory, GPU: smallNeed.GPU, EstimateMS: 1000, Lasting: true}}}
	if !s.submit(id, "/normal/", "key-a", lasting) {
		return notRun, fmt.Errorf("the job is not accepted in calm")
	}
	time.Sleep(5 * time.Second)
	if s.active(id) != 1 {
		return notRun, fmt.Errorf("the task does not run in calm")
	}
	removedAt := time.Now()
	if trouble {
		for i, w := range s.workers {
			if w.runs(id + ".0.0.0") {
				s.logf("the machine of %s and %s is removed for good", w.id, s.relays[i].name)
				s.relays[i].remove()
				w.lose()
			}
		}
	}
	time.Sleep(time.Until(removedAt.Add(max(restartTime, calmTime))))
	idle, longest := time.Time{}, time.Duration(0)
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		switch {
		case s.active(id) > 0 || s.inUse() > maxInUse:
			idle = time.Time{}
		case idle.IsZero():
			idle = time.Now()
		default:
			longest = max(longest, time.Since(idle))
		}
	}
	for i := range s.gates {
		s.call(s.gates[i], "GET", "/normal/"+id, "key-a", nil, answerBudget)
	}
	for _, e := range s.starts[id] {
		s.logf("run of the task: %s", strings.TrimSpace(e))
	}
	s.logf("from %v after its last run on, with all calm for %v, the task had nothing running for %v on end", restartTime, calmTime, longest.Round(time.Millisecond))
	if longest > idleTime {
		return broken, nil
	}
	return held, nil
}
