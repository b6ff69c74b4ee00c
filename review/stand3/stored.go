package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// submitTime bounds the time in which the jobs of storedJobs are handed in.
const submitTime = 45 * time.Second

// storedJobs hands in many jobs of legal size that are due later, and checks whether the gates
// stay within the memory of their machines and still serve.
func storedJobs(record *os.File, trouble bool) (verdict, error) {
	const jobs, steps, imageBytes, ends, machines = 600, 1000, 190, 3, 2
	s, err := newSystem(record, 3, 3, baseConfig)
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	if err := s.serves(); err != nil {
		return notRun, err
	}
	handedIn := 0
	if trouble {
		later := job{Spec: "took=1000", Repeats: 1, StartMS: time.Now().Add(time.Hour).UnixMilli()}
		for range steps {
			later.Steps = append(later.Steps, step{Count: 1, CPU: 1000, Memory: 1000, EstimateMS: 1000, Image: strings.Repeat("x", imageBytes)})
		}
		end := time.Now().Add(submitTime)
		for n := 0; n < jobs && time.Now().Before(end); n++ {
			status, _ := s.call(s.gates[n%3], "POST", fmt.Sprintf("/bulk/%016x", 0xb00000+n), "key-b", later, answerBudget)
			if status == 200 {
				handedIn++
			}
		}
	}
	s.logf("%d jobs that are due later are accepted", handedIn)
	var accepted []string
	answered := 0
	for i := range 10 {
		id := fmt.Sprintf("%016x", 0xc0+i)
		s.setNeed(id, smallNeed)
		status, _ := s.call(s.gates[i%3], "POST", "/urgent/"+id, "key-a", smallJob(500), answerBudget)
		if status != 0 {
			answered++
		}
		if status == 200 {
			accepted = append(accepted, id)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(finishTime)
	lost := s.unserved(accepted, "/urgent/", "key-a")
	s.logPeaks()
	often := 0
	for name, n := range s.endedProcesses() {
		s.logf("ended  %s: %d times", name, n)
		if n >= ends {
			often++
		}
	}
	s.logf("machines of %d on which processes ended %d times: %d", len(s.all()), ends, often)
	s.logf("of 10 ordinary jobs %d are answered, %d accepted; not run %v after the end of the traffic: %v", answered, len(accepted), finishTime, lost)
	if often >= machines {
		return broken, nil
	}
	return held, nil
}
