package procs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"catkinpoint/decl"
	"catkinpoint/head"
	"catkinpoint/local"
	"catkinpoint/stand/fakeep"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// binaries is the folder of the programs under test.
var binaries string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "procs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "catkinpoint/cmd/catkinpoint", "catkinpoint/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one process under test.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan error
}

func (c *cluster) start(name, program string, args ...string) *process {
	c.t.Helper()
	p := &process{name: name, log: filepath.Join(c.dir, name+".log"), done: make(chan error, 1)}
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		c.t.Fatal(err)
	}
	defer file.Close()
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	if err := p.cmd.Start(); err != nil {
		c.t.Fatalf("start %s: %v", name, err)
	}
	go func() { p.done <- p.cmd.Wait() }()
	c.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // it may have ended
		_ = p.cmd.Process.Kill()
	})
	return p
}

// cluster is a running system.
type cluster struct {
	t         *testing.T
	dir       string
	kv        netip.AddrPort
	kvFaults  netip.AddrPort
	web       []netip.AddrPort
	rpc       []netip.AddrPort
	entries   []*process
	agents    []*process
	settings  []string         // of the agents
	endpoints []netip.AddrPort // fault ports
}

const declarations = `
[data_centre keila]
region = harju
workers = 4
workers_per_rack = 2
[service stone-care]
[customer league]
[customer clubs]
[job_class scan]
service = stone-care
idempotent = true
expected_run_time = 100ms
[job_class order]
service = stone-care
expected_run_time = 100ms
[job_class reconstruction]
service = stone-care
tasks = 4
accelerators = 4
adjacency = rack
expected_run_time = 500ms
`

// newCluster starts a store, two entries, and four workers in two racks.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), kv: freeAddr(t), kvFaults: freeAddr(t)}
	t.Cleanup(c.showLogs)
	c.start("store", "standin", "kv", "--listen", c.kv.String(), "--fault-listen", c.kvFaults.String())
	c.publish()
	for i := range 2 {
		c.web, c.rpc = append(c.web, freeAddr(t)), append(c.rpc, freeAddr(t))
		c.entries = append(c.entries, c.startEntry(i))
	}
	for i := range 4 {
		c.startWorker(i)
	}
	return c
}

func (c *cluster) showLogs() {
	if !c.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, name := range logs {
		text, err := os.ReadFile(name)
		if err == nil {
			c.t.Logf("%s:\n%s", filepath.Base(name), text[max(0, len(text)-3000):])
		}
	}
}

func (c *cluster) write(name, text string) string {
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		c.t.Fatal(err)
	}
	return path
}

func (c *cluster) publish() {
	c.t.Helper()
	source, err := decl.Parse("test.ini", []byte(declarations))
	if err != nil {
		c.t.Fatal(err)
	}
	var objects []*wire.Object
	for o := range source.Set(0).Objects() {
		objects = append(objects, o)
	}
	c.change(&wire.Change{Id: "first", Operations: decl.Diff(&decl.Set{}, objects, false)})
}

// change publishes a change, waiting for the store to be there.
func (c *cluster) change(change *wire.Change) {
	c.t.Helper()
	change.Author, change.Reason = "test", "test"
	publisher := head.NewPublisher(head.NewFollower(store.New(c.kv, store.Options{})), head.Options{})
	c.eventually(10*time.Second, "the change is published", func() error {
		_, err := publisher.Publish(c.t.Context(), change, false)
		return err
	})
}

func (c *cluster) startEntry(i int) *process {
	path := c.write(fmt.Sprintf("entry-%d.ini", i), fmt.Sprintf(`
[node]
id = entry-%d
data_centre = keila
region = harju
rpc_address = %s
http_address = %s
[entry]
store_address = %s
`, i, c.rpc[i], c.web[i], c.kv))
	return c.start(fmt.Sprintf("entry-%d", i), "catkinpoint", "serve", path)
}

func (c *cluster) startWorker(i int) {
	endpoint, faults := freeAddr(c.t), freeAddr(c.t)
	c.start(fmt.Sprintf("endpoint-%d", i), "standin", "endpoint", "--listen", endpoint.String(), "--fault-listen", faults.String())
	c.endpoints = append(c.endpoints, faults)
	c.settings = append(c.settings, c.write(fmt.Sprintf("agent-%d.ini", i), fmt.Sprintf(`
[node]
id = agent-%d
data_centre = keila
region = harju
rpc_address = %s
[agent]
entry_addresses = %s, %s
endpoint_address = %s
service = stone-care
worker = keila-%d
rack = keila-rack-%d
`, i, freeAddr(c.t), c.rpc[0], c.rpc[1], endpoint, i, i/2)))
	c.agents = append(c.agents, c.startAgent(i))
}

func (c *cluster) startAgent(i int) *process {
	return c.start(fmt.Sprintf("agent-%d", i), "catkinpoint", "agent", c.settings[i])
}

// eventually repeats f until it returns nil.
func (c *cluster) eventually(within time.Duration, what string, f func() error) {
	c.t.Helper()
	deadline := time.Now().Add(within)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %s: %s: %v", within, what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// submit sends a job to an entry until the system takes it.
func (c *cluster) submit(entry int, query string, body []byte) (*local.Answer, error) {
	return local.Submit(c.t.Context(), c.web[entry], query, body)
}

// warmUp waits until a job of each kind is done.
func (c *cluster) warmUp() {
	c.t.Helper()
	for _, class := range []string{"scan", "reconstruction"} {
		c.eventually(20*time.Second, class+" is done", func() error {
			answer, err := c.submit(0, "customer=clubs&job_class="+class, []byte("x"))
			if err == nil && answer.Fate != "done" {
				err = fmt.Errorf("fate %s: %s", answer.Fate, answer.Body)
			}
			return err
		})
	}
}

// faults sets the faults of a stand-in through its fault port.
func (c *cluster) faults(addr netip.AddrPort, body any) {
	c.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+addr.String()+"/faults", bytes.NewReader(data))
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		c.t.Fatalf("faults %s: status %d: %s", data, response.StatusCode, text)
	}
}

// records returns what all endpoints did, in their own words.
func (c *cluster) records() []fakeep.Event {
	c.t.Helper()
	var all []fakeep.Event
	for _, addr := range c.endpoints {
		response, err := http.Get("http://" + addr.String() + "/record")
		if err != nil {
			c.t.Fatal(err)
		}
		var events []fakeep.Event
		err = json.NewDecoder(response.Body).Decode(&events)
		response.Body.Close()
		if err != nil {
			c.t.Fatal(err)
		}
		all = append(all, events...)
	}
	return all
}

// starts counts the starts of each job.
func starts(events []fakeep.Event) map[string]int {
	counts := make(map[string]int)
	for _, e := range events {
		if e.Kind == fakeep.KindStart {
			counts[jobOf(e.Attempt)]++
		}
	}
	return counts
}

func jobOf(attempt string) string {
	job, _, _ := strings.Cut(attempt, ".")
	return job
}

// holder is the number of the entry that schedules the data centre.
func (c *cluster) holder() int {
	c.t.Helper()
	number := -1
	c.eventually(10*time.Second, "an entry knows the holder of the duty", func() error {
		answer, err := local.Call(c.t.Context(), http.MethodGet, c.web[0], "/v1/status", nil)
		if err != nil {
			return err
		}
		var status struct {
			Duties []struct {
				Holder string `json:"holder"`
			} `json:"duties"`
		}
		if err := json.Unmarshal(answer.Body, &status); err != nil {
			return err
		}
		for i := range c.entries {
			if len(status.Duties) == 1 && status.Duties[0].Holder == fmt.Sprintf("entry-%d", i) {
				number = i
				return nil
			}
		}
		return fmt.Errorf("no holder: %s", answer.Body)
	})
	return number
}
