package local

import (
	"bytes"
	"sync/atomic"
	"testing"
	"time"

	"catkinpoint/gang"
)

// stallMonitor measures the longest time for which the operating system has not
// scheduled the test process.
type stallMonitor struct{ longestNs atomic.Int64 }

// monitorStalls starts a stallMonitor that stops when the test ends.
func monitorStalls(t *testing.T) *stallMonitor {
	const tick = 20 * time.Millisecond
	m := new(stallMonitor)
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
			m.longestNs.Store(max(m.longestNs.Load(), int64(now.Sub(last)-tick)))
			last = now
		}
	}()
	return m
}

func (m *stallMonitor) longest() time.Duration { return time.Duration(m.longestNs.Load()) }

// explains reports whether a stall of the process can have caused the fate of a job
// that must not run twice. Members of a gang that receive nothing for
// gang.Timers.SilenceTimeout stop, as the others may be gone, and the gang has
// failed. If the connection on which a start was sent timed out before the endpoint
// received it, the fate is unknown.
func (m *stallMonitor) explains(answer *Answer) bool {
	if m.longest() < gang.DefaultTimers().SilenceTimeout/2 {
		return false
	}
	bodyContains := func(reason string) bool { return bytes.Contains(answer.Body, []byte(reason)) }
	switch answer.Fate {
	case "failed":
		return bodyContains("is silent") || bodyContains("a time limit of the gang protocol has passed")
	case "unknown":
		return bodyContains("the endpoint does not know the task")
	}
	return false
}
