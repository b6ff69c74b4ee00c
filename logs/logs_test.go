package logs

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// blockedOutput blocks writes until release is closed.
type blockedOutput struct {
	release chan struct{}
	written bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return b.written.Write(p)
}

// Guards against a blocked output that blocks the callers of Write, and against
// lines that are dropped without being counted in the output.
func TestFullQueueDropsAndCounts(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := New(out)
	start := time.Now()
	const extra = 100
	for i := range queueLength + extra {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("Write with a blocked output took %v in all; want at most 5s", took)
	}
	close(out.release)
	w.Close()
	text := out.written.String()
	if lines := strings.Count(text, "line "); lines < queueLength || lines > queueLength+1 {
		t.Errorf("%d lines were written; want the %d that fit in the queue, and at most one more", lines, queueLength)
	}
	if !strings.Contains(text, "lines dropped count=") {
		t.Error("the output does not count the dropped lines")
	}
}
