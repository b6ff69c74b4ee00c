package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/gang"
	"catkinpoint/link"
	"catkinpoint/permit"
	"catkinpoint/stand/pipe"
	"catkinpoint/wire"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// fakeEndpoint runs every task until the first stop, and counts the calls.
type fakeEndpoint struct {
	mu               sync.Mutex
	calls            map[string]int // by operation, the last part of the path; "start" for a start
	checkpointStatus int            // HTTP status of a response to a checkpoint
	stopped          chan struct{}
	stopOnce         sync.Once
	silentRenewals   int       // renewals that get no answer before the others do
	leaseFrom        time.Time // of the start or the last answered renewal
	longestGap       time.Duration
}

// ServeHTTP implements the endpoint's protocol.
func (f *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(r.URL.Path, "/")
	operation := parts[len(parts)-1]
	if r.Method == http.MethodGet {
		_, _ = io.WriteString(w, "[]")
		return
	}
	if len(parts) == 3 {
		operation = "start"
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
	}
	f.mu.Lock()
	f.calls[operation]++
	status := f.checkpointStatus
	silent := operation == "renew" && f.calls[operation] <= f.silentRenewals
	if operation == "start" {
		f.leaseFrom = time.Now()
	}
	if operation == "renew" && !silent {
		f.longestGap = max(f.longestGap, time.Since(f.leaseFrom))
		f.leaseFrom = time.Now()
	}
	f.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	switch operation {
	case "checkpoint":
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"worked_ms": 7}`)
	case "stop":
		f.stopOnce.Do(func() { close(f.stopped) })
	case "start":
		select {
		case <-f.stopped:
		case <-r.Context().Done():
		}
		w.WriteHeader(http.StatusConflict)
	}
}

func (f *fakeEndpoint) count(operation string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[operation]
}

// runWithAgent calls f with an agent of 8 accelerators and 2 slots that runs
// within a synctest bubble, and with its endpoint.
func runWithAgent(t *testing.T, f func(t *testing.T, c *commands, endpoint *fakeEndpoint)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		agentAddr := netip.MustParseAddrPort("127.0.0.1:1000")
		httpListener, rpcListener := pipe.New(agentAddr), pipe.New(agentAddr)
		endpoint := &fakeEndpoint{calls: make(map[string]int), checkpointStatus: http.StatusOK, stopped: make(chan struct{})}
		server := &http.Server{Handler: endpoint}
		go server.Serve(httpListener)
		a, err := New(Options{
			Worker: "w", Service: "s", Address: agentAddr, Endpoint: agentAddr, Accelerators: 8, Slots: 2, Connections: 8,
			ReportPeriod: time.Second, TaskLease: 3 * time.Second, PermitAge: 3 * time.Second, Timers: gang.DefaultTimers(),
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				return httpListener.Dial(ctx, network, address)
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- a.Run(ctx, rpcListener) }()
		synctest.Wait()
		f(t, &commands{agent: a}, endpoint)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		_ = server.Close()
	})
}

// setPermit gives the agent a permit that was read the given time ago.
func (c *commands) setPermit(age time.Duration, outOfService bool) {
	c.agent.control.Post(func(s *state) {
		s.permit = permit.Permit{InService: !outOfService, Version: s.permit.Version + 1, ReadAt: time.Now().Add(-age)}
	})
}

func (c *commands) mustPrepare(t *testing.T, epoch int64, id string) wire.TaskState {
	t.Helper()
	response := new(wire.TaskResponse)
	job := &wire.Job{Id: "job", Service: "s", Tasks: 1, Accelerators: 4}
	if err := c.Prepare(&wire.PrepareRequest{Epoch: epoch, Attempt: id, Job: job}, response); err != nil {
		t.Fatal(err)
	}
	return response.GetStatus().GetState()
}

func (c *commands) mustStart(t *testing.T, epoch int64, id string) {
	t.Helper()
	request := &wire.StartRequest{Epoch: epoch, Attempt: id, Members: make([]*wire.Member, 1)}
	if err := c.Start(request, new(wire.TaskResponse)); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

func (c *commands) mustQuery(t *testing.T, epoch int64, id string) *wire.TaskStatus {
	t.Helper()
	response := new(wire.TaskResponse)
	if err := c.Query(&wire.QueryRequest{Epoch: epoch, Attempt: id}, response); err != nil {
		t.Fatal(err)
	}
	return response.GetStatus()
}

// TestStartNeedsPermit guards against starting a task without a permit that is valid
// at that moment; the task must be refused and count as never started.
func TestStartNeedsPermit(t *testing.T) {
	tests := []struct {
		name         string
		age          time.Duration
		outOfService bool
		want         wire.TaskState
	}{
		{"valid", 2900 * time.Millisecond, false, wire.TaskState_TASK_RUNNING},
		{"old", 3 * time.Second, false, wire.TaskState_TASK_REFUSED},
		{"out of service", 0, true, wire.TaskState_TASK_REFUSED},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithAgent(t, func(t *testing.T, c *commands, endpoint *fakeEndpoint) {
				c.mustPrepare(t, 1, "a")
				c.setPermit(test.age, test.outOfService)
				c.mustStart(t, 1, "a")
				status := c.mustQuery(t, 1, "a")
				started := test.want == wire.TaskState_TASK_RUNNING
				if status.GetState() != test.want || status.GetStarted() != started || (endpoint.count("start") == 1) != started {
					t.Errorf("status %v after %d starts, want %s", status, endpoint.count("start"), test.want)
				}
			})
		})
	}
}

// TestPermitIsCheckedBeforeFirstByte guards against starting a task on a permit that
// expired while the process was paused between the first check and the write of the
// request, which has a body or none.
func TestPermitIsCheckedBeforeFirstByte(t *testing.T) {
	for _, body := range []string{"", "body"} {
		runWithAgent(t, func(t *testing.T, c *commands, endpoint *fakeEndpoint) {
			errFrozen := errors.New("frozen")
			checkPermit := func() error { return errFrozen }
			_, err := c.agent.endpoint.startAndWait(t.Context(), "a", &wire.Job{}, []byte(body), 0, time.Second, checkPermit)
			synctest.Wait()
			if !errors.Is(err, errNotStarted) || !errors.Is(err, errFrozen) || endpoint.count("start") != 0 {
				t.Errorf("body %q: error %v after %d starts, want errNotStarted and no start", body, err, endpoint.count("start"))
			}
		})
	}
}

// TestStaleLateAndExcessCommandsAreRefused guards against accepting commands of a
// replaced scheduler, also those that would reach the endpoint, late messages about
// an attempt that was refused, and more tasks than slots.
func TestStaleLateAndExcessCommandsAreRefused(t *testing.T) {
	runWithAgent(t, func(t *testing.T, c *commands, endpoint *fakeEndpoint) {
		c.setPermit(0, false)
		if err := c.Stop(&wire.StopRequest{Epoch: 1, Attempt: "late"}, new(wire.TaskResponse)); err != nil {
			t.Fatal(err)
		}
		if got := c.mustPrepare(t, 1, "late"); got != wire.TaskState_TASK_REFUSED {
			t.Errorf("Prepare after Stop: state %s, want TASK_REFUSED", got)
		}
		c.mustStart(t, 1, "late")
		c.mustPrepare(t, 2, "a")
		c.mustStart(t, 2, "a")
		if got := c.mustPrepare(t, 2, "b"); got != wire.TaskState_TASK_PREPARED {
			t.Errorf("second task on two slots: state %s, want TASK_PREPARED", got)
		}
		if got := c.mustPrepare(t, 2, "c"); got != wire.TaskState_TASK_REFUSED {
			t.Errorf("third task on two slots: state %s, want TASK_REFUSED", got)
		}
		stale := &wire.StopRequest{Epoch: 1, Attempt: "a", Checkpoint: true}
		if err := c.Stop(stale, new(wire.TaskResponse)); !errors.Is(err, ErrStaleEpoch) {
			t.Errorf("Stop with a stale epoch: %v, want ErrStaleEpoch", err)
		}
		if endpoint.count("start") != 1 || endpoint.count("stop")+endpoint.count("checkpoint") != 0 {
			t.Errorf("calls at the endpoint: %v, want one start only", endpoint.calls)
		}
	})
}

// TestFailingCheckpointDelaysStopOnlyBriefly guards against accelerators that cannot
// be reclaimed for a guarantee because the endpoint fails every checkpoint of the
// task that has to stop.
func TestFailingCheckpointDelaysStopOnlyBriefly(t *testing.T) {
	for status, limit := range map[int]time.Duration{http.StatusOK: 0, http.StatusInternalServerError: 3 * time.Second} {
		runWithAgent(t, func(t *testing.T, c *commands, endpoint *fakeEndpoint) {
			endpoint.checkpointStatus = status
			c.setPermit(0, false)
			c.mustPrepare(t, 1, "a")
			c.mustStart(t, 1, "a")
			began := time.Now()
			stop := &wire.StopRequest{Epoch: 1, Attempt: "a", Checkpoint: true}
			for c.Stop(stop, new(wire.TaskResponse)) != nil && time.Since(began) < 10*time.Second {
				time.Sleep(200 * time.Millisecond)
			}
			synctest.Wait()
			got := c.mustQuery(t, 1, "a")
			if took := time.Since(began); got.GetState() != wire.TaskState_TASK_STOPPED || took > limit {
				t.Errorf("checkpoint status %d: %v after %s, want the stop within %s", status, got, took, limit)
			}
		})
	}
}

// TestReportIsBounded guards against reports that are too large for a link because
// several tasks have large results. Such a task must be reported as done without its
// result, which the scheduler then fetches.
func TestReportIsBounded(t *testing.T) {
	s := &state{tasks: make(map[string]*task)}
	for _, id := range []string{"a", "b", "c"} {
		s.tasks[id] = &task{
			attempt: id, job: new(wire.Job), result: make([]byte, maxResultBytes/2),
			member: gang.Member{State: wire.TaskState_TASK_DONE, Started: true},
		}
	}
	s.tasks["d"] = &task{attempt: "d", job: new(wire.Job), result: []byte("small"), member: gang.Member{State: wire.TaskState_TASK_DONE}}
	s.epoch = 1
	report := s.buildReport(Options{})
	if size := proto.Size(report); size > link.MaxMessageBytes/8 {
		t.Errorf("the report has %d bytes, too many for a link", size)
	}
	for _, status := range report.GetTasks() {
		if status.GetHasResult() != (status.GetAttempt() == "d") || status.GetState() != wire.TaskState_TASK_DONE {
			t.Errorf("status of task %s: has result %v, want TASK_DONE and a result only of the small task", status.GetAttempt(), status.GetHasResult())
		}
	}
}

// TestLostRenewalsDoNotEndTheLease guards against a task that its endpoint kills because
// the connection of a renewal went silent: the time-out of one renewal must leave time
// for others within the lease.
func TestLostRenewalsDoNotEndTheLease(t *testing.T) {
	for lost := range 3 {
		runWithAgent(t, func(t *testing.T, c *commands, endpoint *fakeEndpoint) {
			endpoint.mu.Lock()
			endpoint.silentRenewals = lost
			endpoint.mu.Unlock()
			c.setPermit(0, false)
			c.mustPrepare(t, 1, "a")
			c.mustStart(t, 1, "a")
			time.Sleep(8 * time.Second)
			renewals := endpoint.count("renew")
			endpoint.mu.Lock()
			gap := endpoint.longestGap
			endpoint.mu.Unlock()
			if renewals < 4 || gap >= c.agent.opts.TaskLease {
				t.Errorf("%d renewals lost: the lease of %v was not renewed for %v", lost, c.agent.opts.TaskLease, gap)
			}
		})
	}
}
