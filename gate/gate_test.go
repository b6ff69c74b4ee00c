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

// testOperatorKeys decodes a configuration from "op/table", which holds the version
// and the keys of one customer, and evacuations from "op/out/<data centre>".
var testOperatorKeys = OperatorKeys{
	Prefix: "op/",
	Table: func(key string, value []byte) (*route.Table, error) {
		if key != "op/table" {
			return nil, nil
		}
		queues := []route.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 3, SlackFactor: 3}}
		fields := strings.Fields(string(value))
		version, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			return nil, err
		}
		customers := []route.Customer{{Name: "c", Keys: fields[1:]}}
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

// startGate runs a gate until the test ends. It calls the store under its name, so
// that faults can be set for it alone.
func startGate(t *testing.T, kv *fakekv.Server, name string) *Gate {
	t.Helper()
	g := New(Options{
		Name: name, Address: netip.MustParseAddrPort("127.0.0.1:1"), KV: kv.WithCaller(name), OperatorKeys: testOperatorKeys,
		ClaimTTL: 1500 * time.Millisecond,
		Settings: duty.Settings{TaskLease: 9 * time.Second, ConfigAge: 2500 * time.Millisecond, StartAge: 4500 * time.Millisecond, Retention: time.Minute, RemoteFactor: 3},
	})
	runUntilEnd(t, g)
	time.Sleep(100 * time.Millisecond)
	return g
}

// runUntilEnd runs a gate until the test ends.
func runUntilEnd(t *testing.T, g *Gate) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := g.Run(ctx); err != nil {
			t.Errorf("gate %s: %v", g.opts.Name, err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// testCall returns a call of customer c.
func testCall(path string) Call {
	return Call{Host: "h", Path: path, Key: "k1", Budget: 3 * time.Second}
}

// jobDecoder returns a decoder of a job with one step of two tasks.
func jobDecoder(spec string) func(int64) (*flow.Job, error) {
	return func(int64) (*flow.Job, error) {
		return &flow.Job{Spec: spec, Steps: []*flow.Step{{Count: 2, Cpu: 1000, EstimateMs: 1000}}}, nil
	}
}

// withGate runs a test with one gate, named g1, under the clock of synctest.
func withGate(t *testing.T, test func(t *testing.T, kv *fakekv.Server, g *Gate)) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		putKey(t, kv, "op/table", "1 k1 k2")
		test(t, kv, startGate(t, kv, "g1"))
	})
}

func TestSubmitStateAndCancelVerdicts(t *testing.T) {
	withGate(t, func(t *testing.T, kv *fakekv.Server, g *Gate) {
		tests := []struct {
			name string
			call Call
			job  func(int64) (*flow.Job, error)
			want Verdict
		}{
			{"accepted", testCall("/q/" + testID), jobDecoder("a"), Done},
			{"repeated", testCall("/q/" + testID), jobDecoder("a"), Done},
			{"another job under the same id", testCall("/q/" + testID), jobDecoder("b"), Invalid},
			{"no queue", testCall("/other/" + testID), jobDecoder("a"), NoQueue},
			{"unknown key", Call{Host: "h", Path: "/q/" + testID, Key: "k9"}, jobDecoder("a"), NoKey},
			{"bad id", testCall("/q/xyz"), jobDecoder("a"), Invalid},
			{"no steps", testCall("/q/00000000000000ac"), func(int64) (*flow.Job, error) { return &flow.Job{}, nil }, Invalid},
			{"unreadable body", testCall("/q/00000000000000ad"), func(int64) (*flow.Job, error) { return nil, errors.New("not JSON") }, Invalid},
		}
		for _, test := range tests {
			if got := g.Submit(t.Context(), test.call, test.job); got.Verdict != test.want {
				t.Errorf("%s: verdict %v (%s); want %v", test.name, got.Verdict, got.Reason, test.want)
			}
		}
		if got := g.State(t.Context(), testCall("/q/"+testID)); got.Verdict != Done || got.Phase != flow.Phase_QUEUED {
			t.Errorf("state of the accepted job: %+v; want it queued", got)
		}
		if got := g.State(t.Context(), testCall("/q/00000000000000ff")); got.Verdict != NoJob {
			t.Errorf("state of an unknown job: %+v", got)
		}
		time.Sleep(time.Second)
		if got := g.State(t.Context(), testCall("/q/")); got.Pending != 1 {
			t.Errorf("state of the queue: %+v; want 1 pending job", got)
		}
		if got := g.Cancel(t.Context(), testCall("/q/"+testID)); got.Verdict != Done {
			t.Errorf("cancel: %+v", got)
		}
		time.Sleep(time.Second)
		if got := g.State(t.Context(), testCall("/q/"+testID)); got.Phase != flow.Phase_CANCELLED {
			t.Errorf("state after the cancellation: %+v", got)
		}
	})
}

// A write whose answer is lost is repeated, and the repetition finds the stored job.
// If no attempt is answered, the verdict is that the outcome is unknown: a refusal
// would claim that the job is not stored.
func TestSubmitWithLostWriteAnswers(t *testing.T) {
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
			withGate(t, func(t *testing.T, kv *fakekv.Server, g *Gate) {
				kv.SetFaults("g1", test.faults)
				if got := g.Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a")); got.Verdict != test.want {
					t.Errorf("verdict %v (%s); want %v", got.Verdict, got.Reason, test.want)
				}
			})
		})
	}
}

// A gate that cannot read the store refuses calls at once, without attempting a
// write, and is ready again soon after the store returns. A caller's key that was
// removed meanwhile is rejected then.
func TestStoreUnreachable(t *testing.T) {
	withGate(t, func(t *testing.T, kv *fakekv.Server, g *Gate) {
		if !g.Ready() {
			t.Error("not ready while the store is reachable")
		}
		if got := g.Submit(t.Context(), testCall("/q/00000000000000aa"), jobDecoder("a")); got.Verdict != Done {
			t.Fatalf("submission while the store is reachable: %+v", got)
		}
		kv.SetFaults("g1", fakekv.Faults{Down: true})
		time.Sleep(3 * time.Second)
		start := time.Now()
		got := g.Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a"))
		if got.Verdict != Refused || got.RetryAfter <= 0 || time.Since(start) > 0 {
			t.Errorf("submission while the store is unreachable: %+v after %v; want a refusal at once", got, time.Since(start))
		}
		if g.Ready() {
			t.Error("ready while the store is unreachable")
		}
		// The gate's copy has the job, but the caller's key may have been removed since.
		if got := g.State(t.Context(), testCall("/q/00000000000000aa")); got.Verdict != Refused || got.Reason != "no fresh configuration" {
			t.Errorf("state while the store is unreachable: %+v", got)
		}
		putKey(t, kv, "op/table", "2 k2")
		kv.SetFaults("g1", fakekv.Faults{})
		time.Sleep(time.Second)
		if got := g.Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a")); got.Verdict != NoKey {
			t.Errorf("submission with a removed key: %+v", got)
		}
		if !g.Ready() {
			t.Error("not ready after the store returned")
		}
	})
}

// When the holder of the claim stops renewing it, another gate takes the claim within
// 2 s, under a higher epoch, and the former holder rejects reports.
func TestClaimMovesWhenHolderStopsRenewing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		putKey(t, kv, "op/table", "1 k1")
		first := startGate(t, kv, "g1")
		time.Sleep(time.Second)
		if first.scheduler.Load() == nil {
			t.Fatal("the only gate does not run the scheduler")
		}
		second := startGate(t, kv, "g2")
		time.Sleep(time.Second)
		if second.scheduler.Load() != nil {
			t.Fatal("two gates run the scheduler")
		}
		kv.SetFaults("g1", fakekv.Faults{Down: true})
		time.Sleep(2 * time.Second)
		if second.scheduler.Load() == nil {
			t.Error("the second gate does not run the scheduler after 2 s")
		}
		claim, err := duty.ReadClaim(t.Context(), kv)
		if err != nil || claim.GetEpoch() != 2 || claim.GetHolder() != "g2" {
			t.Errorf("claim: %v, %v; want epoch 2 of g2", claim, err)
		}
		if err := (RPCHandlers{first}).Attend(&flow.Report{Relay: "r", Worker: &flow.Worker{Id: "w"}}, &flow.Orders{}); err == nil {
			t.Error("the former holder answers a report")
		}
	})
}

// A job record that cannot be decoded does not keep other jobs from being read.
func TestUnreadableRecordIsSkipped(t *testing.T) {
	withGate(t, func(t *testing.T, kv *fakekv.Server, g *Gate) {
		putKey(t, kv, duty.JobKey("00000000000000ee"), "\xff\xff")
		value, err := proto.Marshal(&flow.Job{Id: testID, Queue: "q", Customer: "c"})
		if err != nil {
			t.Fatal(err)
		}
		putKey(t, kv, duty.JobKey(testID), string(value))
		time.Sleep(time.Second)
		if got := g.State(t.Context(), testCall("/q/"+testID)); got.Verdict != Done {
			t.Errorf("state: %+v", got)
		}
	})
}

// A job with a step that all workers together cannot hold would wait for ever. It is
// refused at once if a fresh count of workers shows that; a repeated submission of an
// accepted job is not refused.
func TestJobTooLargeForAllWorkersIsRefused(t *testing.T) {
	withGate(t, func(t *testing.T, kv *fakekv.Server, _ *Gate) {
		time.Sleep(5 * time.Second) // until the first gate runs the scheduler
		g := startGate(t, kv, "g2")
		gangOf := func(tasks int32) func(int64) (*flow.Job, error) {
			return func(int64) (*flow.Job, error) {
				return &flow.Job{Steps: []*flow.Step{{Count: tasks, Accelerators: 8, EstimateMs: 1000, Gang: true}}}, nil
			}
		}
		if got := g.Submit(t.Context(), testCall("/q/00000000000000a0"), gangOf(5)); got.Verdict != Done {
			t.Errorf("without a count of workers: %v (%s)", got.Verdict, got.Reason)
		}
		time.Sleep(time.Second)
		g.groups.set([]*flow.WorkerGroup{{Service: "s", Cpu: 64000, MemoryMb: 1000, Accelerators: 8, Workers: 4}})
		got := g.Submit(t.Context(), testCall("/q/00000000000000a1"), gangOf(5))
		if got.Verdict != Busy || got.RetryAfter <= 0 {
			t.Errorf("gang larger than all workers: %v (%s), retry after %v", got.Verdict, got.Reason, got.RetryAfter)
		}
		if _, err := kv.Get(t.Context(), duty.JobKey("00000000000000a1")); err == nil {
			t.Error("the refused job is stored")
		}
		if got := g.Submit(t.Context(), testCall("/q/00000000000000a0"), gangOf(5)); got.Verdict != Done {
			t.Errorf("accepted job submitted again: %v (%s)", got.Verdict, got.Reason)
		}
		time.Sleep(maxGroupsAge + time.Second)
		if got := g.Submit(t.Context(), testCall("/q/00000000000000a2"), gangOf(5)); got.Verdict != Done {
			t.Errorf("with an old count of workers: %v (%s)", got.Verdict, got.Reason)
		}
	})
}
