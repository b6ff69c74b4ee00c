package fakeep_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"

	"catkinpoint/stand/fakeep"
	"catkinpoint/stand/pipe"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// script runs the commands of one file against one endpoint over HTTP.
type script struct {
	endpoint *fakeep.Endpoint
	client   *http.Client
	stop     func()
	start    time.Time
	joins    map[string]chan string
}

// Guards against an endpoint whose record, limits, leases or faults are wrong:
// the tests of the product judge from them.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := newScript(t)
			datadriven.RunTest(t, path, s.run)
			s.client.CloseIdleConnections()
			s.stop()
		})
	})
}

func newScript(t *testing.T) *script {
	endpoint := fakeep.New(fakeep.Options{Slots: 3, Connections: 4, UsageLag: 2 * time.Second})
	listener := pipe.New(netip.MustParseAddrPort("127.0.0.1:1"))
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- endpoint.Serve(ctx, listener) }()
	return &script{
		endpoint: endpoint,
		client:   &http.Client{Transport: &http.Transport{DialContext: listener.Dial, MaxIdleConnsPerHost: 8}},
		start:    time.Now(),
		joins:    map[string]chan string{},
		stop: sync.OnceFunc(func() {
			cancel()
			if err := <-served; err != nil {
				t.Error(err)
			}
		}),
	}
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	switch d.Cmd {
	case "call":
		return s.call(t, d)
	case "join":
		return <-s.joins[d.CmdArgs[0].Key]
	case "sleep":
		time.Sleep(duration(t, d.CmdArgs[0].Key))
		synctest.Wait()
		return ""
	case "fault":
		recorder := httptest.NewRecorder()
		s.endpoint.FaultHandler().ServeHTTP(recorder, request(t, d.Input))
		return recorder.Body.String()
	case "record":
		return s.record()
	case "violations":
		return fmt.Sprintf("%+v\n", s.endpoint.Violations())
	case "stop":
		s.joins["s"] = make(chan string, 1)
		go func() {
			s.stop()
			s.joins["s"] <- ""
		}()
		synctest.Wait()
		return ""
	}
	t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	return ""
}

func duration(t *testing.T, text string) time.Duration {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// request reads the method and the path from the first line, the body from the rest.
func request(t *testing.T, text string) *http.Request {
	line, body, _ := strings.Cut(text, "\n")
	method, path, _ := strings.Cut(line, " ")
	r, err := http.NewRequest(method, "http://endpoint"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// call sends a request; with a name it goes on in the background until join,
// and with a limit it gives up.
func (s *script) call(t *testing.T, d *datadriven.TestData) string {
	limit := "1h"
	d.MaybeScanArgs(t, "limit", &limit)
	r := request(t, d.Input)
	if !d.HasArg("name") {
		return s.send(r, duration(t, limit))
	}
	var name string
	d.ScanArgs(t, "name", &name)
	s.joins[name] = make(chan string, 1)
	go func() { s.joins[name] <- s.send(r, duration(t, limit)) }()
	synctest.Wait()
	return ""
}

func (s *script) send(r *http.Request, limit time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	start := time.Now()
	response, err := s.client.Do(r.WithContext(ctx))
	if err != nil {
		return fmt.Sprintf("no answer after %v\n", time.Since(start))
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	out := fmt.Sprintf("%d after %v\n", response.StatusCode, time.Since(start))
	if hash := response.Header.Get(fakeep.HashHeader); hash != "" {
		out += fmt.Sprintf("attempt %s hash %s right %v\n", response.Header.Get(fakeep.AttemptHeader), hash, hash == fakeep.Hash(body))
	}
	if len(body) > 0 {
		out += strings.TrimSpace(string(body)) + "\n"
	}
	return out
}

func (s *script) record() string {
	var b strings.Builder
	for _, e := range s.endpoint.Record() {
		fmt.Fprintf(&b, "%d %v %s %s run %d accelerators %d %s\n",
			e.Seq, e.Time.Sub(s.start), e.Kind, e.Attempt, e.Run, e.Accelerators, e.Detail)
	}
	return b.String()
}
