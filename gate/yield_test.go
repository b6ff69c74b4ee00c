package gate

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/stand/fakekv"
)

// gateGroup is a set of gates with different processor capacities that can ask each
// other to yield.
type gateGroup struct {
	mu    sync.Mutex
	gates map[netip.AddrPort]*Gate
}

// start runs gate number n, named "g<n>", until the test ends.
func (group *gateGroup) start(t *testing.T, kv *fakekv.Server, n int, processor int64) {
	t.Helper()
	addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n))
	name := fmt.Sprint("g", n)
	g := New(Options{
		Name: name, Address: addr, Processor: processor, KV: kv.WithCaller(name), OperatorKeys: testOperatorKeys, ClaimTTL: 1500 * time.Millisecond,
		Settings: duty.Settings{TaskLease: 9 * time.Second, ConfigAge: 2500 * time.Millisecond, StartAge: 4500 * time.Millisecond, Retention: time.Minute, RemoteFactor: 3},
		RequestYield: func(_ context.Context, holder netip.AddrPort, request *flow.YieldRequest) error {
			group.mu.Lock()
			g := group.gates[holder]
			group.mu.Unlock()
			if g != nil {
				return g.RPCHandlers().Yield(request, &flow.YieldResponse{})
			}
			return errors.New("no such gate")
		},
	})
	runUntilEnd(t, g)
	group.mu.Lock()
	defer group.mu.Unlock()
	group.gates[addr] = g
}

// holders returns the names of the gates that run the scheduler.
func (group *gateGroup) holders() []string {
	group.mu.Lock()
	defer group.mu.Unlock()
	var names []string
	for _, g := range group.gates {
		if g.scheduler.Load() != nil {
			names = append(names, g.opts.Name)
		}
	}
	return names
}

// The gate with the largest processor capacity ends up as the holder of the claim: it
// takes a free claim before smaller gates, and a smaller gate that took the claim
// while it was alone yields to a gate with at least minProcessorRatio times its
// capacity. At no time do two gates run the scheduler.
func TestLargestGateHoldsTheClaim(t *testing.T) {
	tests := []struct {
		name          string
		processors    []int64 // in the order in which the gates start
		startInterval time.Duration
		wait          time.Duration // after the last start
		want          string
	}{
		{"all gates start at once", []int64{192, 192, 800, 192}, 0, 2 * time.Second, "g3"},
		{"the large gate starts later", []int64{192, 800}, 3 * time.Second, 15 * time.Second, "g2"},
		{"the later gate is only slightly larger", []int64{400, 500}, 3 * time.Second, 15 * time.Second, "g1"},
		{"capacity of the holder is not known", []int64{0, 800}, 3 * time.Second, 15 * time.Second, "g1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := fakekv.New()
				putKey(t, kv, "op/table", "1 k1")
				kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Delay: 4 * time.Millisecond})
				group := &gateGroup{gates: map[netip.AddrPort]*Gate{}}
				for n, processor := range test.processors {
					group.start(t, kv, n+1, processor)
					time.Sleep(test.startInterval)
				}
				const pollPeriod = 50 * time.Millisecond
				for range test.wait / pollPeriod {
					time.Sleep(pollPeriod)
					if names := group.holders(); len(names) > 1 {
						t.Fatalf("two gates run the scheduler: %v", names)
					}
				}
				if names := group.holders(); len(names) != 1 || names[0] != test.want {
					t.Errorf("holders: %v; want %s", names, test.want)
				}
			})
		})
	}
}

// A request to yield names the epoch of the claim that should end. A request for an
// earlier epoch, which may arrive late, must not end the present claim.
func TestYieldAppliesToNamedEpochOnly(t *testing.T) {
	withGate(t, func(t *testing.T, _ *fakekv.Server, g *Gate) {
		time.Sleep(2 * time.Second)
		epoch := g.view.currentClaim().GetEpoch()
		yield := func(epoch int64) error {
			return g.RPCHandlers().Yield(&flow.YieldRequest{Epoch: epoch, Gate: "g2"}, &flow.YieldResponse{})
		}
		if err := yield(epoch - 1); !errors.Is(err, duty.ErrNotHolder) {
			t.Errorf("yielding an earlier claim: %v; want ErrNotHolder", err)
		}
		if err := yield(epoch); err != nil {
			t.Errorf("yield: %v", err)
		}
		time.Sleep(2 * time.Second)
		if got := g.view.currentClaim().GetEpoch(); got != epoch+1 {
			t.Errorf("epoch %d after the yield; want %d", got, epoch+1)
		}
	})
}
