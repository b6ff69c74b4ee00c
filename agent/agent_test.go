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

// fakeEndpoint holds every task until it is stopped, and counts the calls.
type fakeEndpoint struct {
	mu         sync.Mutex
	calls      map[string]int // by the last part of the path, "start" for a start
	checkpoint int            // status of a checkpoint
	stopped    chan struct{}
	once       sync.Once
}

// ServeHTTP implements the endpoint's protocol.
func (f *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(r.URL.Path, "/")
	verb := parts[len(parts)-1]
	if r.Method == http.MethodGet {
		_, _ = io.WriteString(w, "[]")
		return
	}
	if len(parts) == 3 {
		verb = "start"
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
	}
	f.mu.Lock()
	f.calls[verb]++
	status := f.checkpoint
	f.mu.Unlock()
	switch verb {
	case "checkpoint":
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"worked_ms": 7}`)
	case "stop":
		f.once.Do(func() { close(f.stopped) })
	case "start":
		select {
		case <-f.stopped:
		case <-r.Context().Done():
		}
		w.WriteHeader(http.StatusConflict)
	}
}

func (f *fakeEndpoint) count(verb string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[verb]
}

func run(t *testing.T, f func(t *testing.T, c *commands, endpoint *fakeEndpoint)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		addr := netip.MustParseAddrPort("127.0.0.1:1000")
		web, rpc := pipe.New(addr), pipe.New(addr)
		endpoint := &fakeEndpoint{calls: make(map[string]int), checkpoint: http.StatusOK, stopped: make(chan struct{})}
		server := &http.Server{Handler: endpoint}
		go server.Serve(web)
		a, err := New(Options{
			Worker: "w", Service: "s", Address: addr, Endpoint: addr, Accelerators: 8, Slots: 2, Connections: 8,
			ReportPeriod: time.Second, TaskLease: 3 * time.Second, PermitAge: 3 * time.Second, Timers: gang.DefaultTimers(),
			Dial: func(ctx context.Context, network, at string) (net.Conn, error) { return web.Dial(ctx, network, at) },
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- a.Run(ctx, rpc) }()
		synctest.Wait()
		f(t, &commands{agent: a}, endpoint)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		_ = server.Close()
	})
}

func (c *commands) permitFor(age time.Duration, out bool) {
	c.agent.control.Post(func(s *state) {
		s.permit = permit.Permit{InService: !out, Version: s.permit.Version + 1, ReadAt: time.Now().Add(-age)}
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

func (c *commands) stateOf(t *testing.T, epoch int64, id string) *wire.TaskStatus {
	t.Helper()
	response := new(wire.TaskResponse)
	if err := c.Query(&wire.QueryRequest{Epoch: epoch, Attempt: id}, response); err != nil {
		t.Fatal(err)
	}
	return response.GetStatus()
}

// Guards against starts without a permit that is valid at that moment; the task
// is refused as never started.
func TestStartNeedsPermit(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		out  bool
		want wire.TaskState
	}{
		{"valid", 2900 * time.Millisecond, false, wire.TaskState_TASK_RUNNING},
		{"old", 3 * time.Second, false, wire.TaskState_TASK_REFUSED},
		{"out of service", 0, true, wire.TaskState_TASK_REFUSED},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(t *testing.T, c *commands, endpoint *fakeEndpoint) {
				c.mustPrepare(t, 1, "a")
				c.permitFor(test.age, test.out)
				c.mustStart(t, 1, "a")
				status := c.stateOf(t, 1, "a")
				started := test.want == wire.TaskState_TASK_RUNNING
				if status.GetState() != test.want || status.GetStarted() != started || (endpoint.count("start") == 1) != started {
					t.Errorf("status %v after %d starts, want %s", status, endpoint.count("start"), test.want)
				}
			})
		})
	}
}

// Guards against a start on a permit that ran out while the process was frozen
// between its check and the request, with a body and without.
func TestGuardIsAskedLast(t *testing.T) {
	for _, body := range []string{"", "body"} {
		run(t, func(t *testing.T, c *commands, endpoint *fakeEndpoint) {
			frozen := errors.New("frozen")
			guard := func() error { return frozen }
			_, err := c.agent.endpoint.run(t.Context(), "a", &wire.Job{}, []byte(body), 0, time.Second, guard)
			synctest.Wait()
			if !errors.Is(err, errNotStarted) || !errors.Is(err, frozen) || endpoint.count("start") != 0 {
				t.Errorf("body %q: error %v after %d starts", body, err, endpoint.count("start"))
			}
		})
	}
}

// Guards against commands of a replaced scheduler, also those that reach the
// endpoint, and against late messages about an attempt that was refused.
func TestRefusals(t *testing.T) {
	run(t, func(t *testing.T, c *commands, endpoint *fakeEndpoint) {
		c.permitFor(0, false)
		if err := c.Stop(&wire.StopRequest{Epoch: 1, Attempt: "late"}, new(wire.TaskResponse)); err != nil {
			t.Fatal(err)
		}
		if got := c.mustPrepare(t, 1, "late"); got != wire.TaskState_TASK_REFUSED {
			t.Errorf("late Prepare: %s", got)
		}
		c.mustStart(t, 1, "late")
		c.mustPrepare(t, 2, "a")
		c.mustStart(t, 2, "a")
		if got := c.mustPrepare(t, 2, "b"); got != wire.TaskState_TASK_PREPARED {
			t.Errorf("second task: %s", got)
		}
		if got := c.mustPrepare(t, 2, "c"); got != wire.TaskState_TASK_REFUSED {
			t.Errorf("third task on two slots: %s", got)
		}
		stale := &wire.StopRequest{Epoch: 1, Attempt: "a", Checkpoint: true}
		if err := c.Stop(stale, new(wire.TaskResponse)); !errors.Is(err, ErrStaleEpoch) {
			t.Errorf("stale stop: %v", err)
		}
		if endpoint.count("start") != 1 || endpoint.count("stop")+endpoint.count("checkpoint") != 0 {
			t.Errorf("calls at the endpoint: %v", endpoint.calls)
		}
	})
}

// Guards against a guarantee that cannot be reclaimed: the endpoint fails every
// checkpoint of the task that has to leave.
func TestStopWithCheckpoint(t *testing.T) {
	for status, within := range map[int]time.Duration{http.StatusOK: 0, http.StatusInternalServerError: 3 * time.Second} {
		run(t, func(t *testing.T, c *commands, endpoint *fakeEndpoint) {
			endpoint.checkpoint = status
			c.permitFor(0, false)
			c.mustPrepare(t, 1, "a")
			c.mustStart(t, 1, "a")
			began := time.Now()
			stop := &wire.StopRequest{Epoch: 1, Attempt: "a", Checkpoint: true}
			for c.Stop(stop, new(wire.TaskResponse)) != nil && time.Since(began) < 10*time.Second {
				time.Sleep(200 * time.Millisecond)
			}
			synctest.Wait()
			got := c.stateOf(t, 1, "a")
			if took := time.Since(began); got.GetState() != wire.TaskState_TASK_STOPPED || took > within {
				t.Errorf("checkpoint status %d: %v after %s, want the stop within %s", status, got, took, within)
			}
		})
	}
}

// Guards against reports that no link carries: several large results at once.
// The status tells that the result is there to be fetched.
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
	report := s.report(Options{})
	if size := proto.Size(report); size > link.MaxMessageBytes/8 {
		t.Errorf("report of %d bytes", size)
	}
	for _, status := range report.GetTasks() {
		if status.GetHasResult() != (status.GetAttempt() == "d") || status.GetState() != wire.TaskState_TASK_DONE {
			t.Errorf("status of %s: has result %v", status.GetAttempt(), status.GetHasResult())
		}
	}
}
