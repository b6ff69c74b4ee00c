package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	restartTime = 6 * time.Second // from the last run of a task that lasts, until it is judged
	// maxUnanswered is the largest share of the orders that get no answer.
	maxUnanswered = 0.055
	// crashDelay is the time from the order to the crash.
	crashDelay = 500 * time.Millisecond
)

// lastingTask has a task that lasts fail once. The order to start it again gets no answer from
// a worker that is lost for good soon after. It checks whether the task is started on another
// worker in time.
func lastingTask(record *os.File, trouble bool) (verdict, error) {
	s, err := newSystem(record, 2, 8, baseConfig)
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	if err := s.serves(); err != nil {
		return notRun, err
	}
	const id = "00000000000000b1"
	task := id + ".0.0.0"
	s.setNeed(id, smallNeed)
	lasting := job{Spec: "took=600000", Steps: []step{{Count: 1, CPU: smallNeed.CPU, Memory: smallNeed.Memory, GPU: smallNeed.GPU, EstimateMS: 1000, Lasting: true}}}
	if !s.submit(id, "/normal/", "key-a", lasting) {
		return notRun, fmt.Errorf("the job is not accepted in calm")
	}
	// Other consumers go on.
	stop := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			other := fmt.Sprintf("%016x", 0xd000+i)
			s.setNeed(other, smallNeed)
			go s.call(s.gates[i%2], "POST", "/urgent/"+other, "key-b", smallJob(300), answerBudget)
		}
	}()
	defer close(stop)
	time.Sleep(4 * time.Second)
	if s.active(id) != 1 {
		return notRun, fmt.Errorf("the task does not run in calm")
	}
	var mu sync.Mutex
	orders, unanswered, windowEnd := 0, 0, time.Now().Add(5500*time.Millisecond)
	lostAt := time.Time{}
	for _, w := range s.workers {
		w.mu.Lock()
		w.leaveUnanswered = func(call workerCall) bool {
			mu.Lock()
			defer mu.Unlock()
			if time.Now().Before(windowEnd) {
				orders++
			}
			if !trouble || call.Task != task || unanswered > 0 {
				return false
			}
			unanswered++
			s.logf("worker %s leaves the start of %s#%d without an answer", w.id, call.Task, call.Run)
			time.AfterFunc(crashDelay, func() {
				s.logf("worker %s is lost for good", w.id)
				w.lose()
				mu.Lock()
				lostAt = time.Now()
				mu.Unlock()
			})
			return true
		}
		w.mu.Unlock()
	}
	failedAt := time.Now()
	failed := false
	for _, w := range s.workers {
		failed = w.fail(task) || failed
	}
	if !failed {
		return notRun, fmt.Errorf("no worker has the task")
	}
	time.Sleep(6 * time.Second)
	mu.Lock()
	n, m, lost := orders, unanswered, lostAt
	mu.Unlock()
	s.logf("%d of %d orders of 5.5 s got no answer", m, n)
	calm := failedAt.Add(restartTime)
	if trouble {
		if lost.IsZero() {
			return notRun, fmt.Errorf("the order was not seen")
		}
		if float64(m) > maxUnanswered*float64(n) {
			return notRun, fmt.Errorf("%d of %d orders got no answer, which is outside the limit", m, n)
		}
		if end := lost.Add(contactTime); end.After(calm) {
			calm = end
		}
	}
	// From here on the last 4 s are calm, and the task had its last run 6 s ago or more.
	idle := time.Time{}
	longest := time.Duration(0)
	time.Sleep(time.Until(calm))
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		switch {
		case s.active(id) > 0 || s.inUse() > 0.4:
			idle = time.Time{}
		case idle.IsZero():
			idle = time.Now()
		default:
			longest = max(longest, time.Since(idle))
		}
	}
	started, _ := s.runsOf(id, "done")
	s.logf("in calm the task had nothing running for %v on end, with under 0.4 of the room in use; %d runs in all", longest.Round(time.Millisecond), started)
	s.logPeaks()
	for _, e := range s.starts[id] {
		s.logf("run of the task: %s", strings.TrimSpace(e))
	}
	if longest > idleTime {
		return broken, nil
	}
	return held, nil
}
