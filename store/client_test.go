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

// serveAndConnect runs server on an in-memory listener inside the synctest
// bubble and returns the listener and a client of it.
func serveAndConnect(t *testing.T, server *http.Server, opts store.Options) (*pipe.Listener, *store.Client) {
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

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

func neverRespond(_ http.ResponseWriter, r *http.Request) {
	// The server notices that the client closed the connection only after the
	// body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func respondTruncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	fmt.Fprint(w, `{"revision":`)
}

// Guards against a write that may have taken effect but fails with
// ErrUnavailable, and against a call that certainly had no effect but fails with
// ErrUnknown.
func TestFailureClassification(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		put     error
		get     error
	}{
		{"explicit refusal", respondWith(503, `{"error":"unavailable"}`), store.ErrUnavailable, store.ErrUnavailable},
		{"refusal without code", respondWith(503, `{}`), store.ErrUnknown, store.ErrUnavailable},
		{"refusal not from the service", respondWith(503, `<html>`), store.ErrUnknown, store.ErrUnavailable},
		{"unknown code", respondWith(500, `{"error":"internal"}`), store.ErrUnknown, store.ErrUnavailable},
		{"redirect", http.RedirectHandler("/", http.StatusTemporaryRedirect).ServeHTTP, store.ErrUnknown, store.ErrUnavailable},
		{"conflict", respondWith(409, `{"error":"conflict"}`), store.ErrConflict, store.ErrConflict},
		{"no response", neverRespond, store.ErrUnknown, store.ErrUnavailable},
		{"truncated response", respondTruncated, store.ErrUnknown, store.ErrUnavailable},
		{"response without an item", respondWith(200, `{}`), nil, store.ErrUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := atomic.Int64{}
				handler := func(w http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					test.handler(w, r)
				}
				_, client := serveAndConnect(t, &http.Server{Handler: http.HandlerFunc(handler)}, store.Options{})
				expectFailures(t, client, test.put, test.get)
				if calls.Load() != 2 {
					t.Errorf("the server received %d requests for two calls, want one each", calls.Load())
				}
			})
		})
	}
}

func expectFailures(t *testing.T, client *store.Client, put, get error) {
	t.Helper()
	start := time.Now()
	if _, err := client.Put(t.Context(), "k", nil, 0, 0); !errors.Is(err, put) || (put == nil && err != nil) {
		t.Errorf("put: got error %v, want %v", err, put)
	}
	if _, err := client.Get(t.Context(), "k"); !errors.Is(err, get) {
		t.Errorf("get: got error %v, want %v", err, get)
	}
	if took := time.Since(start); took > 2*store.DefaultTimeout {
		t.Errorf("two calls took %v, more than their timeouts", took)
	}
}

// Guards against ErrUnknown for a call that was never sent: the caller would
// have to find out by a read, which can't succeed during an outage.
func TestUnavailableBeforeSending(t *testing.T) {
	tests := []struct {
		name          string
		closeListener bool // dials are refused; otherwise they hang
	}{
		{"dial refused", true},
		{"dial hangs", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := pipe.New(addr)
				if test.closeListener {
					_ = listener.Close()
				}
				client := store.New(addr, store.Options{Dial: listener.Dial})
				expectFailures(t, client, store.ErrUnavailable, store.ErrUnavailable)
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				if err := client.Delete(ctx, "k", 1); !errors.Is(err, store.ErrUnavailable) || !errors.Is(err, context.Canceled) {
					t.Errorf("delete with a cancelled context: got %v, want ErrUnavailable and context.Canceled", err)
				}
			})
		})
	}
}

type connSilentKey struct{}

// Guards against several calls that time out one after the other because each
// reuses another idle connection on which the server no longer responds.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idle = 3
		dials := 0
		kv := fakekv.New()
		newConnsSilent := &atomic.Bool{}
		listed := make(chan struct{}, idle)
		server := &http.Server{
			ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
				dials++
				return context.WithValue(ctx, connSilentKey{}, newConnsSilent)
			},
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Context().Value(connSilentKey{}).(*atomic.Bool).Load() {
					neverRespond(w, r)
					return
				}
				kv.ServeHTTP(w, r)
			}),
		}
		_, client := serveAndConnect(t, server, store.Options{})
		kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Delay: time.Millisecond})
		for range idle {
			go func() {
				_, _ = client.List(t.Context(), "")
				listed <- struct{}{}
			}()
		}
		for range idle {
			<-listed
		}
		if _, err := client.List(t.Context(), ""); err != nil || dials != idle {
			t.Fatalf("%d connections for %d parallel calls and one after them, error %v", dials, idle, err)
		}
		oldConnsSilent := newConnsSilent
		newConnsSilent = &atomic.Bool{}
		oldConnsSilent.Store(true)
		if _, err := client.List(t.Context(), ""); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("list over a connection without responses: got %v, want ErrUnavailable", err)
		}
		if _, err := client.List(t.Context(), ""); err != nil {
			t.Errorf("list after the connections were closed: %v", err)
		}
	})
}

// Guards against calls that are missing from the metrics or counted under a
// wrong result.
func TestCallMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := metric.NewManualReader()
		provider := metric.NewMeterProvider(metric.WithReader(reader))
		kv := fakekv.New()
		_, client := serveAndConnect(t, &http.Server{Handler: kv}, store.Options{MeterProvider: provider})
		_, _ = client.Put(t.Context(), "k", nil, 0, 0)
		_, _ = client.Put(t.Context(), "k", nil, 0, 0)
		kv.SetFaults(fakekv.AllCallers, fakekv.Faults{LoseNext: 1})
		_, _ = client.Put(t.Context(), "k", nil, 1, 0)
		kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
		_ = client.KeepAlive(t.Context(), 1)
		want := []string{"keep_alive,unavailable 1", "put,conflict 1", "put,ok 1", "put,unknown 1"}
		if diff := cmp.Diff(want, callCounts(t, reader)); diff != "" {
			t.Errorf("counters (-want +got):\n%s", diff)
		}
	})
}

// callCounts returns the counter store_calls, one line for each pair of
// operation and result.
func callCounts(t *testing.T, reader metric.Reader) []string {
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

// Guards against values and item fields that change on the way over a TCP socket.
func TestRoundTripTCP(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- fakekv.New().Serve(ctx, listener) }()
	client := store.New(netip.MustParseAddrPort(listener.Addr().String()), store.Options{Timeout: time.Minute})
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
		t.Error("get returned another value than was put")
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
