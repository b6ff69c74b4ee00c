package intake

import (
	"net"
	"testing"
)

// TestPhaseAfterWrite guards against headers that are not counted: the HTTP server reads
// the first byte of the next request while it sends an answer, and if that byte waits for
// room, the end of the write must not bring the phase Waiting back.
func TestPhaseAfterWrite(t *testing.T) {
	i := New(Resources{})
	server, client := net.Pipe()
	defer client.Close()
	h := i.open(func(bool) {})
	c := &conn{Conn: server, intake: i, holder: h}
	i.enter(h, Waiting)
	written := make(chan struct{})
	go func() {
		_, _ = c.Write([]byte("ab")) // the reader checks it
		close(written)
	}()
	if _, err := client.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	i.enter(h, Heading) // the byte has found room
	if _, err := client.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	<-written
	if h.phase != Heading {
		t.Errorf("phase %d", h.phase)
	}
}
