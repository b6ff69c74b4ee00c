package gate

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/route"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

const testID = "00000000000000ab"

// testOperator reads the table from "op/table": the version and the keys.
var testOperator = Operator{
	Prefix: "op/",
	Table: func(key string, value []byte) (*route.Table, error) {
		if key != "op/table" {
			return nil, nil
		}
		queues := []route.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 3, SlackFactor: 3}}
		words := strings.Fields(string(value))
		version, err := strconv.ParseInt(words[0], 10, 64)
		if err != nil {
			return nil, err
		}
		customers := []route.Customer{{Name: "c", Keys: words[1:]}}
		return route.New(version, 1000, queues, customers, nil), nil
	},
	Evacuation: func(key string) string {
		dataCentre, ok := strings.CutPrefix(key, "op/out/")
		if !ok {
			return ""
		}
		return dataCentre
	},
}

func putKey(t *testing.T, kv *fakekv.Server, key, value string) {
	t.Helper()
	if _, err := kv.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: key, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

// run starts a gate that sees the service as the named caller.
func run(t *testing.T, kv *fakekv.Server, name string) *Gate {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	g := New(Options{
		Name: name, Address: netip.MustParseAddrPort("127.0.0.1:1"), KV: kv.WithCaller(name), Operator: testOperator,
		ClaimTTL: 1500 * time.Millisecond,
		Settings: duty.Settings{TaskLease: 9 * time.Second, ConfigAge: 2500 * time.Millisecond, StartAge: 4500 * time.Millisecond, Retention: time.Minute, RemoteFactor: 3},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := g.Run(ctx); err != nil {
			t.Errorf("gate: %v", err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	time.Sleep(100 * time.Millisecond)
	return g
}

func call(path string) Call {
	return Call{Host: "h", Path: path, Key: "k1", Budget: 3 * time.Second}
}

func job(text string) func(int64) (*flow.Job, error) {
	return func(int64) (*flow.Job, error) {
		return &flow.Job{Spec: text, Steps: []*flow.Step{{Count: 2, Cpu: 1000, EstimateMs: 1000}}}, nil
	}
}

// world runs a test with one gate under a paused clock.
func world(t *testing.T, test func(t *testing.T, kv *fakekv.Server, g *Gate)) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		putKey(t, kv, "op/table", "1 k1 k2")
		test(t, kv, run(t, kv, "g1"))
	})
}

func TestVerdicts(t *testing.T) {
	world(t, func(t *testing.T, kv *fakekv.Server, g *Gate) {
		tests := []struct {
			name string
			call Call
			job  func(int64) (*flow.Job, error)
			want Verdict
		}{
			{"accepted", call("/q/" + testID), job("a"), Done},
			{"the same again", call("/q/" + testID), job("a"), Done},
			{"the same id for another job", call("/q/" + testID), job("b"), Invalid},
			{"no queue", call("/other/" + testID), job("a"), NoQueue},
			{"unknown key", Call{Host: "h", Path: "/q/" + testID, Key: "k9"}, job("a"), NoKey},
			{"bad id", call("/q/xyz"), job("a"), Invalid},
			{"no steps", call("/q/00000000000000ac"), func(int64) (*flow.Job, error) { return &flow.Job{}, nil }, Invalid},
			{"unreadable body", call("/q/00000000000000ad"), func(int64) (*flow.Job, error) { return nil, errors.New("not JSON") }, Invalid},
		}
		for _, test := range tests {
			if got := g.Submit(t.Context(), test.call, test.job); got.Verdict != test.want {
				t.Errorf("%s: %v (%s); want %v", test.name, got.Verdict, got.Reason, test.want)
			}
		}
		if got := g.State(t.Context(), call("/q/"+testID)); got.Verdict != Done || got.Phase != flow.Phase_QUEUED {
			t.Errorf("state: %+v", got)
		}
		if got := g.State(t.Context(), call("/q/00000000000000ff")); got.Verdict != NoJob {
			t.Errorf("state of an unknown job: %+v", got)
		}
		time.Sleep(time.Second)
		if got := g.State(t.Context(), call("/q/")); got.Pending != 1 {
			t.Errorf("pending: %+v", got)
		}
		if got := g.Cancel(t.Context(), call("/q/"+testID)); got.Verdict != Done {
			t.Errorf("cancel: %+v", got)
		}
		time.Sleep(time.Second)
		if got := g.State(t.Context(), call("/q/"+testID)); got.Phase != flow.Phase_CANCELLED {
			t.Errorf("state after the cancel: %+v", got)
		}
	})
}

// A write whose answer is lost is tried again and found; while none of the
// tries is answered, the caller is told that the outcome is unknown.
func TestLostAnswers(t *testing.T) {
	tests := []struct {
		name   string
		faults fakekv.Faults
		want   Verdict
	}{
		{"one answer is lost", fakekv.Faults{LoseNext: 1, LosePrefix: duty.JobKey("")}, Done},
		{"all answers are lost", fakekv.Faults{LoseProbability: 1, LosePrefix: duty.JobKey("")}, Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			world(t, func(t *testing.T, kv *fakekv.Server, g *Gate) {
				kv.SetFaults("g1", test.faults)
				if got := g.Submit(t.Context(), call("/q/"+testID), job("a")); got.Verdict != test.want {
					t.Errorf("verdict %v (%s); want %v", got.Verdict, got.Reason, test.want)
				}
			})
		})
	}
}

// A gate that cannot read the store refuses at once, without trying a write, and
// is ready again soon after the store returns. A key that was taken away
// meanwhile does not work then.
func TestStoreAway(t *testing.T) {
	world(t, func(t *testing.T, kv *fakekv.Server, g *Gate) {
		if !g.Ready() {
			t.Error("not ready with a store")
		}
		if got := g.Submit(t.Context(), call("/q/00000000000000aa"), job("a")); got.Verdict != Done {
			t.Fatalf("submit with a store: %+v", got)
		}
		kv.SetFaults("g1", fakekv.Faults{Down: true})
		time.Sleep(3 * time.Second)
		start := time.Now()
		got := g.Submit(t.Context(), call("/q/"+testID), job("a"))
		if got.Verdict != Refused || got.RetryAfter <= 0 || time.Since(start) > 0 {
			t.Errorf("submit without a store: %+v after %v", got, time.Since(start))
		}
		if g.Ready() {
			t.Error("ready without a store")
		}
		// The copy has the job, but the caller's key may be gone by now.
		if got := g.State(t.Context(), call("/q/00000000000000aa")); got.Verdict != Refused || got.Reason != "no fresh configuration" {
			t.Errorf("state without a store: %+v", got)
		}
		putKey(t, kv, "op/table", "2 k2")
		kv.SetFaults("g1", fakekv.Faults{})
		time.Sleep(time.Second)
		if got := g.Submit(t.Context(), call("/q/"+testID), job("a")); got.Verdict != NoKey {
			t.Errorf("submit with a key that was taken away: %+v", got)
		}
		if !g.Ready() {
			t.Error("not ready after the store returned")
		}
	})
}

// The duty passes on within 2 s when its holder stops renewing, and its epoch grows.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		putKey(t, kv, "op/table", "1 k1")
		first := run(t, kv, "g1")
		time.Sleep(time.Second)
		if first.scheduler.Load() == nil {
			t.Fatal("the only gate does not hold the duty")
		}
		second := run(t, kv, "g2")
		time.Sleep(time.Second)
		if second.scheduler.Load() != nil {
			t.Fatal("two gates hold the duty")
		}
		kv.SetFaults("g1", fakekv.Faults{Down: true})
		time.Sleep(2 * time.Second)
		if second.scheduler.Load() == nil {
			t.Error("no successor after 2 s")
		}
		claim, err := duty.ReadClaim(t.Context(), kv)
		if err != nil || claim.GetEpoch() != 2 || claim.GetHolder() != "g2" {
			t.Errorf("claim: %v, %v", claim, err)
		}
		if err := (Calls{first}).Attend(&flow.Report{Relay: "r", Worker: &flow.Worker{Id: "w"}}, &flow.Orders{}); err == nil {
			t.Error("the former holder answers a relay")
		}
	})
}

// An unreadable record hides no other.
func TestUnreadableRecord(t *testing.T) {
	world(t, func(t *testing.T, kv *fakekv.Server, g *Gate) {
		putKey(t, kv, duty.JobKey("00000000000000ee"), "\xff\xff")
		value, err := proto.Marshal(&flow.Job{Id: testID, Queue: "q", Customer: "c"})
		if err != nil {
			t.Fatal(err)
		}
		putKey(t, kv, duty.JobKey(testID), string(value))
		time.Sleep(time.Second)
		if got := g.State(t.Context(), call("/q/"+testID)); got.Verdict != Done {
			t.Errorf("state: %+v", got)
		}
	})
}

// A job that all workers together cannot hold is refused at once, by a count of
// workers that is not too old; a repeated call for an accepted job is not.
func TestJobTooWideForAllWorkersIsRefused(t *testing.T) {
	world(t, func(t *testing.T, kv *fakekv.Server, _ *Gate) {
		time.Sleep(5 * time.Second) // the first gate holds the duty
		g := run(t, kv, "g2")
		wide := func(tasks int32) func(int64) (*flow.Job, error) {
			return func(int64) (*flow.Job, error) {
				return &flow.Job{Steps: []*flow.Step{{Count: tasks, Accelerators: 8, EstimateMs: 1000, Gang: true}}}, nil
			}
		}
		if got := g.Submit(t.Context(), call("/q/00000000000000a0"), wide(5)); got.Verdict != Done {
			t.Errorf("without a count: %v (%s)", got.Verdict, got.Reason)
		}
		time.Sleep(time.Second)
		g.rooms.set([]*flow.Room{{Service: "s", Cpu: 64000, MemoryMb: 1000, Accelerators: 8, Workers: 4}})
		got := g.Submit(t.Context(), call("/q/00000000000000a1"), wide(5))
		if got.Verdict != Busy || got.RetryAfter <= 0 {
			t.Errorf("too wide: %v (%s), come back after %v", got.Verdict, got.Reason, got.RetryAfter)
		}
		if _, err := kv.Get(t.Context(), duty.JobKey("00000000000000a1")); err == nil {
			t.Error("the refused job is stored")
		}
		if got := g.Submit(t.Context(), call("/q/00000000000000a0"), wide(5)); got.Verdict != Done {
			t.Errorf("the accepted job again: %v (%s)", got.Verdict, got.Reason)
		}
		time.Sleep(roomAge + time.Second)
		if got := g.Submit(t.Context(), call("/q/00000000000000a2"), wide(5)); got.Verdict != Done {
			t.Errorf("by an old count: %v (%s)", got.Verdict, got.Reason)
		}
	})
}
