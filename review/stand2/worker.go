package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatPeriod = 1500 * time.Millisecond
	holdMax         = 10 * time.Second
	stopGrace       = 100 * time.Millisecond
	gangWait        = 3 * time.Second
	restartTime     = 2500 * time.Millisecond
	fastRestart     = 150 * time.Millisecond
	maxListedEnds   = 500
)

// resources are what a task needs or a worker has.
type resources struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem_mb"`
	GPU int64 `json:"gpu"`
}

func (a resources) add(b resources, sign int64) resources {
	return resources{a.CPU + sign*b.CPU, a.Mem + sign*b.Mem, a.GPU + sign*b.GPU}
}

func (a resources) covers(b resources) bool {
	return a.CPU >= b.CPU && a.Mem >= b.Mem && a.GPU >= b.GPU
}

// behaviour is what a task does. A stand-in worker reads it from the spec of its job,
// which is the JSON text of a behaviour.
type behaviour struct {
	WorkMS int64 `json:"work_ms"`
	// CrashMS is how long after its start the task makes its worker crash; 0 means never.
	CrashMS int64     `json:"crash_ms,omitempty"`
	Gang    int       `json:"gang,omitempty"` // number of members, 0 without a gang
	Lasting bool      `json:"lasting,omitempty"`
	Need    resources `json:"need"`
}

func (b behaviour) spec() string {
	text, _ := json.Marshal(b)
	return string(text)
}

// run is one run of a task on a worker.
type run struct {
	task string
	run  int64
	behaviour
	startedAt time.Time
	stopAt    time.Time // of an ordered stop, or zero
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
}

// gangs tells workers when all members of a run of a gang are present.
type gangs struct {
	mu   sync.Mutex
	runs map[string]*gangRun
}

type gangRun struct {
	members map[string]bool
	begunAt time.Time
	// outcome is how the first member ended, or "".
	outcome string
}

func (g *gangs) of(r *run) *gangRun {
	step := r.task[:strings.LastIndex(r.task, ".")]
	key := fmt.Sprint(step, "/", r.run)
	if g.runs[key] == nil {
		g.runs[key] = &gangRun{members: map[string]bool{}}
	}
	return g.runs[key]
}

func (g *gangs) join(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gang := g.of(r)
	gang.members[r.task] = true
	if len(gang.members) == r.Gang && gang.begunAt.IsZero() {
		gang.begunAt = time.Now()
	}
}

func (g *gangs) leave(r *run, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gang := g.of(r); gang.outcome == "" {
		gang.outcome = how
	}
}

// worker is a worker at one address. Each of its lives has an id of its own, unless
// keepsID is set.
type worker struct {
	name, addr, relay string
	capacity          resources
	gangs             *gangs
	log               *record
	// keepsID makes each life take the id of the first. The next life after a crash then
	// starts after fastRestart and sends its first heartbeat a period later.
	keepsID bool
	// changesKind makes every second life one of another kind.
	changesKind bool

	mu       sync.Mutex
	life     int
	born     int64
	started  time.Time
	fence    int64
	deadline time.Duration // on the worker's clock
	running  map[string]*run
	over     map[string]int64 // highest run of each task that was stopped or has ended
	ends     []end
	lastEnd  int64
	changed  chan struct{}
	server   *http.Server // nil while the worker is down
	stop     context.CancelFunc
}

func (w *worker) id() string {
	if w.keepsID {
		return fmt.Sprintf("i-%s%04x", w.name, 1)
	}
	return fmt.Sprintf("i-%s%04x", w.name, w.life)
}

// kind returns the label that names the worker's kind.
func (w *worker) kind() string {
	if w.changesKind && w.life%2 == 0 {
		return "b"
	}
	return "a"
}

func (w *worker) clock() time.Duration { return 480*time.Second + time.Since(w.started) }

// boot starts the next life of the worker.
func (w *worker) boot() error {
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	w.mu.Lock()
	w.life++
	w.born, w.started = time.Now().UnixMilli(), time.Now()
	w.fence, w.deadline, w.lastEnd, w.ends = 0, 0, 0, nil
	w.running, w.over, w.changed = map[string]*run{}, map[string]int64{}, make(chan struct{})
	w.stop = stop
	w.server = &http.Server{Handler: w}
	go func(server *http.Server) { _ = server.Serve(listener) }(w.server)
	w.log.add("worker %s, life %d, is up", w.id(), w.life)
	w.mu.Unlock()
	go func() {
		if w.keepsID && w.life > 1 {
			time.Sleep(heartbeatPeriod)
		}
		w.heartbeats(ctx)
	}()
	go w.work(ctx)
	return nil
}

// crash ends the worker's process. It is back after restartTime.
func (w *worker) crash(why string) {
	w.mu.Lock()
	if w.server == nil {
		w.mu.Unlock()
		return
	}
	var lost []string
	for _, r := range w.running {
		lost = append(lost, fmt.Sprint(r.task, "/", r.run))
		if r.Gang > 0 {
			w.gangs.leave(r, "broken")
		}
	}
	server := w.server
	w.server = nil
	w.stop()
	w.log.add("worker %s crashes (%s) with %s", w.id(), why, strings.Join(lost, " "))
	w.log.crashed(lost)
	w.mu.Unlock()
	_ = server.Close()
	pause := restartTime
	if w.keepsID {
		pause = fastRestart
	}
	time.AfterFunc(pause, func() {
		if err := w.boot(); err != nil {
			w.log.add("worker %s cannot start: %v", w.name, err)
		}
	})
}

// heartbeats sends a heartbeat in each period until ctx ends.
func (w *worker) heartbeats(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		w.mu.Lock()
		id, body := w.id(), map[string]any{
			"service": "care", "address": w.addr, "zone": "keila", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": w.capacity, "labels": []string{w.kind(), "r1-1"}, "clock_ms": w.clock().Milliseconds(), "seq": seq, "born": w.born,
		}
		w.mu.Unlock()
		text, _ := json.Marshal(body)
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.relay+"/-/instances/"+id+"/heartbeat", bytes.NewReader(text))
		request.Header.Set("Content-Type", "application/json")
		pause := heartbeatPeriod
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		} else {
			pause = 200 * time.Millisecond // it tries again soon, as nobody acknowledged
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// work ends the runs that are due until ctx ends.
func (w *worker) work(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		now, crash := time.Now(), ""
		lapsed := w.deadline > 0 && w.clock() > w.deadline
		for _, r := range w.running {
			how := w.outcome(r, now)
			switch {
			case ctx.Err() != nil:
			case lapsed:
				w.finish(r, "lapsed")
			case r.CrashMS > 0 && now.Sub(r.startedAt) >= time.Duration(r.CrashMS)*time.Millisecond:
				crash = "under " + r.task
			case how != "":
				w.finish(r, how)
			}
		}
		w.mu.Unlock()
		if crash != "" {
			w.crash(crash)
		}
	}
}

// outcome returns how a run ends now, or "".
func (w *worker) outcome(r *run, now time.Time) string {
	work := time.Duration(r.WorkMS) * time.Millisecond
	switch {
	case !r.stopAt.IsZero() && now.After(r.stopAt):
		return "stopped"
	case r.Lasting:
		return ""
	case r.Gang == 0 && now.Sub(r.startedAt) >= work:
		return "done"
	case r.Gang == 0:
		return ""
	}
	w.gangs.mu.Lock()
	defer w.gangs.mu.Unlock()
	gang := w.gangs.of(r)
	switch {
	case gang.outcome == "done":
		return "done"
	case gang.outcome != "":
		return "broken"
	case gang.begunAt.IsZero() && now.Sub(r.startedAt) > gangWait:
		return "alone"
	case !gang.begunAt.IsZero() && now.Sub(gang.begunAt) >= work:
		return "done"
	}
	return ""
}

// finish lists the end of a run.
func (w *worker) finish(r *run, how string) {
	delete(w.running, r.task)
	w.over[r.task] = max(w.over[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.task, r.run, how})
	w.log.ended(w.id(), r, how)
	if r.Gang > 0 {
		w.gangs.leave(r, how)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

type callBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence"`
	Observed   int64  `json:"observed"`
	WaitMS     int64  `json:"wait_ms"`
}

// ServeHTTP answers the calls of the relay.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var body callBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(out, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	expected := r.Header.Get("Catkinpoint-Expect-Instance")
	if expected != "" && expected != w.id() {
		answer(out, http.StatusMisdirectedRequest, nil)
		return
	}
	reject := func(reason string) {
		answer(out, http.StatusConflict, map[string]any{"clock_ms": w.clock().Milliseconds(), "reason": reason})
	}
	if body.Fence < w.fence {
		reject("fence")
		return
	}
	w.fence = body.Fence
	switch r.URL.Path {
	case "/-/run-start":
		if reason := w.startRun(body); reason != "" {
			reject(reason)
			return
		}
		answer(out, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds()})
	case "/-/run-stop":
		if present := w.running[body.Task]; present != nil && present.run <= body.Run && present.stopAt.IsZero() {
			present.stopAt = time.Now().Add(stopGrace)
		}
		w.over[body.Task] = max(w.over[body.Task], body.Run)
		answer(out, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds()})
	case "/-/hold":
		w.extend(body.DeadlineMS)
		for len(w.ends) > 0 && w.ends[0].number <= body.Observed {
			w.log.observed(w.id(), w.life, w.ends[0], body.Observed)
			w.ends = w.ends[1:]
		}
		if len(w.ends) == 0 && body.WaitMS > 0 {
			changed := w.changed
			w.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(min(body.WaitMS, 2000)) * time.Millisecond):
			case <-r.Context().Done():
			}
			w.mu.Lock()
		}
		answer(out, http.StatusOK, w.lists())
	default:
		answer(out, http.StatusNotFound, nil)
	}
}

// extend moves the end of the task lease, which never becomes earlier.
func (w *worker) extend(deadlineMS int64) {
	deadline := min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+holdMax)
	w.deadline = max(w.deadline, deadline)
}

// startRun starts a run, or returns the reason for which it is rejected.
func (w *worker) startRun(body callBody) string {
	if time.Duration(body.DeadlineMS)*time.Millisecond < w.clock() {
		return "late"
	}
	present := w.running[body.Task]
	if present != nil && present.run == body.Run {
		return ""
	}
	w.extend(body.DeadlineMS)
	if body.Run <= w.over[body.Task] || present != nil && present.run > body.Run {
		return "old"
	}
	r := &run{task: body.Task, run: body.Run, startedAt: time.Now()}
	if json.Unmarshal([]byte(body.Spec), &r.behaviour) != nil {
		return "room"
	}
	free := w.capacity
	for _, other := range w.running {
		free = free.add(other.Need, -1)
	}
	if present != nil || !free.covers(r.Need) {
		return "room"
	}
	w.running[r.task] = r
	if r.Gang > 0 {
		w.gangs.join(r)
	}
	w.log.startedRun(w.id(), w.kind(), r)
	return ""
}

// lists returns the body of the answer to a hold.
func (w *worker) lists() map[string]any {
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := int64(100)
		if r.WorkMS > 0 && !r.Lasting {
			percent = min(99, time.Since(r.startedAt).Milliseconds()*100/r.WorkMS)
		}
		running = append(running, []any{r.task, r.run, "", percent, r.Need.CPU})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born, "running": running, "finished": finished}
}

// used returns what the runs on the worker need.
func (w *worker) used() resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sum resources
	for _, r := range w.running {
		sum = sum.add(r.Need, 1)
	}
	return sum
}

// jobOf returns the id of the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// indexOf returns the number of a task in its step.
func indexOf(task string) int {
	n, _ := strconv.Atoi(task[strings.LastIndex(task, ".")+1:])
	return n
}
