package procs

import (
	"net/http"
	"testing"
	"time"
)

// Guards against requests that hang, are lost or run twice when the open
// connections to all endpoints swallow every byte while new ones work.
func TestSilentConnections(t *testing.T) {
	c := newCluster(t)
	c.warmUp()
	silenced := make(chan error, 1)
	go func() {
		for range 3 {
			time.Sleep(2 * time.Second)
			for _, addr := range c.endpoints {
				response, err := http.Post("http://"+addr.String()+"/faults/silence", "", nil)
				if err != nil {
					silenced <- err
					return
				}
				response.Body.Close()
			}
		}
		silenced <- nil
	}()
	calls := c.load(5, 12, 10*time.Second)
	if err := <-silenced; err != nil {
		t.Fatal(err)
	}
	fates := c.judge(calls)
	t.Logf("fates: %v", fates)
	c.judgeGangs(gangTolerance)
	if lost := fates["no answer"] + fates["unknown"]; lost > 0 {
		t.Errorf("answer: %d calls did not learn their fate", lost)
	}
	if fates["done"] == 0 {
		t.Error("no call was done")
	}
}
