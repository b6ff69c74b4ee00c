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

// Finder answers like a gate that knows one claim.
type Finder struct{ claim *flow.Claim }

// Find implements the call of a gate.
func (f *Finder) Find(_ *flow.FindRequest, response *flow.FindResponse) error {
	response.Claim = f.claim
	return nil
}

func serveFinder(t *testing.T, claim *flow.Claim) netip.AddrPort {
	t.Helper()
	server, err := link.NewServer()
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Register(gate.RPCName, &Finder{claim}); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }() // it ends with the listener
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// Without the store, the latest claim that any gate knows counts: the gate that
// answers first may have lost the store before that claim was made.
func TestFinderTakesLatestClaim(t *testing.T) {
	kv := fakekv.New()
	kv.SetFaults(fakekv.Everyone, fakekv.Faults{Down: true})
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := gone.Close(); err != nil {
		t.Fatal(err)
	}
	gates := []netip.AddrPort{
		netip.MustParseAddrPort(gone.Addr().String()),
		serveFinder(t, &flow.Claim{Epoch: 3, Address: "10.0.0.3:1"}),
		serveFinder(t, &flow.Claim{Epoch: 7, Address: "10.0.0.7:1"}),
		serveFinder(t, nil),
	}
	f := &finder{kv: kv, gates: func() []netip.AddrPort { return gates }}
	if got, err := f.find(t.Context()); err != nil || got != netip.MustParseAddrPort("10.0.0.7:1") {
		t.Errorf("found %v, %v; want the holder of epoch 7", got, err)
	}
	f.gates = func() []netip.AddrPort { return gates[:1] }
	if got, err := f.find(t.Context()); err == nil {
		t.Errorf("found %v without any gate", got)
	}
}

// A report to a scheduler that has lost power, whose address does not answer,
// fails soon enough for the relay to find the next one as it claims.
func TestReportToSilentAddressFailsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &finder{dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		start := time.Now()
		if _, err := f.attend(ctx, netip.MustParseAddrPort("10.0.0.1:1"), &flow.Report{}); err == nil {
			t.Error("a report to a silent address was answered")
		}
		const limit = 500 * time.Millisecond
		if took := time.Since(start); took > limit {
			t.Errorf("the report failed after %v; want at most %v", took, limit)
		}
	})
}
