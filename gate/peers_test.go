package gate

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/stand/fakekv"
)

// testPeers connects gates of one process.
type testPeers struct {
	gates map[netip.AddrPort]*Gate
	// forwardErr is returned by Forward, after the call was answered if answered is set.
	forwardErr error
	answered   bool
	// verdict replaces that of the answer unless it is 0.
	verdict int32
}

func (p *testPeers) CheckStore(_ context.Context, addr netip.AddrPort) (bool, error) {
	g := p.gates[addr]
	if g == nil {
		return false, errors.New("no such gate")
	}
	answer := &flow.StoreCheckAnswer{}
	err := g.RPCHandlers().CheckStore(&flow.StoreCheck{}, answer)
	return answer.GetReached(), err
}

func (p *testPeers) Forward(_ context.Context, addr netip.AddrPort, call *flow.ForwardedCall) (*flow.ForwardedAnswer, error) {
	if p.forwardErr != nil && !p.answered {
		return nil, p.forwardErr
	}
	answer := &flow.ForwardedAnswer{}
	if err := p.gates[addr].RPCHandlers().Forward(call, answer); err != nil {
		return nil, err
	}
	if p.verdict != 0 {
		answer.Verdict = p.verdict
	}
	return answer, p.forwardErr
}

// withGates runs a test with gates g1, g2 and so on, which reach each other.
func withGates(t *testing.T, count int, test func(t *testing.T, kv *fakekv.Server, gates []*Gate, peers *testPeers)) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakekv.New()
		putKey(t, kv, "op/table", "1 k1 k2")
		peers := &testPeers{gates: map[netip.AddrPort]*Gate{}}
		var gates []*Gate
		for n := range count {
			addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n+1))
			name := fmt.Sprint("g", n+1)
			g := New(Options{
				Name: name, Address: addr, KV: kv.WithCaller(name), OperatorKeys: testOperatorKeys, ClaimTTL: 1500 * time.Millisecond, Peers: peers,
				Settings: duty.Settings{TaskLease: 9 * time.Second, ConfigAge: 2500 * time.Millisecond, StartAge: 4500 * time.Millisecond, Retention: time.Minute, RemoteFactor: 3},
			})
			peers.gates[addr] = g
			gates = append(gates, g)
			runUntilEnd(t, g)
		}
		time.Sleep(time.Second)
		test(t, kv, gates, peers)
	})
}

// Guards against callers that lose a second or more, and some of their attempts, at
// gates that the store has turned away while it serves the others. The gate knows at
// once that the store fails, and for some seconds the balancer still sends it callers.
func TestGateWithoutStoreForwardsCalls(t *testing.T) {
	for _, after := range []time.Duration{0, 500 * time.Millisecond, 5 * time.Second} {
		t.Run(fmt.Sprintf("%v after the loss", after), func(t *testing.T) {
			withGates(t, 4, func(t *testing.T, kv *fakekv.Server, gates []*Gate, _ *testPeers) {
				kv.SetFaults("g1", fakekv.Faults{Down: true})
				time.Sleep(after)
				start := time.Now()
				if got := gates[0].Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a")); got.Verdict != Done {
					t.Fatalf("submission: %v (%s)", got.Verdict, got.Reason)
				}
				if got := gates[0].Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a")); got.Verdict != Done {
					t.Errorf("repeated submission: %v (%s)", got.Verdict, got.Reason)
				}
				if got := gates[0].Submit(t.Context(), testCall("/q/"+testID), jobDecoder("b")); got.Verdict != Invalid {
					t.Errorf("another job under the same id: %v (%s)", got.Verdict, got.Reason)
				}
				if took := time.Since(start); took > 100*time.Millisecond {
					t.Errorf("three submissions took %v", took)
				}
				if _, err := kv.Get(t.Context(), duty.JobKey(testID)); err != nil {
					t.Errorf("record of the accepted job: %v", err)
				}
				time.Sleep(time.Second)
				value, err := proto.Marshal(&flow.Work{Phase: flow.Phase_COMPLETED})
				if err != nil {
					t.Fatal(err)
				}
				putKey(t, kv, duty.ProgressKey(testID), string(value))
				if got := gates[0].State(t.Context(), testCall("/q/"+testID)); got.Phase != flow.Phase_COMPLETED {
					t.Errorf("state: %v %v (%s); want it completed", got.Verdict, got.Phase, got.Reason)
				}
				if got := gates[0].Cancel(t.Context(), testCall("/q/"+testID)); got.Verdict != Done {
					t.Errorf("cancel: %v (%s)", got.Verdict, got.Reason)
				}
				if gates[0].Ready() {
					t.Error("ready a second after the store was lost")
				}
				putKey(t, kv, "op/table", "2 k2")
				time.Sleep(time.Second)
				if got := gates[0].State(t.Context(), testCall("/q/"+testID)); got.Verdict != NoKey {
					t.Errorf("state with a removed key: %v (%s)", got.Verdict, got.Reason)
				}
			})
		})
	}
}

// If no gate reaches the store, callers are told to come back later: quick attempts
// would use up those that they have before the store is back.
func TestRefusalWhileNoGateReachesStore(t *testing.T) {
	withGates(t, 4, func(t *testing.T, kv *fakekv.Server, gates []*Gate, _ *testPeers) {
		kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		got := gates[0].Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a"))
		if got.Verdict != Refused || got.RetryAfter < time.Second || time.Since(start) > askTimeout {
			t.Errorf("submission: %v (%s), retry after %v, after %v; want a refusal", got.Verdict, got.Reason, got.RetryAfter, time.Since(start))
		}
	})
}

// A call that may have reached the other gate must not be refused, as the job may be
// stored there; one that did not is refused.
func TestForwardedSubmissionWithoutAnswer(t *testing.T) {
	tests := []struct {
		name     string
		err      error
		answered bool
		want     Verdict
	}{
		{"not sent", fmt.Errorf("%w: connection refused", ErrNotSent), false, Refused},
		{"answer lost", errors.New("connection reset"), true, Unknown},
		{"call lost", errors.New("connection reset"), false, Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withGates(t, 2, func(t *testing.T, kv *fakekv.Server, gates []*Gate, peers *testPeers) {
				kv.SetFaults("g1", fakekv.Faults{Down: true})
				peers.forwardErr, peers.answered = test.err, test.answered
				if got := gates[0].Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a")); got.Verdict != test.want {
					t.Errorf("verdict %v (%s); want %v", got.Verdict, got.Reason, test.want)
				}
				if got := gates[1].State(t.Context(), testCall("/q/"+testID)); (got.Verdict == Done) != test.answered {
					t.Errorf("state at the other gate: %v (%s); the call was answered there: %v", got.Verdict, got.Reason, test.answered)
				}
			})
		})
	}
}

// A verdict that this gate does not know, as of another version, has no status code.
func TestForwardedCallWithUnknownVerdict(t *testing.T) {
	for _, verdict := range []int32{-1, 99} {
		withGates(t, 2, func(t *testing.T, kv *fakekv.Server, gates []*Gate, peers *testPeers) {
			kv.SetFaults("g1", fakekv.Faults{Down: true})
			peers.verdict = verdict
			if got := gates[0].Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a")); got.Verdict != Unknown {
				t.Errorf("verdict %d: %v (%s); want unknown", verdict, got.Verdict, got.Reason)
			}
		})
	}
}

// A malformed call of another gate costs that call alone.
func TestMalformedForwardedCall(t *testing.T) {
	withGates(t, 1, func(t *testing.T, _ *fakekv.Server, gates []*Gate, _ *testPeers) {
		for _, request := range []*flow.ForwardedCall{
			{},
			{Operation: 99},
			{Operation: flow.Operation_SUBMIT, Host: "h", Path: "/q/" + testID, Key: "k1"},
			{Operation: flow.Operation_STATE, Host: "h", Path: "/q/xyz", Key: "k1", BudgetMs: -1},
		} {
			answer := &flow.ForwardedAnswer{}
			if err := gates[0].RPCHandlers().Forward(request, answer); err == nil && Verdict(answer.GetVerdict()) == Done {
				t.Errorf("call %v: done; want an error or a refusal", request)
			}
		}
		if got := gates[0].Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a")); got.Verdict != Done {
			t.Errorf("submission afterwards: %v (%s)", got.Verdict, got.Reason)
		}
	})
}
