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

// binaries is the folder of the compiled programs under test.
var binaries string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests compiles the programs into a temporary folder, runs the tests and
// returns the exit code.
func runTests(m *testing.M) int {
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
	name    string
	cmd     *exec.Cmd
	logPath string
	ended   chan error // gets the error of its end, nil after status 0
}

// start starts a program with its output in a log file. The process is killed at
// the end of the test.
func (c *cluster) start(name, program string, args ...string) *process {
	c.t.Helper()
	p := &process{name: name, logPath: filepath.Join(c.dir, name+".log"), ended: make(chan error, 1)}
	file, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		c.t.Fatal(err)
	}
	defer file.Close()
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	if err := p.cmd.Start(); err != nil {
		c.t.Fatalf("starting %s: %v", name, err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
	c.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // fails if the process has ended
		_ = p.cmd.Process.Kill()
	})
	return p
}

// cluster is a system whose parts run as processes of their own.
type cluster struct {
	t                  *testing.T
	dir                string // of the settings and logs
	storeAddr          netip.AddrPort
	storeFaultAddr     netip.AddrPort
	httpAddrs          []netip.AddrPort // of the entries
	rpcAddrs           []netip.AddrPort // of the entries
	entries            []*process
	agents             []*process
	agentSettings      []string         // paths of the agents' settings files
	endpointFaultAddrs []netip.AddrPort // fault ports of the endpoints
}

// declarations is the configuration that newCluster publishes.
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

// newCluster starts the stand-in of the store, two entries, and four workers in two
// racks.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), storeAddr: freeAddr(t), storeFaultAddr: freeAddr(t)}
	t.Cleanup(c.showLogs)
	c.start("store", "standin", "kv", "--listen", c.storeAddr.String(), "--fault-listen", c.storeFaultAddr.String())
	c.publishDeclarations()
	for i := range 2 {
		c.httpAddrs, c.rpcAddrs = append(c.httpAddrs, freeAddr(t)), append(c.rpcAddrs, freeAddr(t))
		c.entries = append(c.entries, c.startEntry(i))
	}
	for i := range 4 {
		c.startWorker(i)
	}
	return c
}

// showLogs adds the end of the log of each process to the output of a failed test.
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

// writeFile writes a file into the cluster's folder and returns its path.
func (c *cluster) writeFile(name, text string) string {
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// publishDeclarations publishes declarations as the first change.
func (c *cluster) publishDeclarations() {
	c.t.Helper()
	source, err := decl.Parse("test.ini", []byte(declarations))
	if err != nil {
		c.t.Fatal(err)
	}
	var objects []*wire.Object
	for o := range source.Set(0).Objects() {
		objects = append(objects, o)
	}
	c.publishChange(&wire.Change{Id: "first", Operations: decl.Diff(&decl.Set{}, objects, false)})
}

// publishChange publishes a configuration change. It retries for 10 s, because the
// store may still be starting.
func (c *cluster) publishChange(change *wire.Change) {
	c.t.Helper()
	change.Author, change.Reason = "test", "test"
	publisher := head.NewPublisher(head.NewFollower(store.New(c.storeAddr, store.Options{})), head.Options{})
	c.eventually(10*time.Second, "the change is published", func() error {
		_, err := publisher.Publish(c.t.Context(), change, false)
		return err
	})
}

// startEntry writes the settings of an entry and starts it.
func (c *cluster) startEntry(i int) *process {
	path := c.writeFile(fmt.Sprintf("entry-%d.ini", i), fmt.Sprintf(`
[node]
id = entry-%d
data_centre = keila
region = harju
rpc_address = %s
http_address = %s
[entry]
store_address = %s
`, i, c.rpcAddrs[i], c.httpAddrs[i], c.storeAddr))
	return c.start(fmt.Sprintf("entry-%d", i), "catkinpoint", "serve", path)
}

// startWorker starts the endpoint and the agent of a worker.
func (c *cluster) startWorker(i int) {
	endpoint, faults := freeAddr(c.t), freeAddr(c.t)
	c.start(fmt.Sprintf("endpoint-%d", i), "standin", "endpoint", "--listen", endpoint.String(), "--fault-listen", faults.String())
	c.endpointFaultAddrs = append(c.endpointFaultAddrs, faults)
	c.agentSettings = append(c.agentSettings, c.writeFile(fmt.Sprintf("agent-%d.ini", i), fmt.Sprintf(`
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
`, i, freeAddr(c.t), c.rpcAddrs[0], c.rpcAddrs[1], endpoint, i, i/2)))
	c.agents = append(c.agents, c.startAgent(i))
}

// startAgent starts the agent of a worker with the settings that it has.
func (c *cluster) startAgent(i int) *process {
	return c.start(fmt.Sprintf("agent-%d", i), "catkinpoint", "agent", c.agentSettings[i])
}

// eventually calls f until it returns nil, and ends the test if it does not within
// the given time; what says in the failure message what was expected.
func (c *cluster) eventually(within time.Duration, what string, f func() error) {
	c.t.Helper()
	deadline := time.Now().Add(within)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("not true within %s: %s: %v", within, what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// submit submits a job to an entry, again while the system is still starting.
func (c *cluster) submit(entry int, query string, body []byte) (*local.Answer, error) {
	return local.Submit(c.t.Context(), c.httpAddrs[entry], query, body)
}

// warmUp waits until a job of one task and a gang have been done.
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

// setFaults sets the faults of a stand-in; addr is its fault port.
func (c *cluster) setFaults(addr netip.AddrPort, body any) {
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
		c.t.Fatalf("setting the faults %s: status %d: %s", data, response.StatusCode, text)
	}
}

// endpointRecords returns the events that all endpoints recorded.
func (c *cluster) endpointRecords() []fakeep.Event {
	c.t.Helper()
	var all []fakeep.Event
	for _, addr := range c.endpointFaultAddrs {
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

// startsByJob returns the number of task starts of each job.
func startsByJob(events []fakeep.Event) map[string]int {
	counts := make(map[string]int)
	for _, e := range events {
		if e.Kind == fakeep.KindStart {
			counts[jobID(e.Attempt)]++
		}
	}
	return counts
}

// jobID returns the id of the job of an attempt, or of a task in it.
func jobID(attempt string) string {
	job, _, _ := strings.Cut(attempt, ".")
	return job
}

// schedulingEntry returns the number of the entry that schedules the data centre,
// as the first entry shows it.
func (c *cluster) schedulingEntry() int {
	c.t.Helper()
	number := -1
	c.eventually(10*time.Second, "the status of entry-0 names the entry that schedules the data centre", func() error {
		answer, err := local.Call(c.t.Context(), http.MethodGet, c.httpAddrs[0], "/v1/status", nil)
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
		return fmt.Errorf("the status names no entry as the holder of the only duty: %s", answer.Body)
	})
	return number
}
