package store_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
	"go.uber.org/goleak"

	"catkinpoint/stand/fakekv"
	"catkinpoint/stand/pipe"
	"catkinpoint/store"
)

var addr = netip.MustParseAddrPort("127.0.0.1:1")

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// connect serves the handler inside the bubble and returns a client of it.
func connect(t *testing.T, server *http.Server, opts store.Options) (*pipe.Listener, *store.Client) {
	listener := pipe.New(addr)
	opts.Dial = listener.Dial
	client := store.New(addr, opts)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		client.Close()
		_ = server.Close()
		<-done
	})
	return listener, client
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

func silence(_ http.ResponseWriter, r *http.Request) {
	// The server notices the end of the connection only after the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	fmt.Fprint(w, `{"revision":`)
}

// Guards against a lost answer that is reported as proof that nothing happened,
// and against a proof that is wasted.
func TestFailureClass(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		put     error
		get     error
	}{
		{"explicit refusal", answer(503, `{"error":"unavailable"}`), store.ErrUnavailable, store.ErrUnavailable},
		{"refusal without code", answer(503, `{}`), store.ErrUnknown, store.ErrUnavailable},
		{"refusal not from the service", answer(503, `<html>`), store.ErrUnknown, store.ErrUnavailable},
		{"unknown code", answer(500, `{"error":"internal"}`), store.ErrUnknown, store.ErrUnavailable},
		{"redirect", http.RedirectHandler("/", http.StatusTemporaryRedirect).ServeHTTP, store.ErrUnknown, store.ErrUnavailable},
		{"conflict", answer(409, `{"error":"conflict"}`), store.ErrConflict, store.ErrConflict},
		{"silent", silence, store.ErrUnknown, store.ErrUnavailable},
		{"truncated", truncate, store.ErrUnknown, store.ErrUnavailable},
		{"no item", answer(200, `{}`), nil, store.ErrUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := atomic.Int64{}
				handler := func(w http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					test.handler(w, r)
				}
				_, client := connect(t, &http.Server{Handler: http.HandlerFunc(handler)}, store.Options{})
				expectClass(t, client, test.put, test.get)
				if calls.Load() != 2 {
					t.Errorf("%d requests for two calls", calls.Load())
				}
			})
		})
	}
}

func expectClass(t *testing.T, client *store.Client, put, get error) {
	t.Helper()
	start := time.Now()
	if _, err := client.Put(t.Context(), "k", nil, 0, 0); !errors.Is(err, put) || (put == nil && err != nil) {
		t.Errorf("put: got %v, want %v", err, put)
	}
	if _, err := client.Get(t.Context(), "k"); !errors.Is(err, get) {
		t.Errorf("get: got %v, want %v", err, get)
	}
	if took := time.Since(start); took > 2*store.DefaultTimeout {
		t.Errorf("two calls took %v", took)
	}
}

// Guards against an unknown outcome of a call that was never sent: it would
// cost the caller a read that can't succeed during an outage.
func TestNothingSent(t *testing.T) {
	tests := []struct {
		name  string
		close bool // the listener, so that a dial is refused; otherwise it hangs
	}{
		{"dial refused", true},
		{"dial hangs", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := pipe.New(addr)
				if test.close {
					_ = listener.Close()
				}
				client := store.New(addr, store.Options{Dial: listener.Dial})
				expectClass(t, client, store.ErrUnavailable, store.ErrUnavailable)
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				if err := client.Delete(ctx, "k", 1); !errors.Is(err, store.ErrUnavailable) || !errors.Is(err, context.Canceled) {
					t.Errorf("delete of a caller that gave up: %v", err)
				}
			})
		})
	}
}

type silentKey struct{}

// Guards against calls that fail one after the other because each takes the
// next of several connections that have gone silent.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idle = 3
		dials := 0
		kv := fakekv.New()
		silent := &atomic.Bool{}
		together := make(chan struct{}, idle)
		server := &http.Server{
			ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
				dials++
				return context.WithValue(ctx, silentKey{}, silent)
			},
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Context().Value(silentKey{}).(*atomic.Bool).Load() {
					silence(w, r)
					return
				}
				kv.ServeHTTP(w, r)
			}),
		}
		_, client := connect(t, server, store.Options{})
		kv.SetFaults(fakekv.Everyone, fakekv.Faults{Slow: time.Millisecond})
		for range idle {
			go func() {
				_, _ = client.List(t.Context(), "")
				together <- struct{}{}
			}()
		}
		for range idle {
			<-together
		}
		if _, err := client.List(t.Context(), ""); err != nil || dials != idle {
			t.Fatalf("%d connections for %d calls at once and one after, %v", dials, idle, err)
		}
		old := silent
		silent = &atomic.Bool{}
		old.Store(true)
		if _, err := client.List(t.Context(), ""); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("list over a silent connection: %v", err)
		}
		if _, err := client.List(t.Context(), ""); err != nil {
			t.Errorf("list after that: %v", err)
		}
	})
}

// Guards against calls that are missing from the metrics or have a wrong result.
func TestCallMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := metric.NewManualReader()
		provider := metric.NewMeterProvider(metric.WithReader(reader))
		kv := fakekv.New()
		_, client := connect(t, &http.Server{Handler: kv}, store.Options{MeterProvider: provider})
		_, _ = client.Put(t.Context(), "k", nil, 0, 0)
		_, _ = client.Put(t.Context(), "k", nil, 0, 0)
		kv.SetFaults(fakekv.Everyone, fakekv.Faults{LoseNext: 1})
		_, _ = client.Put(t.Context(), "k", nil, 1, 0)
		kv.SetFaults(fakekv.Everyone, fakekv.Faults{Down: true})
		_ = client.KeepAlive(t.Context(), 1)
		want := []string{"keep_alive,unavailable 1", "put,conflict 1", "put,ok 1", "put,unknown 1"}
		if diff := cmp.Diff(want, collect(t, reader)); diff != "" {
			t.Errorf("counters (-want +got):\n%s", diff)
		}
	})
}

func collect(t *testing.T, reader metric.Reader) []string {
	var metrics metricdata.ResourceMetrics
	if err := reader.Collect(t.Context(), &metrics); err != nil {
		t.Fatal(err)
	}
	lines := []string{}
	for _, point := range metrics.ScopeMetrics[0].Metrics[0].Data.(metricdata.Sum[int64]).DataPoints {
		values := []string{}
		for _, attribute := range point.Attributes.ToSlice() {
			values = append(values, attribute.Value.AsString())
		}
		lines = append(lines, fmt.Sprintf("%s %d", strings.Join(values, ","), point.Value))
	}
	slices.Sort(lines)
	return lines
}

// Guards against results that change on their way over a real socket.
func TestRoundTripTCP(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- fakekv.New().Serve(ctx, listener) }()
	client := store.New(netip.MustParseAddrPort(listener.Addr().String()), store.Options{})
	value := make([]byte, store.MaxValueBytes)
	value[7] = 0xff
	lease, err := client.Grant(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	revision, err := client.Put(t.Context(), "k", value, 0, lease)
	if err != nil {
		t.Fatal(err)
	}
	item, err := client.Get(t.Context(), "k")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(item.Value, value) {
		t.Error("the value changed")
	}
	item.Value = nil
	if diff := cmp.Diff(store.Item{Key: "k", Revision: revision, Lease: lease}, item); diff != "" {
		t.Errorf("item (-want +got):\n%s", diff)
	}
	client.Close()
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
