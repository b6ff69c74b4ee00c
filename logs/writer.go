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

// queueLength is the most lines that wait to be written.
const queueLength = 2048

// Writer is an io.Writer that passes lines to another writer in the background
// and drops them when its queue is full.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	mu      sync.RWMutex
	closed  bool
}

// New returns a Writer to out and starts its goroutine, which Close ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full or the Writer is
// closed. It never returns an error, as a caller could not handle it.
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

// Close writes the queued lines and ends the goroutine. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

// run writes queued lines to out until the queue is closed and empty.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			line = append(line, fmt.Sprintf("logs: lines dropped count=%d\n", n)...)
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1) // a failed output leaves no place to report err
		}
	}
}

// Start sends the log lines of klog to out alone, through a Writer. The returned
// function flushes klog and closes the Writer; it is to be called before the
// process ends.
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
