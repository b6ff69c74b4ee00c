package procs

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"catkinpoint/local"
	"catkinpoint/stand/fakeep"
	"catkinpoint/wire"
)

// call is one request as its caller saw it.
type call struct {
	query  string
	tasks  int
	once   bool
	body   []byte
	answer *local.Answer
	err    error
}

var kinds = []call{
	{query: "customer=clubs&job_class=scan&p.run_ms=100", tasks: 1},
	{query: "customer=league&job_class=order&p.run_ms=100", tasks: 1, once: true},
	{query: "customer=league&job_class=reconstruction&p.run_ms=300", tasks: 4, once: true},
}

// load submits jobs of all kinds from several callers for the given time and
// returns what the callers saw.
func (c *cluster) load(seed uint64, callers int, d time.Duration) []*call {
	var (
		mu    sync.Mutex
		calls []*call
		wg    sync.WaitGroup
	)
	end := time.Now().Add(d)
	for caller := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(caller)))
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				made := kinds[random.IntN(len(kinds))]
				made.body = fmt.Appendf(nil, "caller %d request %d %x", caller, n, random.Uint64())
				if random.IntN(30) == 0 {
					made.body = bytes.Repeat(made.body, 100_000)
				}
				made.answer, made.err = local.Call(c.t.Context(), "POST", c.web[random.IntN(2)], "/v1/jobs?timeout=20s&"+made.query, made.body)
				mu.Lock()
				calls = append(calls, &made)
				mu.Unlock()
				if made.err != nil || made.answer.Fate != "done" {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	return calls
}

// judge compares what callers were told with what the endpoints recorded, and
// returns the number of calls by fate.
func (c *cluster) judge(calls []*call) map[string]int {
	c.t.Helper()
	started := starts(c.records())
	fates := make(map[string]int)
	for _, made := range calls {
		if made.err != nil {
			fates["no answer"]++
			continue
		}
		a := made.answer
		fates[a.Fate]++
		switch {
		case a.Fate == "done" && !bytes.Equal(a.Body, bytes.Repeat(made.body, made.tasks)):
			c.t.Errorf("answer: job %s (%s) returned other bytes than its own (%d, want %d)", a.JobID, made.query, len(a.Body), len(made.body)*made.tasks)
		case a.Fate == "not_run" && started[a.JobID] > 0:
			c.t.Errorf("not_run: job %s (%s) was started %d times: %s", a.JobID, made.query, started[a.JobID], a.Body)
		case a.Fate == "failed":
			c.t.Logf("failed: job %s (%s): %s", a.JobID, made.query, a.Body)
		}
	}
	c.judgeOnce(calls, started)
	return fates
}

func (c *cluster) judgeOnce(calls []*call, started map[string]int) {
	for _, made := range calls {
		if made.err != nil || !made.once {
			continue
		}
		if n := started[made.answer.JobID]; n > made.tasks {
			c.t.Errorf("once: job %s (%s) of %d tasks was started %d times", made.answer.JobID, made.query, made.tasks, n)
		}
	}
}

// judgeGangs checks that no gang ran with a part of its members for longer than
// the task lease: the members of an attempt overlap but for that time.
func (c *cluster) judgeGangs(lease time.Duration) {
	c.t.Helper()
	type run struct{ start, end time.Time }
	attempts := make(map[string][]run)
	open := make(map[string]fakeep.Event)
	for _, e := range c.records() {
		switch e.Kind {
		case fakeep.KindStart:
			open[e.Attempt] = e
		case fakeep.KindEnd, fakeep.KindStop:
			group := e.Attempt[:len(e.Attempt)-2] // one digit of rank
			attempts[group] = append(attempts[group], run{open[e.Attempt].Time, e.Time})
			delete(open, e.Attempt)
		}
	}
	for group, runs := range attempts {
		first, last := runs[0], runs[0]
		for _, r := range runs {
			if r.end.Before(first.end) {
				first = r
			}
			if r.end.After(last.end) {
				last = r
			}
		}
		if partial := last.end.Sub(first.end); len(runs) > 1 && partial > lease {
			c.t.Errorf("gang: members of %s ran for %s after the first had ended", group, partial)
		}
	}
}

// gangTolerance is the task lease of 3 s, and the time of signals and logs.
const gangTolerance = 3500 * time.Millisecond

// Guards against lost, crossed, doubled or false answers while the process that
// schedules is killed and another takes its duty.
func TestKillScheduler(t *testing.T) {
	c := newCluster(t)
	c.warmUp()
	holder := c.holder()
	go func() {
		time.Sleep(2 * time.Second)
		_ = c.entries[holder].cmd.Process.Kill()
		time.Sleep(2 * time.Second)
		c.entries[holder] = c.startEntry(holder)
	}()
	calls := c.load(1, 16, 16*time.Second)
	fates := c.judge(calls)
	t.Logf("fates: %v", fates)
	c.judgeGangs(gangTolerance)
	if fates["done"] < 50 {
		t.Errorf("only %d calls were done", fates["done"])
	}
	c.warmUp()
}

// Guards against work that is lost, doubled or partly run when agents are
// killed or frozen beyond their leases.
func TestKillAndFreezeAgents(t *testing.T) {
	c := newCluster(t)
	c.warmUp()
	go func() {
		time.Sleep(time.Second)
		_ = c.agents[1].cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Second)
		_ = c.agents[2].cmd.Process.Kill()
		time.Sleep(5 * time.Second)
		_ = c.agents[1].cmd.Process.Signal(syscall.SIGCONT)
		c.agents[2] = c.startAgent(2)
	}()
	calls := c.load(2, 16, 14*time.Second)
	t.Logf("fates: %v", c.judge(calls))
	c.judgeGangs(gangTolerance)
	c.warmUp()
}

// Guards against starts on an old permit: while the scheduling process is
// frozen or the store is down, the data centre is taken out, and nothing may
// start later than the permit's 3 s.
func TestDrainDuringOutage(t *testing.T) {
	c := newCluster(t)
	c.warmUp()
	took := make(chan time.Time, 1)
	go func() {
		time.Sleep(2 * time.Second)
		c.change(&wire.Change{Id: "drain", Operations: []*wire.Operation{{
			BaseRevision: 1,
			Object: &wire.Object{Kind: "data_centre", Name: "keila", Body: &wire.Object_DataCentre{DataCentre: &wire.DataCentre{
				Region: "harju", InService: false, Workers: 4, AcceleratorsPerWorker: 8, WorkersPerRack: 2,
			}}},
		}}})
		took <- time.Now()
		c.faults(c.kvFaults, struct {
			Down bool `json:"down"`
		}{true})
	}()
	calls := c.load(3, 16, 9*time.Second)
	t.Logf("fates: %v", c.judge(calls))
	const bound = 3 * time.Second
	drained := <-took
	late := 0
	for _, e := range c.records() {
		if e.Kind == fakeep.KindStart && e.Time.Sub(drained) > bound {
			late++
			t.Errorf("drain_dc: task %s started %s after the data centre was taken out", e.Attempt, e.Time.Sub(drained))
		}
	}
	if late == 0 {
		t.Logf("no start after %s", bound)
	}
}

// Guards against a planned stop that cuts a request: an agent and an entry get
// SIGTERM while jobs run.
func TestGracefulStops(t *testing.T) {
	c := newCluster(t)
	c.warmUp()
	stopped := make(chan error, 2)
	go func() {
		time.Sleep(2 * time.Second)
		_ = c.agents[0].cmd.Process.Signal(syscall.SIGTERM)
		_ = c.entries[1].cmd.Process.Signal(syscall.SIGTERM)
		stopped <- <-c.agents[0].done
		stopped <- <-c.entries[1].done
	}()
	calls := c.load(4, 12, 8*time.Second)
	fates := c.judge(calls)
	t.Logf("fates: %v", fates)
	for _, made := range calls {
		if made.err == nil && (made.answer.Fate == "failed" || made.answer.Fate == "unknown") {
			t.Errorf("graceful: job %s (%s) was told %s: %s", made.answer.JobID, made.query, made.answer.Fate, made.answer.Body)
		}
	}
	for range 2 {
		select {
		case err := <-stopped:
			if err != nil {
				t.Errorf("graceful: a process ended with %v", err)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("graceful: a process did not end")
		}
	}
}
