package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// The bounds of banc-clair-ops.toml.
const (
	cancelTime  = 3 * time.Second        // cancel_ms
	stopGrace   = 400 * time.Millisecond // stop_grace_ms
	contactTime = 4 * time.Second        // contact_ms
	// lateWrite is after which time the store carries out a write without an answer: 1 to 6 s.
	lateWrite = 6 * time.Second
	// maxLost is the largest share of the writes that get no answer.
	maxLost = 0.35
)

// lateSubmission submits a job while answers of the store are lost, cancels it, and checks
// whether it is started after the cancelling was acknowledged.
func lateSubmission(record *os.File, trouble bool) (verdict, error) {
	s, err := newSystem(record, 2, 3, baseConfig)
	if err != nil {
		return notRun, err
	}
	defer s.stop()
	if err := s.serves(); err != nil {
		return notRun, err
	}
	const id = "00000000000000b1"
	s.setNeed(id, smallNeed)
	lost, firstLost, lastLost := 0, time.Time{}, time.Time{}
	if trouble {
		s.store.mu.Lock()
		s.store.loseWrite = func(t txn) (time.Duration, bool) {
			for _, p := range t.Puts {
				if strings.HasSuffix(p.Key, "job/"+id) {
					s.logf("store  a write of %s gets no answer and is carried out %v later", p.Key, lateWrite)
					s.logMu.Lock()
					defer s.logMu.Unlock()
					if lost++; lost == 1 {
						firstLost = time.Now()
					}
					lastLost = time.Now()
					return lateWrite, true
				}
			}
			return 0, false
		}
		s.store.mu.Unlock()
	}
	writesBefore := s.store.countWrites()
	// Other consumers go on, at the other gate.
	stop := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
			other := fmt.Sprintf("%016x", 0xd000+i)
			s.setNeed(other, smallNeed)
			go s.call(s.gates[1], "POST", "/urgent/"+other, "key-b", smallJob(300), answerBudget)
		}
	}()
	submitted, _ := s.call(s.gates[0], "POST", "/urgent/"+id, "key-a", smallJob(20000), answerBudget)
	if trouble {
		s.store.mu.Lock()
		s.store.loseWrite = nil
		s.store.mu.Unlock()
		writes := s.store.countWrites() - writesBefore
		s.logf("the store lost the answers of %d of %d writes within %v", lost, writes, lastLost.Sub(firstLost))
		if lost == 0 || float64(lost) > maxLost*float64(writes) {
			return notRun, fmt.Errorf("%d of %d writes were lost, which is outside the limit", lost, writes)
		}
	}
	// The consumer gives the job up: it cancels it until that is acknowledged.
	acknowledged := time.Time{}
	for i := range 4 {
		status, _ := s.call(s.gates[(i+1)%2], "DELETE", "/urgent/"+id, "key-a", nil, answerBudget)
		if status/100 == 2 || status == 410 {
			acknowledged = time.Now()
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if acknowledged.IsZero() {
		return notRun, fmt.Errorf("the cancelling got no ack; the submission %d", submitted)
	}
	s.logf("cancelling acknowledged")
	// Machines are in touch contact_ms after the last write without an answer. A stretch of
	// cancel_ms and stop_grace_ms follows, in which the tasks of a cancelled job have to end.
	calm := acknowledged
	if trouble && lastLost.Add(contactTime).After(calm) {
		calm = lastLost.Add(contactTime)
	}
	time.Sleep(time.Until(calm.Add(cancelTime + stopGrace + 500*time.Millisecond)))
	close(stop)
	status, text := s.call(s.gates[0], "GET", "/urgent/"+id, "key-a", nil, answerBudget)
	started, _ := s.runsOf(id, "done")
	s.logf("submission %d; the job is shown as %d %s; %d runs, %d of them active %v after the cancelling was acknowledged",
		submitted, status, text, started, s.active(id), time.Since(acknowledged).Round(time.Millisecond))
	if s.active(id) > 0 {
		return broken, nil
	}
	return held, nil
}
