package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// amounts are resources of a worker or a task.
type amounts struct {
	CPU    int64 `json:"cpu,omitempty"`
	Memory int64 `json:"mem_mb,omitempty"`
	GPU    int64 `json:"gpu,omitempty"`
}

// taskRun is a run on a worker.
type taskRun struct {
	task  string
	run   int64
	began time.Time
	took  time.Duration
	need  amounts
	timer *time.Timer
}

// worker is one life of a worker that guards its capacity, as PROTOCOL.md describes it. How
// long a task takes is in its spec: "took=MS ...".
type worker struct {
	mu       sync.Mutex
	id       string
	addr     string
	control  string
	zone     string
	rack     string
	born     time.Time
	capacity amounts
	fence    int64
	deadline time.Duration // on the worker's clock
	running  map[string]*taskRun
	ended    map[string]int64 // highest run stopped or ended
	finished [][]any
	ends     int64
	seq      int64
	changed  chan struct{}
	log      func(format string, args ...any)
	needOf   func(task string) amounts
	onStart  func(task string, run int64)
	onEnd    func(task string, run int64, how string)
	server   *http.Server
	lost     bool // the process has ended for good
}

// A task whose spec gives it lastingTime or more is one that lasts, which is at work after
// startupTime.
const (
	lastingTime = 10 * time.Minute
	startupTime = 500 * time.Millisecond
)

// startTime is how long a worker takes to begin a task.
const startTime = 20 * time.Millisecond

func (w *worker) clock() time.Duration { return time.Second + time.Since(w.born) }

// start makes the worker listen and send check-ins.
func (w *worker) start() error {
	w.born, w.running, w.ended, w.changed = time.Now(), map[string]*taskRun{}, map[string]int64{}, make(chan struct{})
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.id, err)
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			w.lapse()
		}
	}()
	go w.checkIn()
	return nil
}

// lose ends the worker's process for good: what runs there ends, and nothing listens any more.
func (w *worker) lose() {
	w.mu.Lock()
	w.lost = true
	for _, r := range w.running {
		r.timer.Stop()
		w.onEnd(r.task, r.run, "lost")
	}
	w.running = map[string]*taskRun{}
	w.mu.Unlock()
	_ = w.server.Close()
}

// runs reports whether a task runs on the worker.
func (w *worker) runs(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running[task] != nil
}

// count returns how many runs are on the worker.
func (w *worker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// successor returns the next worker on the machine of a lost one, under another id.
func (w *worker) successor() *worker {
	next := &worker{id: w.id + "-next", addr: w.addr, control: w.control, zone: w.zone, rack: w.rack, capacity: w.capacity, log: w.log, needOf: w.needOf}
	next.onStart, next.onEnd = w.onStart, w.onEnd
	return next
}

// checkIn sends the worker's check-ins to the control address of its machine.
func (w *worker) checkIn() {
	client := &http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		if w.lost {
			w.mu.Unlock()
			return
		}
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": w.capacity, "labels": []string{"a", w.rack}, "clock_ms": w.clock().Milliseconds(), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		w.mu.Unlock()
		if r, err := client.Post("http://"+w.control+"/-/instances/"+w.id+"/heartbeat", "application/json", bytes.NewReader(body)); err == nil {
			_ = r.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

// lapse kills all runs once the lease has expired.
func (w *worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock() <= w.deadline {
		return
	}
	for _, r := range w.running {
		w.end(r, "lapsed")
	}
}

// end lists the end of a run. The caller holds the lock.
func (w *worker) end(r *taskRun, how string) {
	if w.running[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(w.running, r.task)
	w.ended[r.task] = max(w.ended[r.task], r.run)
	w.ends++
	w.finished = append(w.finished, []any{w.ends, r.task, r.run, how, ""})
	w.onEnd(r.task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type workerCall struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence"`
	Observed int64  `json:"observed"`
	Wait     int64  `json:"wait_ms"`
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var call workerCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		answer(out, http.StatusBadRequest, map[string]any{})
		return
	}
	if want := r.Header.Get("Catkinpoint-Expect-Instance"); want != "" && want != w.id {
		answer(out, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	if r.URL.Path == "/-/run-start" {
		time.Sleep(startTime)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost {
		panic(http.ErrAbortHandler)
	}
	if call.Fence < w.fence {
		w.reject(out, "fence")
		return
	}
	w.fence = call.Fence
	deadline := time.Duration(call.Deadline) * time.Millisecond
	w.deadline = max(w.deadline, min(deadline, w.clock()+holdMax))
	switch r.URL.Path {
	case "/-/run-start":
		w.startRun(out, call, deadline)
	case "/-/run-stop":
		w.ended[call.Task] = max(w.ended[call.Task], call.Run)
		if run := w.running[call.Task]; run != nil && run.run == call.Run {
			w.end(run, "stopped")
		}
		answer(out, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds()})
	case "/-/hold":
		w.hold(out, r, call)
	default:
		answer(out, http.StatusNotFound, map[string]any{})
	}
}

func (w *worker) reject(out http.ResponseWriter, reason string) {
	answer(out, http.StatusConflict, map[string]any{"clock_ms": w.clock().Milliseconds(), "reason": reason})
}

func (w *worker) startRun(out http.ResponseWriter, call workerCall, deadline time.Duration) {
	run := w.running[call.Task]
	free := w.capacity
	for _, r := range w.running {
		free = amounts{free.CPU - r.need.CPU, free.Memory - r.need.Memory, free.GPU - r.need.GPU}
	}
	need := w.needOf(call.Task)
	switch {
	case run != nil && run.run == call.Run:
	case run != nil || call.Run <= w.ended[call.Task]:
		w.reject(out, "old")
		return
	case deadline <= w.clock():
		w.reject(out, "late")
		return
	case need.CPU > free.CPU || need.Memory > free.Memory || need.GPU > free.GPU:
		w.reject(out, "room")
		return
	default:
		ms, _ := strconv.Atoi(strings.TrimPrefix(strings.Fields(call.Spec + " took=100")[0], "took="))
		r := &taskRun{task: call.Task, run: call.Run, began: time.Now(), took: time.Duration(ms) * time.Millisecond, need: need}
		r.timer = time.AfterFunc(r.took, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "done")
		})
		w.running[call.Task] = r
		w.onStart(call.Task, call.Run)
	}
	answer(out, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds()})
}

// hold answers with both lists, once there is an end or the wait is over.
func (w *worker) hold(out http.ResponseWriter, r *http.Request, call workerCall) {
	for len(w.finished) > 0 && w.finished[0][0].(int64) <= call.Observed {
		w.finished = w.finished[1:]
	}
	timeout := time.After(time.Duration(min(call.Wait, 2000)) * time.Millisecond)
	for over := call.Wait == 0; len(w.finished) == 0 && !over; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			over = true
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, run := range w.running {
		// A task that lasts is at work, at 100 percent, after a short startup.
		whole := run.took
		if whole >= lastingTime {
			whole = startupTime
		}
		percent := min(100, 100*int64(time.Since(run.began))/int64(whole+1))
		running = append(running, []any{run.task, run.run, "", percent, 0})
	}
	finished := append([][]any{}, w.finished[:min(len(w.finished), 500)]...)
	answer(out, http.StatusOK, map[string]any{
		"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "finished": finished,
	})
}
