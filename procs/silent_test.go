package procs

import (
	"net/http"
	"testing"
	"time"
)

// Guards against requests that hang, are lost or run twice when all bytes on the
// open connections to all endpoints are lost while new connections work.
func TestSilentConnections(t *testing.T) {
	c := newCluster(t)
	c.warmUp()
	silenced := make(chan error, 1)
	go func() {
		for range 3 {
			time.Sleep(2 * time.Second)
			for _, addr := range c.endpointFaultAddrs {
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
	calls := c.submitLoad(5, 12, 10*time.Second)
	if err := <-silenced; err != nil {
		t.Fatal(err)
	}
	fates := c.checkAnswers(calls)
	t.Logf("fates: %v", fates)
	c.checkGangs(maxPartialGang)
	if lost := fates["no answer"] + fates["unknown"]; lost > 0 {
		t.Errorf("answer: the fate of %d calls is unknown", lost)
	}
	if fates["done"] == 0 {
		t.Error("no call was done")
	}
}
