package fakekv_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"

	"catkinpoint/stand/fakekv"
	"catkinpoint/stand/pipe"
	"catkinpoint/store"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// callTimeout bounds all calls: those within the process by their context, those
// over HTTP by the client.
const callTimeout = time.Second

// script runs the commands of one file against one service.
type script struct {
	server     *fakekv.Server
	clientOf   func(caller string) store.KV
	background map[string]chan string // outputs of commands with async, by its value
}

// Guards against a service or a client that breaks the contract of store.KV:
// the same scripts must give the same outcomes within the process and over HTTP.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		t.Run("in_process", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := fakekv.New()
				clientOf := func(caller string) store.KV { return server.WithCaller(caller) }
				runScript(t, path, &script{server: server, clientOf: clientOf})
			})
		})
		t.Run("http", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, clientOf := startServer(t)
				runScript(t, path, &script{server: server, clientOf: clientOf})
			})
		})
	})
}

// startServer serves a new service over HTTP until the test ends, and returns a
// function that returns the client of a caller.
func startServer(t *testing.T) (*fakekv.Server, func(caller string) store.KV) {
	server := fakekv.New()
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	listener := pipe.New(addr)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	clients := map[string]*store.Client{}
	t.Cleanup(func() {
		for _, client := range clients {
			client.Close()
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return server, func(caller string) store.KV {
		if clients[caller] == nil {
			clients[caller] = store.New(addr, store.Options{Caller: caller, Timeout: callTimeout, Dial: listener.Dial})
		}
		return clients[caller]
	}
}

// runScript runs the commands of a script. A command with async=NAME runs in the
// background, and join name=NAME waits for its output.
func runScript(t *testing.T, path string, s *script) {
	s.background = map[string]chan string{}
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "join" {
			return <-s.background[scanArg(t, d, "name", "")]
		}
		kv := s.clientOf(scanArg(t, d, "caller", ""))
		name := scanArg(t, d, "async", "")
		if name == "" {
			return s.runCommand(t, d, kv)
		}
		s.background[name] = make(chan string, 1)
		go func() { s.background[name] <- s.runCommand(t, d, kv) }()
		synctest.Wait()
		return ""
	})
}

// scanArg returns an argument of the command, or value if it is not given.
func scanArg[T any](t *testing.T, d *datadriven.TestData, name string, value T) T {
	d.MaybeScanArgs(t, name, &value)
	return value
}

// runCommand runs one command and returns its result or its error code.
func (s *script) runCommand(t *testing.T, d *datadriven.TestData, kv store.KV) string {
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout+scanDuration(t, d, "wait"))
	defer cancel()
	start := time.Now()
	key := scanArg(t, d, "key", "")
	prefix := scanArg(t, d, "prefix", "")
	revision := scanArg(t, d, "revision", int64(0))
	lease := store.LeaseID(scanArg(t, d, "lease", int64(0)))
	var out string
	var err error
	switch d.Cmd {
	case "get":
		var item store.Item
		item, err = kv.Get(ctx, key)
		out = formatItems([]store.Item{item})
	case "put":
		value := strings.Repeat(scanArg(t, d, "value", ""), scanArg(t, d, "repeat", 1))
		revision, err = kv.Put(ctx, key, []byte(value), revision, lease)
		out = fmt.Sprintf("revision %d\n", revision)
	case "delete":
		err = kv.Delete(ctx, key, revision)
	case "list":
		var items []store.Item
		items, err = kv.List(ctx, prefix)
		out = formatItems(items)
	case "watch":
		var items []store.Item
		items, revision, err = kv.Watch(ctx, prefix, revision, scanDuration(t, d, "wait"))
		out = fmt.Sprintf("revision %d after %v\n%s", revision, time.Since(start), formatItems(items))
	case "grant":
		lease, err = kv.Grant(ctx, scanDuration(t, d, "ttl"))
		out = fmt.Sprintf("lease %d\n", lease)
	case "keep_alive":
		err = kv.KeepAlive(ctx, lease)
	case "revoke":
		err = kv.Revoke(ctx, lease)
	default:
		return s.runControl(t, d)
	}
	if err != nil {
		return errorCode(err) + "\n"
	}
	return out
}

// runControl runs a command that sets faults, lets time pass or shows counts.
func (s *script) runControl(t *testing.T, d *datadriven.TestData) string {
	caller := scanArg(t, d, "caller", fakekv.AllCallers)
	switch d.Cmd {
	case "faults":
		s.server.SetFaults(caller, fakekv.Faults{
			Down:            d.HasArg("down"),
			Delay:           scanDuration(t, d, "slow"),
			LoseNext:        scanArg(t, d, "lose", 0),
			LosePrefix:      scanArg(t, d, "lose_prefix", ""),
			LoseProbability: float64(scanArg(t, d, "lose_percent", 0)) / 100,
		})
	case "fault_port":
		method, rest, _ := strings.Cut(d.Input, " ")
		path, body, _ := strings.Cut(rest, "\n")
		recorder := httptest.NewRecorder()
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		s.server.FaultHandler().ServeHTTP(recorder, r)
		return recorder.Body.String()
	case "clear":
		s.server.ClearFaults()
	case "lapse":
		return fmt.Sprintf("%d\n", s.server.LapseLeases(caller))
	case "sleep":
		time.Sleep(scanDuration(t, d, "for"))
		synctest.Wait()
	case "counts":
		c := s.server.Counts(caller)
		return fmt.Sprintf("reads %d, writes %d, refused %d, waiting %d\n%v\n", c.Reads, c.Writes, c.Refused, c.Waiting, c.ByOp)
	default:
		t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
	return ""
}

func scanDuration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	parsed, err := time.ParseDuration(scanArg(t, d, name, "0s"))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func formatItems(items []store.Item) string {
	var b strings.Builder
	for _, item := range items {
		fmt.Fprintf(&b, "%s=%.20s revision %d lease %d\n", item.Key, item.Value, item.Revision, item.Lease)
	}
	return b.String()
}

// errorCode returns the code that HTTP replies have, and "unknown" for
// ErrUnknown, for which there is no reply.
func errorCode(err error) string {
	if errors.Is(err, store.ErrUnknown) {
		return "unknown"
	}
	code, _ := store.CodeOf(err)
	return code
}

// Guards against a watch that misses a deletion because the service has dropped
// it from its history: old/ is deleted before the 10000 deletions that are kept.
func TestWatchAfterManyDeletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		prefixes := append([]string{"old/"}, slices.Repeat([]string{"new/"}, 10000)...)
		for _, prefix := range prefixes {
			if _, err := kv.Put(t.Context(), prefix, nil, 0, 0); err != nil {
				t.Fatal(err)
			}
			if err := kv.Delete(t.Context(), prefix, store.AnyRevision); err != nil {
				t.Fatal(err)
			}
		}
		for _, prefix := range []string{"old/", "new/"} {
			start := time.Now()
			if _, _, err := kv.Watch(t.Context(), prefix, 1, time.Minute); err != nil || time.Since(start) > 0 {
				t.Errorf("watch of %s returned after %v, %v", prefix, time.Since(start), err)
			}
		}
	})
}

// Guards against lost updates when concurrent writers retry after lost answers:
// every token that a writer has confirmed must be in the value exactly once.
func TestRacingWriters(t *testing.T) {
	const writers, tokens = 8, 50
	kv := fakekv.New()
	kv.SetFaults(fakekv.AllCallers, fakekv.Faults{LoseProbability: 0.2, Seed: 1})
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() {
			for n := range tokens {
				appendToken(t, kv, fmt.Sprintf("%d.%d,", w, n))
			}
		})
	}
	group.Wait()
	item, err := kv.Get(t.Context(), "set")
	if err != nil {
		t.Fatal(err)
	}
	for w := range writers {
		for n := range tokens {
			token := fmt.Sprintf(",%d.%d,", w, n)
			if count := strings.Count(","+strings.ReplaceAll(string(item.Value), ",", ",,"), token); count != 1 {
				t.Errorf("token %s is in the value %d times; want 1", token, count)
			}
		}
	}
}

// appendToken adds a token by compare-and-swap. After an unknown outcome it reads
// the value again to see whether the token was written.
func appendToken(t *testing.T, kv store.KV, token string) {
	for {
		item, err := kv.Get(t.Context(), "set")
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			t.Error(err)
			return
		}
		if strings.Contains(","+string(item.Value), ","+token) {
			return
		}
		_, err = kv.Put(t.Context(), "set", append(item.Value, token...), item.Revision, 0)
		if err == nil {
			return
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			t.Error(err)
			return
		}
	}
}
