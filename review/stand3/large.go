package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	settleTime   = 6 * time.Second  // from the start of the programs until they serve
	finishTime   = 14 * time.Second // finish_s: after the end of the traffic, jobs are judged
	idleTime     = 3 * time.Second  // for which a job may have nothing running
	pollPeriod   = 250 * time.Millisecond
	answerBudget = 3 * time.Second // the consumers' time budget
)

// smallNeed is what an ordinary job takes; its tenant is guaranteed 16 accelerators.
var smallNeed = amounts{1000, 1000, 1}

// smallJob is an ordinary job of one task.
func smallJob(ms int) job {
	return job{Spec: fmt.Sprintf("took=%d", ms), Steps: []step{{Count: 1, CPU: smallNeed.CPU, Memory: smallNeed.Memory, GPU: smallNeed.GPU, EstimateMS: int64(ms)}}}
}

// setNeed tells the workers what a task of a job takes.
func (s *system) setNeed(id string, need amounts) {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	s.needs[id] = need
}

// serves reports whether an ordinary job is accepted and completed in calm.
func (s *system) serves() error {
	const id = "00000000000000a1"
	time.Sleep(settleTime)
	s.setNeed(id, smallNeed)
	if !s.submit(id, "/urgent/", "key-a", smallJob(500)) || !s.completed(id, "/urgent/", "key-a", 10*time.Second) {
		return fmt.Errorf("the system does not serve an ordinary job in calm")
	}
	return nil
}

// active returns how many runs of a job are on workers now.
func (s *system) active(id string) int {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	return len(s.starts[id]) - len(s.ends[id])
}

// inUse returns the largest share of the processors, memory and accelerators of all workers
// that runs hold.
func (s *system) inUse() float64 {
	var total, held amounts
	for _, w := range s.workers {
		w.mu.Lock()
		total = amounts{total.CPU + w.capacity.CPU, total.Memory + w.capacity.Memory, total.GPU + w.capacity.GPU}
		for _, r := range w.running {
			held = amounts{held.CPU + r.need.CPU, held.Memory + r.need.Memory, held.GPU + r.need.GPU}
		}
		w.mu.Unlock()
	}
	return max(float64(held.CPU)/float64(total.CPU), float64(held.Memory)/float64(total.Memory), float64(held.GPU)/float64(total.GPU))
}

// unserved returns the accepted jobs that break the rule LOST finish_s after the end of the
// traffic: for idleTime each has nothing running and is not completed, while under half of the
// service's capacity is in use, so that there is room for its one task many times over.
func (s *system) unserved(ids []string, path, key string) []string {
	waiting := map[string]bool{}
	for _, id := range ids {
		waiting[id] = s.runs(id, "done") == 0
	}
	for end := time.Now().Add(idleTime + pollPeriod); time.Now().Before(end); time.Sleep(pollPeriod) {
		for id := range waiting {
			waiting[id] = waiting[id] && s.active(id) == 0 && s.runs(id, "done") == 0 && s.inUse() < 0.5
		}
	}
	var list []string
	for i, id := range ids {
		status, text := s.call(s.gates[i%len(s.gates)], "GET", path+id, key, nil, answerBudget)
		if waiting[id] && !(status == 200 && strings.Contains(text, "completed")) {
			list = append(list, id)
		}
	}
	return list
}

// runs returns how many runs of a job's tasks ended in a way.
func (s *system) runs(id, how string) int {
	_, n := s.runsOf(id, how)
	return n
}

// logPeaks writes the largest memory of each process to the record.
func (s *system) logPeaks() {
	for _, p := range s.all() {
		s.logMu.Lock()
		peak := s.peaks[p.name]
		s.logMu.Unlock()
		s.logf("memory %s: at most %d MB of %d", p.name, peak, p.memoryMB)
	}
}

// overdueJob hands in one scheduled job of legal size of which many occurrences are due, and
// checks whether the ordinary jobs that are accepted afterwards run.
func overdueJob(record *os.File, trouble bool) (verdict, error) {
	const occurrences, steps, tasks = 100, 1000, 10
	s, err := newSystem(record, 3, 6, baseConfig)
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	if err := s.serves(); err != nil {
		return notRun, err
	}
	const long = "00000000000000a2"
	s.setNeed(long, smallNeed)
	if !s.submit(long, "/urgent/", "key-a", smallJob(25000)) {
		return notRun, fmt.Errorf("a job is not accepted in calm")
	}
	time.Sleep(time.Second)
	if trouble {
		const id = "00000000000000b1"
		big := job{Spec: "took=2000", Repeats: occurrences, PeriodMS: 1000, StartMS: time.Now().UnixMilli() - occurrences*1000}
		for range steps {
			big.Steps = append(big.Steps, step{Count: tasks, CPU: 16000, Memory: 1000, EstimateMS: 2000})
		}
		s.setNeed(id, amounts{16000, 1000, 0})
		if !s.submit(id, "/bulk/", "key-b", big) {
			s.logf("the job with many occurrences is not accepted")
		}
	}
	var accepted []string
	for i := range 5 {
		id := fmt.Sprintf("%016x", 0xc0+i)
		s.setNeed(id, smallNeed)
		if s.submit(id, "/urgent/", "key-a", smallJob(500)) {
			accepted = append(accepted, id)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(finishTime)
	lost := s.unserved(accepted, "/urgent/", "key-a")
	s.logPeaks()
	s.logf("processes that ended: %v", s.endedProcesses())
	s.logf("the task of %s that ran before: lapsed %d times, done %d times", long, s.runs(long, "lapsed"), s.runs(long, "done"))
	s.logf("accepted afterwards: %v; not run %v after the end of the traffic: %v", accepted, finishTime, lost)
	if len(lost) > 0 {
		return broken, nil
	}
	return held, nil
}

// tinyTasks hands in jobs of legal size with many tasks that need little, and checks whether
// processes exceed the memory of their machines.
func tinyTasks(record *os.File, trouble bool) (verdict, error) {
	const jobs, steps, tasks, ends, machines = 8, 10, 1000, 3, 2
	s, err := newSystem(record, 3, 6, baseConfig)
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	if err := s.serves(); err != nil {
		return notRun, err
	}
	if trouble {
		for n := range jobs {
			id := fmt.Sprintf("%016x", 0xb0+n)
			big := job{Spec: "took=2000 " + strings.Repeat("x", 3900)}
			for range steps {
				big.Steps = append(big.Steps, step{Count: tasks, CPU: 1, Memory: 1, EstimateMS: 2000})
			}
			s.setNeed(id, amounts{1, 1, 0})
			s.submit(id, "/bulk/", "key-b", big)
		}
	}
	// The traffic goes on: an ordinary job each 3 s.
	for i := range 20 {
		id := fmt.Sprintf("%016x", 0xd0+i)
		s.setNeed(id, smallNeed)
		s.submit(id, "/urgent/", "key-a", smallJob(500))
		time.Sleep(3 * time.Second)
	}
	s.logPeaks()
	often := 0
	for name, n := range s.endedProcesses() {
		s.logf("ended  %s: %d times", name, n)
		if n >= ends {
			often++
		}
	}
	s.logf("machines of %d on which processes ended %d times: %d", len(s.all()), ends, often)
	if often >= machines {
		return broken, nil
	}
	return held, nil
}
