package matrix

import (
	"context"
	"fmt"
	"time"
)

// Run plays the script in a fresh world, injects the fault when the step is
// reached, and judges all promises. It must run in a testing/synctest bubble.
func Run(ctx context.Context, step Step, fault Fault) (*Result, error) {
	w, err := NewWorld(ctx)
	if err != nil {
		return nil, err
	}
	s := &Script{
		world: w,
		twice: fault == SameTwice,
		race:  fault == Racing,
		seen:  make(map[string][]seenVersion),
	}
	r := &Result{world: w, script: s}
	reached := w.await(step)
	over := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(over)
		select {
		case <-reached:
		case <-ended:
			return
		}
		r.Reached, r.from = true, time.Now()
		r.hit = w.inject(fault)
		r.to = time.Now()
	}()
	s.play(ctx)
	close(ended)
	<-over
	r.judge()
	r.records = w.openRecords()
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("ending run: %w", err)
	}
	return r, nil
}
