package verbs

import (
	"net"
	"net/netip"
	"testing"

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
