package logs

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// queueLength bounds the lines that wait to be written.
const queueLength = 2048

// Writer is an io.Writer that does not block.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	mu      sync.RWMutex
	closed  bool
}

// New returns a writer to out; Close ends it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never fails, so that logging does not stop work.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line): // the caller reuses its buffer
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			line = append(line, fmt.Sprintf("logs: lines dropped count=%d\n", n)...)
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1) // nothing else can be told of a lost output
		}
	}
}

// Start sends the process's log lines to out and returns the function that
// writes what is left at the end.
func Start(out io.Writer) (func(), error) {
	flags := flag.NewFlagSet("logs", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return nil, fmt.Errorf("setting up logs: %w", err)
		}
	}
	w := New(out)
	klog.SetOutput(w)
	return func() {
		klog.Flush()
		w.Close()
	}, nil
}
