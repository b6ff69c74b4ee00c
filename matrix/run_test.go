package matrix

import (
	"context"
	"fmt"
	"time"
)

// Run runs the workload on a new cluster, injects the fault when the step is
// reached, and checks all promises. It must run in a testing/synctest bubble.
func Run(ctx context.Context, step Step, fault Fault) (*Result, error) {
	c, err := NewCluster(ctx)
	if err != nil {
		return nil, err
	}
	w := &Workload{
		cluster:         c,
		repeat:          fault == RepeatedRequests,
		racingOperators: fault == RacingOperators,
		samples:         make(map[string][]versionSample),
	}
	r := &Result{cluster: c, workload: w}
	reached := c.notifyAt(step)
	faultEnded := make(chan struct{})
	workloadEnded := make(chan struct{})
	go func() {
		defer close(faultEnded)
		select {
		case <-reached:
		case <-workloadEnded:
			return
		}
		r.Reached, r.faultStart = true, time.Now()
		r.targets = c.inject(fault)
		r.faultEnd = time.Now()
	}()
	w.run(ctx)
	close(workloadEnded)
	<-faultEnded
	r.checkPromises()
	r.openRecords = c.openJobRecords()
	if err := c.Close(); err != nil {
		return nil, fmt.Errorf("ending run: %w", err)
	}
	return r, nil
}
