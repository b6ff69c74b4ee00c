package verbs

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/flow"
	"catkinpoint/gate"
	"catkinpoint/link"
	"catkinpoint/stand/fakekv"
)

// FakeGate answers Find like a gate that knows one claim.
type FakeGate struct{ claim *flow.Claim }

// Find handles the call Duty.Find.
func (f *FakeGate) Find(_ *flow.FindRequest, response *flow.FindResponse) error {
	response.Claim = f.claim
	return nil
}

// serveFakeGate serves a FakeGate until the test ends and returns its address.
func serveFakeGate(t *testing.T, claim *flow.Claim) netip.AddrPort {
	t.Helper()
	server, err := link.NewServer()
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Register(gate.RPCName, &FakeGate{claim}); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }() // returns when the listener is closed
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// TestFindSchedulerTakesLatestClaim guards against reports to a former scheduler
// while the store is unreachable: a gate that lost the store before the latest claim
// still answers with an older claim.
func TestFindSchedulerTakesLatestClaim(t *testing.T) {
	kv := fakekv.New()
	kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	gates := []netip.AddrPort{
		netip.MustParseAddrPort(closed.Addr().String()),
		serveFakeGate(t, &flow.Claim{Epoch: 3, Address: "10.0.0.3:1"}),
		serveFakeGate(t, &flow.Claim{Epoch: 7, Address: "10.0.0.7:1"}),
		serveFakeGate(t, nil),
	}
	client := &schedulerClient{kv: kv, gateAddresses: func() []netip.AddrPort { return gates }}
	if got, err := client.findScheduler(t.Context()); err != nil || got != netip.MustParseAddrPort("10.0.0.7:1") {
		t.Errorf("found %v, %v; want the address in the claim of epoch 7", got, err)
	}
	client.gateAddresses = func() []netip.AddrPort { return gates[:1] }
	if got, err := client.findScheduler(t.Context()); err == nil {
		t.Errorf("found %v, though no gate is reachable", got)
	}
}

// TestReportToUnreachableSchedulerTimesOut guards against a relay that finds the
// next scheduler too late because it still dials the address of one that has lost
// power, where nothing answers.
func TestReportToUnreachableSchedulerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &schedulerClient{dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		start := time.Now()
		if _, err := client.sendReport(ctx, netip.MustParseAddrPort("10.0.0.1:1"), &flow.Report{}); err == nil {
			t.Error("a report to an address where nothing answers succeeded")
		}
		const limit = 500 * time.Millisecond
		if took := time.Since(start); took > limit {
			t.Errorf("the report failed after %v; want at most %v", took, limit)
		}
	})
}
