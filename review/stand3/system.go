package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The deployment: that of the site file banc-clair-ops.toml, smaller.
const (
	serviceName  = "planrestauro"
	hostName     = "queue.example"
	heartbeat    = 1500 * time.Millisecond
	holdMax      = 10 * time.Second
	gateMemoryMB = 284
	sideMemoryMB = 152
	restartDelay = 500 * time.Millisecond
)

var zones = []string{"limoilou", "hochelaga", "sainte-foy"}

// process is a program of the system on a machine of its own.
type process struct {
	name     string
	args     []string
	settings string
	memoryMB int64
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	removed  bool   // with its machine, so that it is not started again
	front    string // address for consumers, of a gate
}

// system is a small deployment.
type system struct {
	dir      string
	bin      string
	started  time.Time
	record   *os.File
	logMu    sync.Mutex
	store    *store
	gates    []*process
	relays   []*process
	workers  []*worker
	stopping atomic.Bool
	killed   map[string]int // how often a process ended by itself or was over its memory
	// peaks has the largest memory of each process, in MB.
	peaks  map[string]int64
	starts map[string][]string // by task
	ends   map[string][]string
	needs  map[string]amounts // by job
}

func (s *system) logf(format string, args ...any) {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// loopback returns the address of a machine: each has one of its own.
func loopback(n int) string { return fmt.Sprintf("127.0.%d.%d", 40+os.Getpid()%200, n+1) }

// taken has the addresses that freeAddr has returned.
var taken = map[string]bool{}

// freeAddr returns a free port at an address, another one each time.
func freeAddr(ip string) string {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		addr := l.Addr().String()
		_ = l.Close()
		if !taken[addr] {
			taken[addr] = true
			return addr
		}
	}
}

// render fills in a settings template as the platform does.
func render(template string, values map[string]string) string {
	for name, value := range values {
		template = strings.ReplaceAll(template, "{{"+name+"}}", value)
	}
	return template
}

// newSystem starts the store, gates in different zones, and workers with their relays.
func newSystem(record *os.File, gates, workers int, config func(s *system) map[string]any) (*system, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{
		dir: dir, bin: os.Getenv("CATKINPOINT"), started: time.Now(), record: record, store: newStore(), peaks: map[string]int64{}, killed: map[string]int{},
		starts: map[string][]string{}, ends: map[string][]string{}, needs: map[string]amounts{},
	}
	storeAddr := freeAddr(loopback(0))
	listener, err := net.Listen("tcp", storeAddr)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, s.store) }()
	s.store.put("op/config", config(s))
	for i := range gates {
		ip := loopback(10 + i)
		front := freeAddr(ip)
		p := &process{name: fmt.Sprintf("front-%s-1", zones[i%3]), memoryMB: gateMemoryMB, front: front}
		p.args = []string{"gate"}
		err := s.writeSettings(p, "deploy/gate.ini", map[string]string{
			"node": p.name, "zone": zones[i%3], "region": "r", "ip": ip, "port_range.0": port(freeAddr(ip)), "listen.front": front, "listen.ready": freeAddr(ip),
			"bounds.hold_max_ms": "10000", "bounds.grace_s": "6", "bounds.remote_factor": "3", "platform.address": storeAddr,
			"limits.memory_mb": strconv.Itoa(gateMemoryMB), "limits.cpu_share": "0.4", "limits.cores": "1",
		}, port(freeAddr(ip)))
		if err != nil {
			return nil, err
		}
		s.gates = append(s.gates, p)
	}
	for i := range workers {
		ip := loopback(100 + i)
		zone, control, app := zones[i%3], freeAddr(ip), freeAddr(ip)
		p := &process{name: fmt.Sprintf("side-%s-%d", zone, i/3+1), memoryMB: sideMemoryMB, args: []string{"relay"}}
		err := s.writeSettings(p, "deploy/relay.ini", map[string]string{
			"node": p.name, "zone": zone, "region": "r", "ip": ip, "port_range.0": port(freeAddr(ip)), "app": app, "listen.control": control,
			"platform.address": storeAddr, "limits.memory_mb": strconv.Itoa(sideMemoryMB),
		}, port(freeAddr(ip)))
		if err != nil {
			return nil, err
		}
		s.relays = append(s.relays, p)
		w := &worker{
			id: fmt.Sprintf("i-%08x", i+1), addr: app, control: control, zone: zone, rack: fmt.Sprintf("r%d-%d", i%3, i/9), log: s.logf,
			capacity: amounts{32000, 131072, 8},
			needOf: func(task string) amounts {
				s.logMu.Lock()
				defer s.logMu.Unlock()
				return s.needs[strings.Split(task, ".")[0]]
			},
		}
		w.onStart = func(task string, run int64) { s.noteRun(w.id, task, run, "") }
		w.onEnd = func(task string, run int64, how string) { s.noteRun(w.id, task, run, how) }
		s.workers = append(s.workers, w)
	}
	for _, p := range s.all() {
		if err := s.startProcess(p); err != nil {
			return nil, err
		}
		go s.watch(p)
	}
	for _, w := range s.workers {
		if err := w.start(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// maxNoted bounds the runs of one job that are written to the record.
const maxNoted = 40

// noteRun records the start of a run, or its end if how is set.
func (s *system) noteRun(worker, task string, run int64, how string) {
	id := strings.Split(task, ".")[0]
	s.logMu.Lock()
	list := s.starts
	if how != "" {
		list = s.ends
	}
	list[id] = append(list[id], fmt.Sprintf("%s#%d %s %s", task, run, worker, how))
	n := len(list[id])
	s.logMu.Unlock()
	switch {
	case n > maxNoted:
	case how == "":
		s.logf("run    %s#%d starts on %s", task, run, worker)
	default:
		s.logf("run    %s#%d ends on %s: %s", task, run, worker, how)
	}
}

// runsOf returns how many runs of a job's tasks started, and how many ended in a way.
func (s *system) runsOf(id, how string) (started, ended int) {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	for _, e := range s.ends[id] {
		if strings.HasSuffix(e, " "+how) {
			ended++
		}
	}
	return len(s.starts[id]), ended
}

func port(addr string) string { return addr[strings.LastIndex(addr, ":")+1:] }

func (s *system) writeSettings(p *process, template string, values map[string]string, metricsPort string) error {
	text, err := os.ReadFile(filepath.Join(os.Getenv("ROOT"), template))
	if err != nil {
		return err
	}
	filled := strings.ReplaceAll(render(string(text), values), "metrics_port = 9464", "metrics_port = "+metricsPort)
	p.settings = filepath.Join(s.dir, p.name+".ini")
	return os.WriteFile(p.settings, []byte(filled), 0o644)
}

// startProcess starts a program, with its log in a file.
func (s *system) startProcess(p *process) error {
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(s.bin, append(p.args, p.settings)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"CATKINPOINT_SETTINGS=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	s.logf("start  %s", p.name)
	return nil
}

// memoryMB returns the resident memory of a process, without that of mapped files.
func memoryMB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	resident, _ := strconv.ParseInt(fields[1], 10, 64)
	shared, _ := strconv.ParseInt(fields[2], 10, 64)
	return (resident - shared) * int64(os.Getpagesize()) >> 20
}

// watch does what the platform does with a process: it kills one that exceeds memory_mb, and
// starts one that has ended again after a short delay.
func (s *system) watch(p *process) {
	for range time.Tick(50 * time.Millisecond) {
		p.mu.Lock()
		cmd, ended, removed := p.cmd, p.ended, p.removed
		p.mu.Unlock()
		if s.stopping.Load() || removed {
			return
		}
		select {
		case <-ended:
			s.logf("ended  %s by itself: %v", p.name, cmd.ProcessState)
			s.noteEnd(p.name)
		default:
			used := memoryMB(cmd.Process.Pid)
			s.logMu.Lock()
			s.peaks[p.name] = max(s.peaks[p.name], used)
			s.logMu.Unlock()
			if used <= p.memoryMB {
				continue
			}
			s.logf("killed %s: it has %d MB of %d", p.name, used, p.memoryMB)
			s.noteEnd(p.name)
			_ = cmd.Process.Kill()
			<-ended
		}
		time.Sleep(restartDelay)
		if s.stopping.Load() {
			return
		}
		if err := s.startProcess(p); err != nil {
			s.logf("cannot start %s: %v", p.name, err)
			return
		}
	}
}

// remove ends a process for good.
func (p *process) remove() {
	p.mu.Lock()
	p.removed = true
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	_ = cmd.Process.Kill() // fails if it has ended
	<-ended
}

func (s *system) noteEnd(name string) {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	s.killed[name]++
}

// endedProcesses returns how often each process ended by itself or was over its memory.
func (s *system) endedProcesses() map[string]int {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	return maps.Clone(s.killed)
}

// all returns the programs of the system.
func (s *system) all() []*process { return append(append([]*process{}, s.gates...), s.relays...) }

// stop ends all processes.
func (s *system) stop() {
	s.stopping.Store(true)
	time.Sleep(restartDelay + 200*time.Millisecond)
	for _, p := range s.all() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// call sends a consumer's request on a new channel and returns the status and body of the
// answer; 0 means that there is none within the time budget.
func (s *system) call(gate *process, method, path, key string, body any, budget time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	var data []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		data = b
	default:
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gate.front+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	request.Host, request.Close = hostName, true
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Catkinpoint-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	request.Header.Set("Content-Type", "application/json")
	begun := time.Now()
	s.logf("sent   %s %s to %s, %d bytes", method, path, gate.name, len(data))
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		s.logf("answer %s %s: none: %v", method, path, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		s.logf("answer %s %s: cut off: %v", method, path, err)
		return 0, ""
	}
	s.logf("answer %s %s: %d %s after %d ms", method, path, response.StatusCode, strings.TrimSpace(string(text)), time.Since(begun).Milliseconds())
	return response.StatusCode, strings.TrimSpace(string(text))
}

// task is a step of a job, as consumers send it.
type step struct {
	Count      int    `json:"count"`
	CPU        int64  `json:"cpu,omitempty"`
	Memory     int64  `json:"mem_mb,omitempty"`
	GPU        int64  `json:"gpu,omitempty"`
	EstimateMS int64  `json:"estimate_ms"`
	Gang       bool   `json:"gang,omitempty"`
	Image      string `json:"image,omitempty"`
	Lasting    bool   `json:"long_running,omitempty"`
}

// job is the body of a submission.
type job struct {
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Repeats  int    `json:"repeats,omitempty"`
	StartMS  int64  `json:"start_time_ms,omitempty"`
	PeriodMS int64  `json:"period_ms,omitempty"`
}

// submit hands a job in, at the gates in turn, until it is accepted or rejected as often as
// consumers try.
func (s *system) submit(id, path, key string, body any) bool {
	const tries = 5
	for i := range tries {
		status, _ := s.call(s.gates[i%len(s.gates)], "POST", path+id, key, body, 3*time.Second)
		if status == 200 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// completed asks for a job's state until it is completed, for a time.
func (s *system) completed(id, path, key string, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		status, text := s.call(s.gates[i%len(s.gates)], "GET", path+id, key, nil, 3*time.Second)
		if status == 200 && strings.Contains(text, `"completed"`) {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// baseConfig is a configuration with one queue of each priority and two tenants.
func baseConfig(*system) map[string]any {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": prefix, "service": serviceName, "priority": priority, "max_attempts": 4, "slack_factor": 3.0, "target_latency_ms": 1500,
		}
	}
	return map[string]any{
		"version": 1, "limits": map[string]any{"max_body_bytes": 262144},
		"routes":   []any{route("urgent", "/urgent/", 0), route("normal", "/normal/", 1), route("bulk", "/bulk/", 2)},
		"services": []any{map[string]any{"name": serviceName, "admission_check": true}},
		"tenants": []any{
			map[string]any{"name": "tenant-a", "api_keys": []string{"key-a"}, "guaranteed": map[string]any{"gpu": 16}},
			map[string]any{"name": "tenant-b", "api_keys": []string{"key-b"}, "guaranteed": map[string]any{"gpu": 16}},
		},
	}
}
