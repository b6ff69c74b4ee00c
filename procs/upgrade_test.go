package procs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/platform/stand"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// earlierRevision is a revision whose schedulers do not know crashes of workers.
const earlierRevision = "e518d59"

// buildEarlier compiles the program of earlierRevision and returns the folder of the
// binary.
func buildEarlier(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	source := filepath.Join(dir, "source")
	if err := os.Mkdir(source, 0o755); err != nil {
		t.Fatal(err)
	}
	archive := exec.Command("git", "archive", "--output", filepath.Join(dir, "source.tar"), earlierRevision, "--", ".", ":!journal", ":!docs")
	archive.Dir = ".."
	if out, err := archive.CombinedOutput(); err != nil {
		t.Fatalf("the history must hold %s: %v: %s", earlierRevision, err, out)
	}
	if out, err := exec.Command("tar", "-xf", filepath.Join(dir, "source.tar"), "-C", source).CombinedOutput(); err != nil {
		t.Fatalf("unpacking %s: %v: %s", earlierRevision, err, out)
	}
	build := exec.Command("go", "build", "-o", dir, "./cmd/catkinpoint")
	build.Dir = source
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building %s: %v: %s", earlierRevision, err, out)
	}
	return dir
}

// site is the users' platform in this process, with gates and relays as processes of
// their own.
type site struct {
	cluster
	kv       *fakekv.Server
	programs map[string]string // folder of the binary, by build
	jobAddrs []netip.AddrPort  // of the gates
	gates    []*process
	relays   []*process
	workers  []*stand.Worker
	queries  int
}

const (
	gateCount   = 2
	workerCount = 4
)

// newSite starts gates, workers and relays, all of the given build.
func newSite(t *testing.T, build string) *site {
	t.Helper()
	s := &site{cluster: cluster{t: t, dir: t.TempDir()}, kv: fakekv.New(), programs: map[string]string{"earlier": buildEarlier(t), "present": binaries}}
	server := httptest.NewServer(stand.StoreHandler(s.kv))
	t.Cleanup(server.CloseClientConnections)
	s.storeAddr = netip.MustParseAddrPort(server.Listener.Addr().String())
	s.put("op/config", `{"version":1,"routes":[{"name":"q","host":"jobs","prefix":"/q/","service":"care","priority":1,"max_attempts":3,"slack_factor":3,"public":true}],"services":[{"name":"care","admission_check":true}],"tenants":[]}`)
	for n := range gateCount {
		addrs := fmt.Sprintf("rpc_address = %s\n[gate]\njob_address = %%s\nready_address = %s\ntask_lease = 6s\ndrain_time = 1s\nremote_factor = 3\n", freeAddr(t), freeAddr(t))
		s.jobAddrs = append(s.jobAddrs, freeAddr(t))
		s.writeSettings(fmt.Sprint("gate-", n), fmt.Sprintf(addrs, s.jobAddrs[n]))
		s.gates = append(s.gates, s.startBuild("gate", n, build))
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for n := range workerCount {
		workerAddr, relayAddr := freeAddr(t), freeAddr(t)
		s.writeSettings(fmt.Sprint("relay-", n), fmt.Sprintf("rpc_address = %s\n[relay]\nworker_address = %s\nheartbeat_address = %s\n", freeAddr(t), workerAddr, relayAddr))
		s.relays = append(s.relays, s.startBuild("relay", n, build))
		w := stand.NewWorker(fmt.Sprint("w", n), workerAddr, relayAddr, 500*time.Millisecond)
		s.workers = append(s.workers, w)
		go func() {
			if err := w.Run(ctx); err != nil {
				t.Error(err)
			}
		}()
	}
	return s
}

// writeSettings writes the settings file of a process. text begins with the last key
// of its section node.
func (s *site) writeSettings(name, text string) {
	s.t.Helper()
	text = fmt.Sprintf("[node]\nid = %s\ndata_centre = keila\nregion = harju\n%s[platform]\nstore_address = %s\n", name, text, s.storeAddr)
	if err := os.WriteFile(filepath.Join(s.dir, name+".ini"), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// startBuild starts a gate or a relay of a build.
func (s *site) startBuild(role string, n int, build string) *process {
	s.t.Helper()
	name := fmt.Sprint(role, "-", n)
	program, err := filepath.Rel(binaries, filepath.Join(s.programs[build], "catkinpoint"))
	if err != nil {
		s.t.Fatal(err)
	}
	return s.start(name, program, role, filepath.Join(s.dir, name+".ini"))
}

// replace ends processes one after the other with a signal and starts them again with
// another build.
func (s *site) replace(role string, processes []*process, build string, signal syscall.Signal) {
	s.t.Helper()
	for n, p := range processes {
		if err := p.cmd.Process.Signal(signal); err != nil {
			s.t.Fatal(err)
		}
		<-p.ended
		processes[n] = s.startBuild(role, n, build)
		time.Sleep(500 * time.Millisecond)
	}
}

// put stores the value of a key.
func (s *site) put(key, value string) {
	s.t.Helper()
	if _, err := s.kv.Commit(s.t.Context(), store.Txn{Writes: []store.Write{{Key: key, Value: []byte(value)}}}); err != nil {
		s.t.Fatal(err)
	}
}

// call sends a caller's request to the gates in turn until one answers with success,
// and returns its body.
func (s *site) call(method, job, body string) string {
	s.t.Helper()
	last := error(nil)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		s.queries++
		request, err := http.NewRequestWithContext(s.t.Context(), method, fmt.Sprintf("http://%s/q/%s", s.jobAddrs[s.queries%gateCount], job), strings.NewReader(body))
		if err != nil {
			s.t.Fatal(err)
		}
		request.Host = "jobs"
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			last = err
			continue
		}
		answer, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return string(answer)
		}
		last = errors.Join(err, fmt.Errorf("status %d: %s", response.StatusCode, answer))
	}
	s.t.Fatalf("%s of job %s: %v", method, job, last)
	return ""
}

// submit submits a job of some tasks.
func (s *site) submit(job, spec string, tasks int) {
	s.t.Helper()
	s.call(http.MethodPost, job, fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":500}]}`, spec, tasks))
}

// awaitState waits until a job is in a state.
func (s *site) awaitState(job, want string) {
	s.t.Helper()
	got := ""
	for deadline := time.Now().Add(25 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if got = s.call(http.MethodGet, job, ""); strings.Contains(got, want) {
			return
		}
	}
	s.t.Fatalf("job %s: %s; want %s", job, got, want)
}

// starts returns how often the tasks of a job were started.
func (s *site) starts(job string) int {
	n := 0
	for _, w := range s.workers {
		for _, start := range w.Starts() {
			if strings.HasPrefix(start.Task, job) {
				n++
			}
		}
	}
	return n
}

// awaitStarts waits until the tasks of a job were started a number of times.
func (s *site) awaitStarts(job string, atLeast int) {
	s.t.Helper()
	for deadline := time.Now().Add(25 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if s.starts(job) >= atLeast {
			return
		}
	}
	s.t.Fatalf("job %s was started %d times; want at least %d", job, s.starts(job), atLeast)
}

// crashes returns the stored crashes under a job.
func (s *site) crashes(job string) *flow.JobCrashes {
	s.t.Helper()
	record := &flow.JobCrashes{}
	item, err := s.kv.Get(s.t.Context(), duty.CrashKey(job))
	if errors.Is(err, store.ErrNotFound) {
		return record
	}
	if err != nil {
		s.t.Fatal(err)
	}
	if err := proto.Unmarshal(item.Value, record); err != nil {
		s.t.Fatal(err)
	}
	return record
}

// Processes of this build and of one that does not know crashes run side by side while
// they are replaced one after the other, in both directions, on the same records. What
// is known of a task's crashes must not be lost with it, no job may be taken for
// another's fault, and each job keeps the fate that its caller was told.
func TestBuildsSideBySide(t *testing.T) {
	const (
		good1, good2, good3, good4     = "00000000000000a1", "00000000000000a2", "00000000000000a3", "00000000000000a4"
		crash1, crash2, crash3, crash4 = "00000000000000c1", "00000000000000c2", "00000000000000c3", "00000000000000c4"
	)
	s := newSite(t, "earlier")
	s.submit(good1, "good", 6)
	s.submit(crash1, stand.CrashingSpec, 1)
	s.awaitStarts(crash1, 3) // without end, with the earlier build

	s.replace("gate", s.gates, "present", syscall.SIGTERM)
	before := s.starts(crash1)
	s.awaitState(crash1, "failed")
	if more := s.starts(crash1) - before; more > 5 {
		t.Errorf("%d starts by schedulers of this build beside earlier relays; want at most 5", more)
	}
	s.awaitState(good1, "completed")
	s.submit(good2, "good", 6)
	s.submit(crash2, stand.CrashingSpec, 1)
	s.replace("relay", s.relays, "present", syscall.SIGTERM)
	s.awaitState(crash2, "failed")
	s.awaitState(good2, "completed")

	// The earlier build takes over after a single crash and rewrites the job's progress.
	s.submit(crash3, stand.CrashingSpec, 1)
	for deadline := time.Now().Add(20 * time.Second); len(s.crashes(crash3).GetCrashes()) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no crash was stored")
		}
	}
	s.replace("gate", s.gates, "earlier", syscall.SIGKILL)
	s.awaitStarts(crash3, s.starts(crash3)+8)
	s.submit(good3, "good", 6)
	for job, state := range map[string]string{good1: "completed", good2: "completed", crash1: "failed", crash2: "failed"} {
		s.awaitState(job, state) // as the earlier build reads it
	}
	kept := s.crashes(crash3).GetCrashes()
	if len(kept) == 0 || kept[0].GetRun() != 1 {
		t.Errorf("crashes after the earlier build: %v; want that of run 1", kept)
	}

	s.replace("gate", s.gates, "present", syscall.SIGTERM)
	before = s.starts(crash3)
	s.awaitState(crash3, "failed")
	if more := s.starts(crash3) - before; more > 2 {
		t.Errorf("%d starts after this build took over again; want at most 2, as earlier crashes are known", more)
	}
	s.awaitState(good3, "completed")
	s.submit(good4, "good", 6)
	s.submit(crash4, stand.CrashingSpec, 1)
	s.awaitState(crash4, "failed")
	s.awaitState(good4, "completed")
	if starts := s.starts(crash4); starts > 3 {
		t.Errorf("%d starts of a task that crashes its workers, with this build alone; want at most 3", starts)
	}
	for job, state := range map[string]string{good1: "completed", good2: "completed", good3: "completed", crash1: "failed", crash2: "failed", crash3: "failed"} {
		s.awaitState(job, state)
	}
}
