package load

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"catkinpoint/entry"
)

// Guards against a result that hides refused, truncated or slow answers.
func TestRunCountsFatesAndLatencies(t *testing.T) {
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requests++
		switch requests % 4 {
		case 0:
			w.Header().Set(entry.FateHeader, "not_run")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			w.Header().Set(entry.FateHeader, "done")
			_, _ = w.Write(body[:1])
		default:
			time.Sleep(20 * time.Millisecond)
			w.Header().Set(entry.FateHeader, "done")
			_, _ = w.Write(body)
		}
	}))
	defer server.Close()
	result, err := Run(t.Context(), Options{
		Entry:       netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
		Body:        []byte("body"),
		Rate:        400,
		Duration:    100 * time.Millisecond,
		Concurrency: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if result.Sent != 40 || result.Fates["done"] != 30 || result.Fates["not_run"] != 10 || result.Truncated != 10 {
		t.Errorf("sent %d, fates %v, truncated %d; want 40, 30 done, 10 not_run, 10 truncated", result.Sent, result.Fates, result.Truncated)
	}
	// With one connection, the 20 answers that take 20 ms each follow one another,
	// while all jobs are due within 100 ms.
	if slowest := result.Latencies.Max(); slowest < 200_000 {
		t.Errorf("highest latency is %d us; want at least 200000, which includes the wait for earlier requests", slowest)
	}
}
