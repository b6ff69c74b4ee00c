package logs

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// blockedOutput takes nothing until it is released.
type blockedOutput struct {
	release chan struct{}
	got     bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return b.got.Write(p)
}

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
		t.Errorf("writing to a blocked output took %v", took)
	}
	close(out.release)
	w.Close()
	text := out.got.String()
	if lines := strings.Count(text, "line "); lines < queueLength || lines > queueLength+1 {
		t.Errorf("%d lines were written; want those that fit the queue, %d", lines, queueLength)
	}
	if !strings.Contains(text, "lines dropped count=") {
		t.Error("the output does not tell of dropped lines")
	}
}
