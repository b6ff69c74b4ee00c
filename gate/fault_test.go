package gate

import (
	"testing"
	"time"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/route"
	"catkinpoint/stand/fakekv"
)

// A key of the operator or a record that cannot be read, and one whose decoding
// runs into a fault, cost that key: what was known stays, and later keys count.
func TestOneBadKeyCostsThatKey(t *testing.T) {
	good := testOperator.Table
	testOperator.Table = func(key string, value []byte) (*route.Table, error) {
		if string(value) == "fault" {
			panic("an unexpected fault")
		}
		return good(key, value)
	}
	defer func() { testOperator.Table = good }()
	world(t, func(t *testing.T, kv *fakekv.Server, g *Gate) {
		putKey(t, kv, "op/table", "fault")
		time.Sleep(time.Second) // the next write of the key would hide it
		putKey(t, kv, "op/out/keila", "x")
		putKey(t, kv, "op/table", "not a number")
		for _, prefix := range []string{"job/", "progress/", "cancel/", "gate/", "duty", "epoch", "other/"} {
			putKey(t, kv, duty.KeyPrefix+prefix+"\xff\x00", "\xff\xff\xff")
		}
		time.Sleep(time.Second)
		if !g.operator.Evacuated("keila") {
			t.Error("a key after the bad one is not in force")
		}
		if got := g.operator.Table().Version; got != 1 {
			t.Errorf("configuration %d after a bad one; want 1", got)
		}
		putKey(t, kv, "op/table", "2 k1")
		time.Sleep(3 * time.Second)
		if got := g.operator.Table().Version; got != 2 {
			t.Errorf("configuration %d; want 2", got)
		}
		if got := g.Submit(t.Context(), call("/q/"+testID), job("a")); got.Verdict != Done {
			t.Errorf("submission after bad records: %+v", got)
		}
	})
}

// A report that runs into a fault fails alone.
func TestOneBadReportCostsThatCall(t *testing.T) {
	world(t, func(t *testing.T, _ *fakekv.Server, g *Gate) {
		time.Sleep(2 * time.Second)
		calls := g.Calls()
		bad := &flow.Report{Relay: "r1", Sequence: 1, Listed: true, Epoch: g.board.holder().GetEpoch(), Running: []*flow.Run{nil}, Ends: []*flow.End{nil, nil}, Refusals: []*flow.Refusal{nil}}
		_ = calls.Attend(bad, &flow.Orders{}) // any answer will do
		if err := calls.Attend(nil, nil); err == nil {
			t.Error("a call without orders succeeds")
		}
		time.Sleep(5 * time.Second)
		report := &flow.Report{Relay: "r2", Sequence: 1, Worker: &flow.Worker{Id: "w", BornMs: 1, Service: "s"}}
		if err := calls.Attend(report, &flow.Orders{}); err != nil {
			t.Errorf("report after bad ones: %v", err)
		}
	})
}
