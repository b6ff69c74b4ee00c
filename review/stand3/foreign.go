package main

import (
	"fmt"
	"os"
	"time"
)

// visibleTime is visible_ms: after the ack of a job its state can be read.
const visibleTime = 3 * time.Second

// sameID has two tenants submit the same kind of job under one id, as consumers do who derive
// the id from what the job is, and checks whether each can read the state of its own.
func sameID(record *os.File, trouble bool) (verdict, error) {
	s, err := newSystem(record, 2, 3, baseConfig)
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	if err := s.serves(); err != nil {
		return notRun, err
	}
	first, second := "5c0e7a21d94b36f8", "5c0e7a21d94b36f8"
	if !trouble {
		second = "5c0e7a21d94b36f9"
	}
	s.setNeed(first, smallNeed)
	s.setNeed(second, smallNeed)
	if !s.submit(first, "/normal/", "key-a", smallJob(1000)) {
		return notRun, fmt.Errorf("the job of the first tenant is not accepted")
	}
	time.Sleep(time.Second)
	status, _ := s.call(s.gates[1], "POST", "/normal/"+second, "key-b", smallJob(1000), answerBudget)
	s.logf("the job of the second tenant is answered %d", status)
	if status/100 != 2 {
		return held, nil // it was told that its job is not accepted
	}
	time.Sleep(visibleTime + time.Second)
	gone := 0
	for i := range 4 {
		status, _ := s.call(s.gates[i%2], "GET", "/normal/"+second, "key-b", nil, answerBudget)
		if status == 410 {
			gone++
		}
		time.Sleep(500 * time.Millisecond)
	}
	started, done := s.runsOf(first, "done")
	if !trouble {
		n, d := s.runsOf(second, "done")
		started, done = started+n, done+d
	}
	s.logf("two jobs are accepted; %d runs of their tasks started, %d are done; of 4 questions of the second tenant %d are answered 410", started, done, gone)
	if gone > 0 {
		return broken, nil
	}
	return held, nil
}
