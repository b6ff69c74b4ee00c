package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/decl"
	"catkinpoint/head"
	"catkinpoint/link"
	"catkinpoint/meter"
	"catkinpoint/sched"
	"catkinpoint/stand/fakekv"
	"catkinpoint/stand/pipe"
	"catkinpoint/wire"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// declarations is the configuration of all tests.
const declarations = `
[data_centre near]
region = r
workers = 1
[data_centre other]
region = r
workers = 1
[service s]
[customer c]
[job_class once]
service = s
[job_class idem]
service = s
idempotent = true
`

// fakeSched stands for the schedulers of both data centres.
type fakeSched struct {
	mu      sync.Mutex
	submits []*wire.SubmitRequest // since the last takeSubmits
	// submit answers a submission; number is its place in submits, from 1.
	submit      func(number int, request *wire.SubmitRequest) *wire.SubmitResponse
	cancels     int
	cancelBlock chan struct{} // if not nil, cancellations wait until it is closed
}

// Submit implements the RPC Sched.Submit.
func (f *fakeSched) Submit(request *wire.SubmitRequest, response *wire.SubmitResponse) error {
	f.mu.Lock()
	f.submits = append(f.submits, proto.CloneOf(request))
	number := len(f.submits)
	f.mu.Unlock()
	proto.Merge(response, f.submit(number, request))
	return nil
}

// Cancel implements the RPC Sched.Cancel.
func (f *fakeSched) Cancel(*wire.CancelRequest, *wire.Ping) error {
	f.mu.Lock()
	f.cancels++
	f.mu.Unlock()
	if f.cancelBlock != nil {
		<-f.cancelBlock
	}
	return nil
}

// JobStatus implements the RPC Sched.JobStatus; it never finds a job.
func (f *fakeSched) JobStatus(*wire.JobStatusRequest, *wire.JobStatusResponse) error { return nil }

// testEnv is an entry with the store and the schedulers that it uses.
type testEnv struct {
	t         *testing.T
	store     *fakekv.Server
	entry     *Entry
	scheduler *fakeSched
}

// withEntry runs f in a synctest bubble, with the parts of an entry that serve
// callers. Duties, registration and sweeps do not run.
func withEntry(t *testing.T, f func(t *testing.T, env *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		env := &testEnv{t: t, store: fakekv.New(), scheduler: new(fakeSched)}
		addr := netip.MustParseAddrPort("127.0.0.1:1000")
		listener := pipe.New(addr)
		server, err := link.NewServer()
		if err != nil {
			t.Fatal(err)
		}
		if err := server.Register("Sched", env.scheduler); err != nil {
			t.Fatal(err)
		}
		go server.Serve(listener)
		defer server.Close()
		defer listener.Close()
		registry, err := meter.New("entry", "e")
		if err != nil {
			t.Fatal(err)
		}
		env.entry, err = New(Options{
			ID: "e", DataCentre: "near", Region: "r", Store: env.store, QueueLimit: 100, MaxBodyBytes: 100,
			RegionBytesPerSecond: 1e6, Retention: time.Hour, HeadPeriod: time.Second,
			Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return listener.Dial(ctx, network, addr)
			},
		}, registry)
		if err != nil {
			t.Fatal(err)
		}
		runCtx, stop := context.WithCancel(t.Context())
		env.entry.runCtx = runCtx
		env.publishDeclarations()
		currentDuty := storedDuty{Duty: &wire.Duty{Epoch: 1, Address: addr.String()}}
		env.entry.view.Store(&clusterView{duties: map[string]storedDuty{"near": currentDuty, "other": currentDuty}})
		go func() { _ = env.entry.runPeriodically(runCtx, endRetryPeriod, env.entry.endRetrier.retryAll) }()
		f(t, env)
		stop()
		env.entry.background.Wait()
		env.entry.pool.Close()
	})
}

// publishDeclarations publishes the declarations and makes the entry read them.
func (env *testEnv) publishDeclarations() {
	env.t.Helper()
	source, err := decl.Parse("test.ini", []byte(declarations))
	if err != nil {
		env.t.Fatal(err)
	}
	var objects []*wire.Object
	for o := range source.Set(0).Objects() {
		objects = append(objects, o)
	}
	change := &wire.Change{Id: "1", Author: "t", Reason: "t", Operations: decl.Diff(&decl.Set{}, objects, false)}
	if _, err := head.NewPublisher(head.NewFollower(env.store), head.Options{}).Publish(env.t.Context(), change, false); err != nil {
		env.t.Fatal(err)
	}
	if err := env.entry.follower.Poll(env.t.Context()); err != nil {
		env.t.Fatal(err)
	}
}

// postJob sends a job to the HTTP handler of the entry.
func (env *testEnv) postJob(query, body string) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	env.entry.httpHandler().ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/v1/jobs?"+query, strings.NewReader(body)))
	return answer
}

// readRecords returns all job records in the store.
func (env *testEnv) readRecords() []*wire.JobRecord {
	env.t.Helper()
	items, err := env.store.List(env.t.Context(), sched.RecordKey(""))
	if err != nil {
		env.t.Fatal(err)
	}
	var list []*wire.JobRecord
	for _, item := range items {
		record := new(wire.JobRecord)
		if err := proto.Unmarshal(item.Value, record); err != nil {
			env.t.Fatal(err)
		}
		list = append(list, record)
	}
	return list
}

// updateRecord changes the first job record in the store, as a scheduler would, and
// returns its new revision.
func (env *testEnv) updateRecord(f func(*wire.JobRecord)) int64 {
	env.t.Helper()
	record := env.readRecords()[0]
	f(record)
	data, err := proto.Marshal(record)
	if err != nil {
		env.t.Fatal(err)
	}
	items, _ := env.store.List(env.t.Context(), sched.RecordKey(""))
	newRevision, err := env.store.Put(env.t.Context(), items[0].Key, data, items[0].Revision, 0)
	if err != nil {
		env.t.Fatal(err)
	}
	return newRevision
}

// doneResponse is the answer of a scheduler that has run the job.
func doneResponse() *wire.SubmitResponse {
	return &wire.SubmitResponse{Outcome: &wire.Outcome{Fate: wire.Fate_DONE, Result: []byte("result")}}
}

// takeSubmits returns the submissions so far and forgets them.
func (f *fakeSched) takeSubmits() []*wire.SubmitRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.submits
	f.submits = nil
	return list
}
