package gate

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/route"
	"catkinpoint/stand/fakekv"
)

// A key of the operator or a record that cannot be decoded, or whose decoder panics,
// affects that key only: the last good value stays in force and later keys are read.
func TestBadKeyAffectsNoOtherKey(t *testing.T) {
	decodeTable := testOperatorKeys.Table
	testOperatorKeys.Table = func(key string, value []byte) (*route.Table, error) {
		if string(value) == "fault" {
			panic("fault in a decoder")
		}
		return decodeTable(key, value)
	}
	defer func() { testOperatorKeys.Table = decodeTable }()
	withGate(t, func(t *testing.T, kv *fakekv.Server, g *Gate) {
		putKey(t, kv, "op/table", "fault")
		time.Sleep(time.Second) // so that the gate sees this value and not only the next one
		putKey(t, kv, "op/out/keila", "x")
		putKey(t, kv, "op/table", "not a number")
		for _, prefix := range []string{"job/", "progress/", "cancel/", "gate/", "duty", "epoch", "other/"} {
			putKey(t, kv, duty.KeyPrefix+prefix+"\xff\x00", "\xff\xff\xff")
		}
		time.Sleep(time.Second)
		if !g.operator.Evacuated("keila") {
			t.Error("the evacuation key after the bad configuration was not applied")
		}
		if got := g.operator.Table().Version; got != 1 {
			t.Errorf("configuration version %d after a bad configuration; want 1", got)
		}
		odd, err := proto.Marshal(&flow.Claim{Holder: "odd", Address: "10.0.0.1:99999", Processor: 1 << 60})
		if err != nil {
			t.Fatal(err)
		}
		putKey(t, kv, duty.GateKey("odd"), string(odd))
		time.Sleep(time.Second)
		if got := g.view.otherGateAddresses("g1", 9); len(got) != 0 {
			t.Errorf("other gates: %v; want none, as the port is out of range", got)
		}
		if got := g.view.maxProcessor(); got >= 1<<60 {
			t.Errorf("largest processor %d is that of an entry that names no gate", got)
		}
		putKey(t, kv, "op/table", "2 k1")
		time.Sleep(3 * time.Second)
		if got := g.operator.Table().Version; got != 2 {
			t.Errorf("configuration version %d after a good configuration; want 2", got)
		}
		if got := g.Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a")); got.Verdict != Done {
			t.Errorf("submission after undecodable records: %+v", got)
		}
	})
}

// A report with nil elements, or a call without messages, that makes the handler
// panic fails alone: later reports are still answered.
func TestBadReportFailsAlone(t *testing.T) {
	withGate(t, func(t *testing.T, _ *fakekv.Server, g *Gate) {
		time.Sleep(2 * time.Second)
		calls := g.RPCHandlers()
		bad := &flow.Report{Relay: "r1", Sequence: 1, Listed: true, Epoch: g.view.currentClaim().GetEpoch(), Running: []*flow.Run{nil}, Ends: []*flow.End{nil, nil}, Refusals: []*flow.Refusal{nil}}
		_ = calls.Attend(bad, &flow.Orders{}) // it may fail or not
		if err := calls.Attend(nil, nil); err == nil {
			t.Error("a call with nil messages succeeds")
		}
		time.Sleep(5 * time.Second)
		report := &flow.Report{Relay: "r2", Sequence: 1, Worker: &flow.Worker{Id: "w", BornMs: 1, Service: "s"}}
		if err := calls.Attend(report, &flow.Orders{}); err != nil {
			t.Errorf("report after malformed ones: %v", err)
		}
	})
}
