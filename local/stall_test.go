package local

import (
	"bytes"
	"sync/atomic"
	"testing"
	"time"

	"catkinpoint/gang"
)

// stalls measures for how long the process was not scheduled.
type stalls struct{ worst atomic.Int64 }

func watchStalls(t *testing.T) *stalls {
	const tick = 20 * time.Millisecond
	s := new(stalls)
	ticker := time.NewTicker(tick)
	done := make(chan struct{})
	t.Cleanup(func() { ticker.Stop(); close(done) })
	go func() {
		last := time.Now()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			now := time.Now()
			s.worst.Store(max(s.worst.Load(), int64(now.Sub(last)-tick)))
			last = now
		}
	}()
	return s
}

func (s *stalls) longest() time.Duration { return time.Duration(s.worst.Load()) }

// explains tells whether a stall of the process accounts for the fate of a job
// that may not run twice. Members of a gang that hear nothing for the silence
// stop, as the others may be gone, and the gang has failed. A start that the
// endpoint never got on a connection that timed out leaves the fate unknown.
func (s *stalls) explains(answer *Answer) bool {
	if s.longest() < gang.DefaultTimers().SilenceTimeout/2 {
		return false
	}
	says := func(reason string) bool { return bytes.Contains(answer.Body, []byte(reason)) }
	switch answer.Fate {
	case "failed":
		return says("is silent") || says("a time limit of the gang protocol has passed")
	case "unknown":
		return says("the endpoint does not know the task")
	}
	return false
}
