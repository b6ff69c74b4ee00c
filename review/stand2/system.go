package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record collects what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	origin  time.Time
	starts  map[string][]taskStart // by task
	crashes map[string]int         // workers that crashed under each task
	crashAt map[string][]time.Time
	ends    map[string]map[string]int // by task and kind of end
	noted   map[string]time.Time      // when the first end as done of a task was taken note of
	// quiet are jobs whose single runs are not written, as they have thousands of them.
	quiet map[string]bool
}

type taskStart struct {
	run    int64
	worker string
	kind   string // of the worker
	at     time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file: file, origin: time.Now(), starts: map[string][]taskStart{}, crashes: map[string]int{}, crashAt: map[string][]time.Time{},
		ends: map[string]map[string]int{}, noted: map[string]time.Time{}, quiet: map[string]bool{},
	}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.origin).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) startedRun(worker, kind string, s *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[s.task] = append(r.starts[s.task], taskStart{s.run, worker, kind, time.Now()})
	if !r.quiet[jobOf(s.task)] {
		r.write("worker %s starts %s run %d", worker, s.task, s.run)
	}
}

func (r *record) ended(worker string, s *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ends[s.task] == nil {
		r.ends[s.task] = map[string]int{}
	}
	r.ends[s.task][how]++
	if !r.quiet[jobOf(s.task)] {
		r.write("worker %s lists the end of %s run %d: %s", worker, s.task, s.run, how)
	}
}

// observed records that the end of a run was taken note of.
func (r *record) observed(worker string, life int, e end, number int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.noted[e.task]; !known && e.how == "done" {
		r.noted[e.task] = time.Now()
	}
	if !r.quiet[jobOf(e.task)] {
		r.write("worker %s, life %d, is told to forget ends up to %d: end %d of %s run %d, %s", worker, life, number, e.number, e.task, e.run, e.how)
	}
}

// crashed counts the crash of a worker under runs, each given as TASK/RUN.
func (r *record) crashed(runs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range runs {
		task, _, _ := strings.Cut(name, "/")
		r.crashes[task]++
		r.crashAt[task] = append(r.crashAt[task], time.Now())
	}
}

// tasksOf returns the tasks of a job that were started, sorted.
func (r *record) tasksOf(job string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var tasks []string
	for task := range r.starts {
		if jobOf(task) == job {
			tasks = append(tasks, task)
		}
	}
	sort.Strings(tasks)
	return tasks
}

func (r *record) startsOf(task string) []taskStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]taskStart{}, r.starts[task]...)
}

// system is a small deployment: gates and relays as processes, and stand-ins for all else.
type system struct {
	program string
	dir     string
	log     *record
	store   *kvStore
	gangs   *gangs
	gates   []string // addresses for callers
	ready   []string
	workers []*worker

	mu        sync.Mutex // guards the fields below
	processes []*exec.Cmd
	stopping  bool // no further process is started
	stopped   sync.Once
}

const (
	gateCount   = 3
	workerCount = 8
)

// The host, the prefixes and the keys of the operator's configuration.
const (
	hostName     = "jobs.example"
	prefix       = "/care/"
	urgentPrefix = "/urgent/"
)

var keys = map[string]string{"a": "key-of-tenant-a", "b": "key-of-tenant-b"}

// host is a loopback address of this run's own, so that runs side by side and the ports of
// outgoing connections do not collide with its listeners.
var host = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()/250%64, 1+os.Getpid()%250)

// freeAddrs returns addresses at which nothing listens.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addrs = append(addrs, listener.Addr().String())
	}
	return addrs, nil
}

// route returns a queue of the operator's configuration.
func route(name, prefix string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "service": "care", "priority": priority,
		"max_attempts": 4, "slack_factor": 3, "target_latency_ms": 3000,
	}
}

func port(addr string) string { return addr[strings.LastIndex(addr, ":")+1:] }

// createSystem returns a system without processes.
func createSystem(program string, log *record) (*system, error) {
	dir, err := os.MkdirTemp("", "stand2")
	if err != nil {
		return nil, err
	}
	return &system{program: program, dir: dir, log: log, store: newStore(), gangs: &gangs{runs: map[string]*gangRun{}}}, nil
}

// run starts the system and waits until all gates take callers.
func (s *system) run(capacity resources) error {
	s.store.put("op/config", map[string]any{
		"version":  1,
		"routes":   []map[string]any{route("care", prefix, 1), route("urgent", urgentPrefix, 0)},
		"services": []map[string]any{{"name": "care", "admission_check": true}},
		"limits":   map[string]any{"max_body_bytes": 262144},
		"tenants": []map[string]any{
			{"name": "a", "api_keys": []string{keys["a"]}, "guaranteed": map[string]int{"gpu": 0}},
			{"name": "b", "api_keys": []string{keys["b"]}, "guaranteed": map[string]int{"gpu": 32}},
		},
	})
	storeListener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(storeListener, s.store) }()
	storeAddr := storeListener.Addr().String()
	addrs, err := freeAddrs(4*gateCount + 4*workerCount)
	if err != nil {
		return err
	}
	next := func() string {
		addr := addrs[0]
		addrs = addrs[1:]
		return addr
	}
	for n := range gateCount {
		jobs, ready, name := next(), next(), fmt.Sprintf("front-keila-%d", n+1)
		s.gates, s.ready = append(s.gates, jobs), append(s.ready, ready)
		text := fmt.Sprintf("[node]\nid = %s\ndata_centre = keila\nregion = harju\nrpc_address = %s\n[gate]\njob_address = %s\nready_address = %s\n"+
			"task_lease = 10000ms\ndrain_time = 6s\nremote_factor = 3\n"+
			"[platform]\nstore_address = %s\nmemory_mb = 284\nmetrics_port = %s\nprocessor_share = 0.4\nprocessor_speed = 1\n", name, next(), jobs, ready, storeAddr, port(next()))
		if err := s.start(name, "gate", text); err != nil {
			return err
		}
	}
	for n := range workerCount {
		name, relay, app := fmt.Sprintf("side-keila-%d", n+1), next(), next()
		text := fmt.Sprintf("[node]\nid = %s\ndata_centre = keila\nregion = harju\nrpc_address = %s\n[relay]\nworker_address = %s\nheartbeat_address = %s\n"+
			"[platform]\nstore_address = %s\nmemory_mb = 152\nmetrics_port = %s\n", name, next(), app, relay, storeAddr, port(next()))
		if err := s.start(name, "relay", text); err != nil {
			return err
		}
		w := &worker{name: fmt.Sprintf("%04x", 0x7f31+n), addr: app, relay: relay, capacity: capacity, gangs: s.gangs, log: s.log}
		s.workers = append(s.workers, w)
		if err := w.boot(); err != nil {
			return err
		}
	}
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if s.readyGates() == gateCount {
			s.log.add("all gates are ready")
			time.Sleep(2 * time.Second) // the workers have sent heartbeats by then
			return nil
		}
	}
	return fmt.Errorf("the gates do not become ready")
}

func (s *system) readyGates() int {
	n := 0
	for _, addr := range s.ready {
		if response, err := http.Get("http://" + addr + "/-/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				n++
			}
		}
	}
	return n
}

// start starts a program of the system with a settings file.
func (s *system) start(name, role, settings string) error {
	path := filepath.Join(s.dir, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	command := exec.Command(s.program, role, path)
	command.Stdout, command.Stderr = out, out
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return fmt.Errorf("the system is being stopped")
	}
	if err := command.Start(); err != nil {
		return err
	}
	s.processes = append(s.processes, command)
	return nil
}

// stop ends all processes and removes the folder with their logs, unless KEEP names a
// folder to which it is moved.
func (s *system) stop() { s.stopped.Do(s.stopOnce) }

func (s *system) stopOnce() {
	s.mu.Lock()
	s.stopping = true
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	time.AfterFunc(time.Second, func() {
		for _, p := range processes {
			_ = p.Process.Kill()
		}
	})
	for _, p := range processes {
		_ = p.Wait()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(s.dir, keep)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// fullPath returns the path of a job, which is that of queue care if path has only its id.
func fullPath(path string) string {
	if strings.HasPrefix(path, "/") {
		return path
	}
	return prefix + path
}

// call sends one request of a caller to a gate. The status is 0 without an answer.
func (s *system) call(ctx context.Context, gate int, method, tenant, path string, budget time.Duration, body any) (int, string) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.gates[gate%gateCount]+fullPath(path), bytes.NewReader(text))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostName
	request.Header.Set("Authorization", "Bearer "+keys[tenant])
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Catkinpoint-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	var out bytes.Buffer
	_, _ = out.ReadFrom(response.Body)
	return response.StatusCode, strings.TrimSpace(out.String())
}

// submit hands a job in, at other gates if it gets no answer or a refusal, and reports
// whether it was accepted.
func (s *system) submit(tenant, id string, job any) bool {
	for try := range 6 {
		status, text := s.call(context.Background(), try, http.MethodPost, tenant, id, 3*time.Second, job)
		s.log.add("caller of %s: POST %s: %d %s", tenant, id, status, text)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job at up to all gates. It is "" without an answer.
func (s *system) state(tenant, id string) string {
	for gate := range gateCount {
		status, text := s.call(context.Background(), gate, http.MethodGet, tenant, id, 3*time.Second, nil)
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
			s.log.add("caller of %s: GET %s: %s", tenant, id, body.State)
			return body.State
		}
		s.log.add("caller of %s: GET %s: %d %s", tenant, id, status, text)
	}
	return ""
}

// waitFor asks for a job's state until it is one of the given ones, or the time is over.
func (s *system) waitFor(tenant, id string, limit time.Duration, states ...string) string {
	last := ""
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		last = s.state(tenant, id)
		for _, state := range states {
			if last == state {
				return last
			}
		}
	}
	return last
}

// step is a step of a job.
type step struct {
	Count      int   `json:"count"`
	CPU        int64 `json:"cpu,omitempty"`
	Mem        int64 `json:"mem_mb,omitempty"`
	GPU        int64 `json:"gpu,omitempty"`
	EstimateMS int64 `json:"estimate_ms"`
	Gang       bool  `json:"gang,omitempty"`

	LongRunning    bool `json:"long_running,omitempty"`
	MaxUnavailable int  `json:"max_unavailable,omitempty"`

	RequiredLabel string `json:"required_label,omitempty"`
}

// jobBody is the body of a submission.
type jobBody struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	Repeats     int    `json:"repeats,omitempty"`
	StartTimeMS int64  `json:"start_time_ms,omitempty"`
	PeriodMS    int64  `json:"period_ms,omitempty"`
}

// newJob returns a job of one step whose tasks behave as b says.
func newJob(count int, b behaviour) jobBody {
	return jobBody{Spec: b.spec(), Steps: []step{{
		Count: count, CPU: b.Need.CPU, Mem: b.Need.Mem, GPU: b.Need.GPU, EstimateMS: b.WorkMS, Gang: b.Gang > 0,
	}}}
}
