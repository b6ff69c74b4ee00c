package procs

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
)

// Ports of the processes under test lie below the kernel's default range of
// ephemeral ports (32768 to 60999): a connection or another listener can't be
// given one between freeAddr and the start of the process that it is for.
const (
	firstPort = 10000
	ports     = 20000
)

// lastPort is the port that freeAddr tried last. It starts anywhere, so that
// test runs side by side seldom try the same ports.
var lastPort = rand.IntN(ports)

// freeAddr returns a loopback address that nothing listens on, another one at
// each call.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	for range ports {
		lastPort = (lastPort + 1) % ports
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+lastPort))
		if listener, err := net.Listen("tcp", addr.String()); err == nil {
			listener.Close()
			return addr
		}
	}
	t.Fatalf("no free port from %d to %d", firstPort, firstPort+ports-1)
	return netip.AddrPort{}
}

// TestFreeAddrsDiffer guards against two processes of a cluster that are given
// the same port: one of them ends at start, with "address already in use".
func TestFreeAddrsDiffer(t *testing.T) {
	seen := map[netip.AddrPort]bool{}
	for range 2000 {
		addr := freeAddr(t)
		if seen[addr] {
			t.Fatalf("%s was returned twice, within %d calls", addr, len(seen)+1)
		}
		seen[addr] = true
	}
}
