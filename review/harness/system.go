package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName  = "stone-care"
	queueHost    = "rink.example"
	queuePrefix  = "/scan/"
	tenantKey    = "key-of-the-club"
	budget       = 3 * time.Second
	restartDelay = time.Second
	maxAttempts  = 3

	contactTime   = 4 * time.Second
	cancelTime    = 3 * time.Second
	stopGraceTime = 900 * time.Millisecond
	visibleTime   = 3 * time.Second
)

// step and job are a job as consumers hand it in.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	Mem          int64  `json:"mem_mb"`
	GPU          int64  `json:"gpu"`
	EstimateMS   int64  `json:"estimate_ms"`
	Gang         bool   `json:"gang,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	MaxPerServer int    `json:"max_per_server,omitempty"`
	Image        string `json:"image,omitempty"`
}

type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
	work  time.Duration
}

// process is a program of the system on one machine. It is restarted when it ends, as
// the platform does.
type process struct {
	name string
	args []string
	env  []string
	log  io.Writer
	rec  *recorder
	mu   sync.Mutex
	cmd  *exec.Cmd
	// upSince is when the process was last started; stopped means that it is not
	// started again.
	upSince time.Time
	stopped bool
	ended   chan struct{} // closed when the present process has ended
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Env = p.log, p.log, p.env
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", p.name, err)
	}
	p.upSince, p.ended = time.Now(), make(chan struct{})
	p.rec.log("process %s: started", p.name)
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		p.rec.log("process %s: ended (%v)", p.name, err)
		close(ended)
		time.Sleep(restartDelay)
		_ = p.start()
	}(p.cmd, p.ended)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rec.log("process %s: %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

func (p *process) kill() {
	p.mu.Lock()
	p.stopped = true
	ended := p.ended
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// machine is a machine of the system.
type machine struct {
	name, zone, region, ip string
	process                *process
}

func (m *machine) jobAddr() string   { return m.ip + ":8521" }
func (m *machine) readyAddr() string { return m.ip + ":8523" }

// system is a small deployment.
type system struct {
	rec    *recorder
	dir    string
	store  *kvStore
	pool   *pool
	gates  []*machine
	relays []*machine // relays[i] is beside pool.workers[i]
	client *http.Client
	nextID int
}

var zones = []struct{ name, region string }{{"tallinn-north", "harju"}, {"tartu-ice", "tartu"}, {"keila", "harju"}}

// newSystem starts gates and workers with their relays.
func newSystem(rec *recorder, gateCount, workerCount int) (*system, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, dir: dir, store: newStore(), client: &http.Client{Timeout: 2 * budget}}
	s.pool = &pool{rec: rec, jobs: map[string]job{}}
	net1, net2 := 20+rand.IntN(200), 1+rand.IntN(250)
	ip := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", net1, net2, n) }
	config, _ := json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "band-scan", "host": queueHost, "prefix": queuePrefix, "service": serviceName, "priority": 1, "max_attempts": maxAttempts,
			"slack_factor": 3, "target_latency_ms": 1500, "timeout_ms": 3000, "public": false,
		}},
		"services": []map[string]any{{"name": serviceName, "admission_check": true, "health_path": "/health"}},
		"limits":   map[string]any{"max_body_bytes": 262144},
		"tenants":  []map[string]any{{"name": "club", "api_keys": []string{tenantKey}, "guaranteed": map[string]any{"gpu": 0}}},
	})
	s.store.put("op/config", string(config))
	for i := range gateCount {
		m := &machine{name: fmt.Sprintf("front-%d", i+1), zone: zones[i%3].name, region: zones[i%3].region, ip: ip(10 + i)}
		s.gates = append(s.gates, m)
		if err := s.startMachine(m, "gate", "deploy/gate.ini", map[string]string{
			"listen.front": m.jobAddr(), "listen.ready": m.readyAddr(), "limits.memory_mb": "284", "limits.cpu_share": "0.4",
		}); err != nil {
			return s, err
		}
	}
	go s.pool.advance()
	for i := range workerCount {
		m := &machine{name: fmt.Sprintf("side-%d", i+1), zone: zones[i%3].name, region: zones[i%3].region, ip: ip(50 + i)}
		s.relays = append(s.relays, m)
		w := &worker{
			pool: s.pool, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: m.zone, rack: fmt.Sprintf("r%d-%d", i%3+1, i/9+1), app: ip(150+i) + ":8080",
			control: m.ip + ":8526", born: time.Now(), running: map[string]*run{}, highest: map[string]int64{},
		}
		if err := serve(w.app, w); err != nil {
			return s, err
		}
		s.pool.mu.Lock()
		s.pool.workers = append(s.pool.workers, w)
		s.pool.mu.Unlock()
		if err := s.startMachine(m, "relay", "deploy/relay.ini", map[string]string{
			"app": w.app, "listen.control": w.control, "limits.memory_mb": "152",
		}); err != nil {
			return s, err
		}
		go w.beats()
	}
	return s, nil
}

func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

// startMachine fills in the settings template of a role, and starts its program as the
// deploy file says.
func (s *system) startMachine(m *machine, role, template string, values map[string]string) error {
	storeAddr := m.ip + ":9524"
	if err := serve(storeAddr, s.store.handler(m.name)); err != nil {
		return err
	}
	for name, value := range map[string]string{
		"node": m.name, "zone": m.zone, "region": m.region, "ip": m.ip, "port_range.0": "7000", "bounds.hold_max_ms": "10000", "bounds.grace_s": "6",
		"bounds.remote_factor": "3", "platform.address": storeAddr, "limits.cores": "1",
	} {
		values[name] = value
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	missing := error(nil)
	filled := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		value, ok := values[strings.Trim(p, "{}")]
		if !ok {
			missing = fmt.Errorf("no value for %s of %s", p, template)
		}
		return value
	})
	if missing != nil {
		return missing
	}
	path := filepath.Join(s.dir, m.name+".ini")
	if err := os.WriteFile(path, []byte(filled), 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, m.name+".log"))
	if err != nil {
		return err
	}
	m.process = &process{
		name: m.name, args: []string{"target/catkinpoint", role, path}, log: log, rec: s.rec,
		env: []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CATKINPOINT_SETTINGS=" + path},
	}
	return m.process.start()
}

// close ends all processes that were started.
func (s *system) close() {
	for _, m := range append(append([]*machine{}, s.gates...), s.relays...) {
		if m.process != nil {
			m.process.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// leader returns the gate that renewed a lease at the store last.
func (s *system) leader() *machine {
	for _, m := range s.gates {
		if m.name == s.store.leader() {
			return m
		}
	}
	return nil
}

// newJob returns a fresh id for a job, whose tasks work for its time.
func (s *system) newJob(j job) string {
	s.nextID++
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), s.nextID)
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.jobs[id] = j
	return id
}

// call sends a consumer's call to a gate and returns status and body. An error means
// that there was no answer.
func (s *system) call(m *machine, method, id, body string) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+m.jobAddr()+queuePrefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	request.Host, request.Close = queueHost, true
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	request.Header.Set("Catkinpoint-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	s.rec.log("consumer: %s %s at %s %s", method, queuePrefix+id, m.name, body)
	response, err := s.client.Do(request)
	if err != nil {
		s.rec.log("consumer: %s %s at %s: no answer: %v", method, queuePrefix+id, m.name, err)
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	s.rec.log("consumer: %s %s at %s: %d %s", method, queuePrefix+id, m.name, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode, string(text), err
}

// ready reports whether a gate is in rotation.
func (s *system) ready(m *machine) bool {
	response, err := s.client.Get("http://" + m.readyAddr() + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// callAny repeats a call at the gates in rotation, other than the excluded one, until
// one answers with success.
func (s *system) callAny(method, id, body string, exclude *machine, within time.Duration) error {
	last := errors.New("no gate is in rotation")
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, m := range s.gates {
			if m == exclude || !s.ready(m) {
				continue
			}
			status, text, err := s.call(m, method, id, body)
			if err == nil && status/100 == 2 {
				return nil
			}
			last = fmt.Errorf("%s %s: %d %s %w", method, id, status, text, err)
		}
	}
	return last
}

// submit hands a job in and returns its id.
func (s *system) submit(j job) (string, error) {
	id := s.newJob(j)
	body, _ := json.Marshal(j)
	return id, s.callAny(http.MethodPost, id, string(body), nil, 10*time.Second)
}

// state returns what the first gate in rotation shows as the state of a job.
func (s *system) state(id string) string {
	for _, m := range s.gates {
		if !s.ready(m) {
			continue
		}
		if status, text, err := s.call(m, http.MethodGet, id, ""); err == nil {
			var body struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(text), &body)
			if status == http.StatusOK {
				return body.State
			}
			return fmt.Sprint(status)
		}
	}
	return "unknown"
}

// until waits for a condition and fails if it does not come about in time.
func until(what string, within time.Duration, condition func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", within, what)
}

// task returns a job of tasks without a gang.
func tasks(count int, gpu int64, work time.Duration) job {
	return job{Spec: "scan", work: work, Steps: []step{{Count: count, CPU: 1000 * gpu, Mem: 1000 * gpu, GPU: gpu, EstimateMS: work.Milliseconds()}}}
}

// warmUp waits until the system completes a job.
func (s *system) warmUp() error {
	if err := until("a gate holds the duty and all are ready", 15*time.Second, func() bool {
		for _, m := range s.gates {
			if !s.ready(m) {
				return false
			}
		}
		return s.leader() != nil
	}); err != nil {
		return err
	}
	time.Sleep(2 * heartbeatPeriod)
	id, err := s.submit(tasks(len(s.relays), 4, 300*time.Millisecond))
	if err != nil {
		return err
	}
	return until("the first job is completed", 10*time.Second, func() bool { return s.state(id) == "completed" })
}
