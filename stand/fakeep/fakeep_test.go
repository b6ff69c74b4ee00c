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
	endpoint   *fakeep.Endpoint
	client     *http.Client
	stop       func() // shuts the endpoint down and waits for the end of Serve
	start      time.Time
	background map[string]chan string // outputs of the commands that join waits for
}

// Guards against an endpoint whose record, limits, leases or faults are wrong. The
// tests of the scheduler rely on them.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := newScript(t)
			datadriven.RunTest(t, path, s.runCommand)
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
		endpoint:   endpoint,
		client:     &http.Client{Transport: &http.Transport{DialContext: listener.Dial, MaxIdleConnsPerHost: 8}},
		start:      time.Now(),
		background: map[string]chan string{},
		stop: sync.OnceFunc(func() {
			cancel()
			if err := <-served; err != nil {
				t.Error(err)
			}
		}),
	}
}

func (s *script) runCommand(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	switch d.Cmd {
	case "call":
		return s.call(t, d)
	case "join":
		return <-s.background[d.CmdArgs[0].Key]
	case "sleep":
		time.Sleep(parseDuration(t, d.CmdArgs[0].Key))
		synctest.Wait()
		return ""
	case "fault":
		recorder := httptest.NewRecorder()
		s.endpoint.FaultHandler().ServeHTTP(recorder, parseRequest(t, d.Input))
		return recorder.Body.String()
	case "record":
		return s.formatRecord()
	case "violations":
		return fmt.Sprintf("%+v\n", s.endpoint.Violations())
	case "stop":
		s.background["s"] = make(chan string, 1)
		go func() {
			s.stop()
			s.background["s"] <- ""
		}()
		synctest.Wait()
		return ""
	}
	t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	return ""
}

func parseDuration(t *testing.T, text string) time.Duration {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// parseRequest returns the request whose method and path are in the first line of
// text and whose body is the rest.
func parseRequest(t *testing.T, text string) *http.Request {
	line, body, _ := strings.Cut(text, "\n")
	method, path, _ := strings.Cut(line, " ")
	r, err := http.NewRequest(method, "http://endpoint"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// call sends a request. With the argument name it runs in the background, and join
// returns its output; with limit it gives up after that time.
func (s *script) call(t *testing.T, d *datadriven.TestData) string {
	limit := "1h"
	d.MaybeScanArgs(t, "limit", &limit)
	r := parseRequest(t, d.Input)
	if !d.HasArg("name") {
		return s.send(r, parseDuration(t, limit))
	}
	var name string
	d.ScanArgs(t, "name", &name)
	s.background[name] = make(chan string, 1)
	go func() { s.background[name] <- s.send(r, parseDuration(t, limit)) }()
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

// formatRecord returns the record with one event per line and times since the start.
func (s *script) formatRecord() string {
	var b strings.Builder
	for _, e := range s.endpoint.Record() {
		fmt.Fprintf(&b, "%d %v %s %s run %d accelerators %d %s\n",
			e.Seq, e.Time.Sub(s.start), e.Kind, e.Attempt, e.Run, e.Accelerators, e.Detail)
	}
	return b.String()
}
