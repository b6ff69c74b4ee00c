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

// fakeSched answers the calls of an entry for both data centres.
type fakeSched struct {
	mu      sync.Mutex
	submits []*wire.SubmitRequest
	// submit answers the submission with the given number.
	submit  func(number int, request *wire.SubmitRequest) *wire.SubmitResponse
	cancels int
	silent  chan struct{} // cancellations wait for it, if it is there
}

// Submit implements the scheduler's call.
func (f *fakeSched) Submit(request *wire.SubmitRequest, response *wire.SubmitResponse) error {
	f.mu.Lock()
	f.submits = append(f.submits, proto.CloneOf(request))
	number := len(f.submits)
	f.mu.Unlock()
	proto.Merge(response, f.submit(number, request))
	return nil
}

// Cancel implements the scheduler's call.
func (f *fakeSched) Cancel(*wire.CancelRequest, *wire.Ping) error {
	f.mu.Lock()
	f.cancels++
	f.mu.Unlock()
	if f.silent != nil {
		<-f.silent
	}
	return nil
}

// JobStatus implements the scheduler's call.
func (f *fakeSched) JobStatus(*wire.JobStatusRequest, *wire.JobStatusResponse) error { return nil }

type world struct {
	t     *testing.T
	store *fakekv.Server
	e     *Entry
	fake  *fakeSched
}

// run starts the parts of an entry that serve callers, inside synctest.
func run(t *testing.T, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, store: fakekv.New(), fake: new(fakeSched)}
		addr := netip.MustParseAddrPort("127.0.0.1:1000")
		listener := pipe.New(addr)
		server, err := link.NewServer()
		if err != nil {
			t.Fatal(err)
		}
		if err := server.Register("Sched", w.fake); err != nil {
			t.Fatal(err)
		}
		go server.Serve(listener)
		defer server.Close()
		defer listener.Close()
		page, err := meter.New("entry", "e")
		if err != nil {
			t.Fatal(err)
		}
		w.e, err = New(Options{
			ID: "e", DataCentre: "near", Region: "r", Store: w.store, QueueLimit: 100, MaxBodyBytes: 100,
			RegionBytes: 1e6, Retention: time.Hour, HeadPeriod: time.Second,
			Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return listener.Dial(ctx, network, addr)
			},
		}, page)
		if err != nil {
			t.Fatal(err)
		}
		life, stop := context.WithCancel(t.Context())
		w.e.life = life
		w.publish()
		at := duty{Duty: &wire.Duty{Epoch: 1, Address: addr.String()}}
		w.e.view.Store(&view{duties: map[string]duty{"near": at, "other": at}})
		go func() { _ = w.e.loop(life, endPeriod, w.e.ender.step) }()
		f(t, w)
		stop()
		w.e.traffic.Wait()
		w.e.pool.Close()
	})
}

func (w *world) publish() {
	w.t.Helper()
	source, err := decl.Parse("test.ini", []byte(declarations))
	if err != nil {
		w.t.Fatal(err)
	}
	var objects []*wire.Object
	for o := range source.Set(0).Objects() {
		objects = append(objects, o)
	}
	change := &wire.Change{Id: "1", Author: "t", Reason: "t", Operations: decl.Diff(&decl.Set{}, objects, false)}
	if _, err := head.NewPublisher(head.NewFollower(w.store), head.Options{}).Publish(w.t.Context(), change, false); err != nil {
		w.t.Fatal(err)
	}
	if err := w.e.follower.Poll(w.t.Context()); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) post(query, body string) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	w.e.routes().ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/v1/jobs?"+query, strings.NewReader(body)))
	return answer
}

// records returns all job records by phase.
func (w *world) records() []*wire.JobRecord {
	w.t.Helper()
	items, err := w.store.List(w.t.Context(), sched.RecordKey(""))
	if err != nil {
		w.t.Fatal(err)
	}
	var list []*wire.JobRecord
	for _, item := range items {
		record := new(wire.JobRecord)
		if err := proto.Unmarshal(item.Value, record); err != nil {
			w.t.Fatal(err)
		}
		list = append(list, record)
	}
	return list
}

// change rewrites the only record as a scheduler does.
func (w *world) change(f func(*wire.JobRecord)) int64 {
	w.t.Helper()
	record := w.records()[0]
	f(record)
	data, err := proto.Marshal(record)
	if err != nil {
		w.t.Fatal(err)
	}
	items, _ := w.store.List(w.t.Context(), sched.RecordKey(""))
	next, err := w.store.Put(w.t.Context(), items[0].Key, data, items[0].Revision, 0)
	if err != nil {
		w.t.Fatal(err)
	}
	return next
}

func done() *wire.SubmitResponse {
	return &wire.SubmitResponse{Outcome: &wire.Outcome{Fate: wire.Fate_DONE, Result: []byte("result")}}
}

// submitted takes the submissions so far.
func (f *fakeSched) submitted() []*wire.SubmitRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.submits
	f.submits = nil
	return list
}
