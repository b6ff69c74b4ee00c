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

// callTimeout bounds the calls of scripts in the same process as a client's are.
const callTimeout = time.Second

// script runs the commands of one file against one service.
type script struct {
	server *fakekv.Server
	kv     func(caller string) store.KV
	joins  map[string]chan string
}

// Guards against a service or a client that breaks the contract of store.KV:
// the same scripts must give the same outcomes in the process and over HTTP.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		t.Run("in_process", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := fakekv.New()
				kv := func(caller string) store.KV { return server.WithCaller(caller) }
				runScript(t, path, &script{server: server, kv: kv})
			})
		})
		t.Run("http", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, kv := serve(t)
				runScript(t, path, &script{server: server, kv: kv})
			})
		})
	})
}

func serve(t *testing.T) (*fakekv.Server, func(caller string) store.KV) {
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

func runScript(t *testing.T, path string, s *script) {
	s.joins = map[string]chan string{}
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "join" {
			return <-s.joins[arg(t, d, "name", "")]
		}
		kv := s.kv(arg(t, d, "caller", ""))
		name := arg(t, d, "async", "")
		if name == "" {
			return s.run(t, d, kv)
		}
		s.joins[name] = make(chan string, 1)
		go func() { s.joins[name] <- s.run(t, d, kv) }()
		synctest.Wait()
		return ""
	})
}

func arg[T any](t *testing.T, d *datadriven.TestData, name string, value T) T {
	d.MaybeScanArgs(t, name, &value)
	return value
}

func (s *script) run(t *testing.T, d *datadriven.TestData, kv store.KV) string {
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout+duration(t, d, "wait"))
	defer cancel()
	start := time.Now()
	key := arg(t, d, "key", "")
	prefix := arg(t, d, "prefix", "")
	revision := arg(t, d, "revision", int64(0))
	lease := store.LeaseID(arg(t, d, "lease", int64(0)))
	var out string
	var err error
	switch d.Cmd {
	case "get":
		var item store.Item
		item, err = kv.Get(ctx, key)
		out = show([]store.Item{item})
	case "put":
		value := strings.Repeat(arg(t, d, "value", ""), arg(t, d, "repeat", 1))
		revision, err = kv.Put(ctx, key, []byte(value), revision, lease)
		out = fmt.Sprintf("revision %d\n", revision)
	case "delete":
		err = kv.Delete(ctx, key, revision)
	case "list":
		var items []store.Item
		items, err = kv.List(ctx, prefix)
		out = show(items)
	case "watch":
		var items []store.Item
		items, revision, err = kv.Watch(ctx, prefix, revision, duration(t, d, "wait"))
		out = fmt.Sprintf("revision %d after %v\n%s", revision, time.Since(start), show(items))
	case "grant":
		lease, err = kv.Grant(ctx, duration(t, d, "ttl"))
		out = fmt.Sprintf("lease %d\n", lease)
	case "keep_alive":
		err = kv.KeepAlive(ctx, lease)
	case "revoke":
		err = kv.Revoke(ctx, lease)
	default:
		return s.control(t, d)
	}
	if err != nil {
		return class(err) + "\n"
	}
	return out
}

func (s *script) control(t *testing.T, d *datadriven.TestData) string {
	caller := arg(t, d, "caller", fakekv.Everyone)
	switch d.Cmd {
	case "faults":
		s.server.SetFaults(caller, fakekv.Faults{
			Down:            d.HasArg("down"),
			Slow:            duration(t, d, "slow"),
			LoseNext:        arg(t, d, "lose", 0),
			LosePrefix:      arg(t, d, "lose_prefix", ""),
			LoseProbability: float64(arg(t, d, "lose_percent", 0)) / 100,
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
		time.Sleep(duration(t, d, "for"))
		synctest.Wait()
	case "counts":
		c := s.server.Counts(caller)
		return fmt.Sprintf("reads %d, writes %d, refused %d, waiting %d\n%v\n", c.Reads, c.Writes, c.Refused, c.Waiting, c.ByOp)
	default:
		t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
	return ""
}

func duration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	parsed, err := time.ParseDuration(arg(t, d, name, "0s"))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func show(items []store.Item) string {
	var b strings.Builder
	for _, item := range items {
		fmt.Fprintf(&b, "%s=%.20s revision %d lease %d\n", item.Key, item.Value, item.Revision, item.Lease)
	}
	return b.String()
}

func class(err error) string {
	if errors.Is(err, store.ErrUnknown) {
		return "unknown"
	}
	code, _ := store.CodeOf(err)
	return code
}

// Guards against a watch that misses a deletion because it was forgotten.
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

// Guards against lost updates of writers that race each other while answers are
// lost: every token that a writer knows to be written must be there once.
func TestRacingWriters(t *testing.T) {
	const writers, tokens = 8, 50
	kv := fakekv.New()
	kv.SetFaults(fakekv.Everyone, fakekv.Faults{LoseProbability: 0.2, Seed: 1})
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
				t.Errorf("token %s is there %d times", token, count)
			}
		}
	}
}

// appendToken adds a token by compare-and-swap; after an unknown outcome it
// looks whether the token is there.
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
