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

// jobCall is one request for a job and what its caller got.
type jobCall struct {
	query         string
	tasks         int
	nonIdempotent bool
	body          []byte // sent; each task of the job returns it
	answer        *local.Answer
	err           error // set if there is no answer
}

// callKinds lists the kinds of requests in the load.
var callKinds = []jobCall{
	{query: "customer=clubs&job_class=scan&p.run_ms=100", tasks: 1},
	{query: "customer=league&job_class=order&p.run_ms=100", tasks: 1, nonIdempotent: true},
	{query: "customer=league&job_class=reconstruction&p.run_ms=300", tasks: 4, nonIdempotent: true},
}

// submitLoad submits jobs of all kinds at random from several callers for the given
// time, and returns all requests with their answers.
func (c *cluster) submitLoad(seed uint64, callers int, d time.Duration) []*jobCall {
	var (
		mu    sync.Mutex
		calls []*jobCall
		wg    sync.WaitGroup
	)
	end := time.Now().Add(d)
	for caller := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(caller)))
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				call := callKinds[rng.IntN(len(callKinds))]
				call.body = fmt.Appendf(nil, "caller %d request %d %x", caller, n, rng.Uint64())
				if rng.IntN(30) == 0 {
					call.body = bytes.Repeat(call.body, 100_000)
				}
				call.answer, call.err = local.Call(c.t.Context(), "POST", c.httpAddrs[rng.IntN(2)], "/v1/jobs?timeout=20s&"+call.query, call.body)
				mu.Lock()
				calls = append(calls, &call)
				mu.Unlock()
				if call.err != nil || call.answer.Fate != "done" {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	return calls
}

// checkAnswers checks the answers to the callers against the records of the
// endpoints, and returns the number of calls by fate.
func (c *cluster) checkAnswers(calls []*jobCall) map[string]int {
	c.t.Helper()
	started := startsByJob(c.endpointRecords())
	fates := make(map[string]int)
	for _, call := range calls {
		if call.err != nil {
			fates["no answer"]++
			continue
		}
		answer := call.answer
		fates[answer.Fate]++
		switch {
		case answer.Fate == "done" && !bytes.Equal(answer.Body, bytes.Repeat(call.body, call.tasks)):
			c.t.Errorf("answer: job %s (%s) did not return the bytes that were sent with it (%d bytes, want %d)", answer.JobID, call.query, len(answer.Body), len(call.body)*call.tasks)
		case answer.Fate == "not_run" && started[answer.JobID] > 0:
			c.t.Errorf("not_run: job %s (%s) was started %d times: %s", answer.JobID, call.query, started[answer.JobID], answer.Body)
		case answer.Fate == "failed":
			c.t.Logf("failed: job %s (%s): %s", answer.JobID, call.query, answer.Body)
		}
	}
	c.checkOnce(calls, started)
	return fates
}

// checkOnce checks that no job that is not idempotent had more starts than it has
// tasks. started holds the number of starts by job.
func (c *cluster) checkOnce(calls []*jobCall, started map[string]int) {
	for _, call := range calls {
		if call.err != nil || !call.nonIdempotent {
			continue
		}
		if n := started[call.answer.JobID]; n > call.tasks {
			c.t.Errorf("once: job %s (%s) of %d tasks was started %d times", call.answer.JobID, call.query, call.tasks, n)
		}
	}
}

// checkGangs checks that no gang ran with only a part of its members for longer than
// the limit: the members of an attempt end within that time of each other.
func (c *cluster) checkGangs(limit time.Duration) {
	c.t.Helper()
	type memberRun struct{ start, end time.Time }
	attempts := make(map[string][]memberRun)
	startEvents := make(map[string]fakeep.Event)
	for _, e := range c.endpointRecords() {
		switch e.Kind {
		case fakeep.KindStart:
			startEvents[e.Attempt] = e
		case fakeep.KindEnd, fakeep.KindStop:
			attempt := e.Attempt[:len(e.Attempt)-2] // without the dash and the rank, which has one digit
			attempts[attempt] = append(attempts[attempt], memberRun{startEvents[e.Attempt].Time, e.Time})
			delete(startEvents, e.Attempt)
		}
	}
	for attempt, runs := range attempts {
		first, last := runs[0], runs[0]
		for _, r := range runs {
			if r.end.Before(first.end) {
				first = r
			}
			if r.end.After(last.end) {
				last = r
			}
		}
		if partialTime := last.end.Sub(first.end); len(runs) > 1 && partialTime > limit {
			c.t.Errorf("gang: members of attempt %s ran for %s after the first had ended", attempt, partialTime)
		}
	}
}

// maxPartialGang is how long members of a gang may run after another has ended: the
// task lease of 3 s, and 0.5 s for signals and logs.
const maxPartialGang = 3500 * time.Millisecond

// Guards against answers that are lost, duplicate, false or meant for another
// caller while the scheduling process is killed and another takes over.
func TestKillScheduler(t *testing.T) {
	c := newCluster(t)
	c.warmUp()
	scheduler := c.schedulingEntry()
	go func() {
		time.Sleep(2 * time.Second)
		_ = c.entries[scheduler].cmd.Process.Kill()
		time.Sleep(2 * time.Second)
		c.entries[scheduler] = c.startEntry(scheduler)
	}()
	calls := c.submitLoad(1, 16, 16*time.Second)
	fates := c.checkAnswers(calls)
	t.Logf("fates: %v", fates)
	c.checkGangs(maxPartialGang)
	if fates["done"] < 50 {
		t.Errorf("only %d calls were done", fates["done"])
	}
	c.warmUp()
}

// Guards against jobs that are lost, run twice, or run with only a part of a gang
// when agents are killed, or frozen for longer than their leases.
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
	calls := c.submitLoad(2, 16, 14*time.Second)
	t.Logf("fates: %v", c.checkAnswers(calls))
	c.checkGangs(maxPartialGang)
	c.warmUp()
}

// Guards against starts on an expired permit: the data centre is taken out of
// service and the store goes down at once, so that the processes cannot read the
// change. No task may start later than the 3 s for which a permit is valid.
func TestDrainDuringOutage(t *testing.T) {
	c := newCluster(t)
	c.warmUp()
	drainedAt := make(chan time.Time, 1)
	go func() {
		time.Sleep(2 * time.Second)
		c.publishChange(&wire.Change{Id: "drain", Operations: []*wire.Operation{{
			BaseRevision: 1,
			Object: &wire.Object{Kind: "data_centre", Name: "keila", Body: &wire.Object_DataCentre{DataCentre: &wire.DataCentre{
				Region: "harju", InService: false, Workers: 4, AcceleratorsPerWorker: 8, WorkersPerRack: 2,
			}}},
		}}})
		drainedAt <- time.Now()
		c.setFaults(c.storeFaultAddr, struct {
			Down bool `json:"down"`
		}{true})
	}()
	calls := c.submitLoad(3, 16, 9*time.Second)
	t.Logf("fates: %v", c.checkAnswers(calls))
	const permitAge = 3 * time.Second
	drainTime := <-drainedAt
	lateStarts := 0
	for _, e := range c.endpointRecords() {
		if e.Kind == fakeep.KindStart && e.Time.Sub(drainTime) > permitAge {
			lateStarts++
			t.Errorf("drain_dc: task %s started %s after the data centre was taken out", e.Attempt, e.Time.Sub(drainTime))
		}
	}
	if lateStarts == 0 {
		t.Logf("no task started later than %s after the data centre was taken out", permitAge)
	}
}

// Guards against planned stops that interrupt requests: an agent and an entry get
// SIGTERM while jobs run.
func TestGracefulStops(t *testing.T) {
	c := newCluster(t)
	c.warmUp()
	stopped := make(chan error, 2)
	go func() {
		time.Sleep(2 * time.Second)
		_ = c.agents[0].cmd.Process.Signal(syscall.SIGTERM)
		_ = c.entries[1].cmd.Process.Signal(syscall.SIGTERM)
		stopped <- <-c.agents[0].ended
		stopped <- <-c.entries[1].ended
	}()
	calls := c.submitLoad(4, 12, 8*time.Second)
	fates := c.checkAnswers(calls)
	t.Logf("fates: %v", fates)
	for _, call := range calls {
		if call.err == nil && (call.answer.Fate == "failed" || call.answer.Fate == "unknown") {
			t.Errorf("graceful: job %s (%s) was told %s: %s", call.answer.JobID, call.query, call.answer.Fate, call.answer.Body)
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
