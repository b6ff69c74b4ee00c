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

// sized is a set of gates of different sizes that reach each other.
type sized struct {
	mu    sync.Mutex
	gates map[netip.AddrPort]*Gate
}

func (s *sized) start(t *testing.T, kv *fakekv.Server, n int, processor int64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n))
	name := fmt.Sprint("g", n)
	g := New(Options{
		Name: name, Address: addr, Processor: processor, KV: kv.WithCaller(name), Operator: testOperator, ClaimTTL: 1500 * time.Millisecond,
		Settings: duty.Settings{TaskLease: 9 * time.Second, ConfigAge: 2500 * time.Millisecond, StartAge: 4500 * time.Millisecond, Retention: time.Minute, RemoteFactor: 3},
		Yield: func(_ context.Context, holder netip.AddrPort, request *flow.YieldRequest) error {
			s.mu.Lock()
			g := s.gates[holder]
			s.mu.Unlock()
			if g != nil {
				return g.Calls().Yield(request, &flow.YieldResponse{})
			}
			return errors.New("no such gate")
		},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := g.Run(ctx); err != nil {
			t.Errorf("gate %s: %v", name, err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gates[addr] = g
}

// holders returns the gates that do the duty now.
func (s *sized) holders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, g := range s.gates {
		if g.scheduler.Load() != nil {
			names = append(names, g.opts.Name)
		}
	}
	return names
}

// The largest gate holds the duty: it claims first, and a small one that took
// the duty while no other was there gives it up once a larger one is calm. No
// two gates hold it at any time.
func TestLargestGateHoldsTheDuty(t *testing.T) {
	tests := []struct {
		name  string
		sizes []int64 // in the order in which the gates start
		apart time.Duration
		after time.Duration // of the last start
		want  string
	}{
		{"all at once", []int64{192, 192, 800, 192}, 0, 2 * time.Second, "g3"},
		{"the large one comes later", []int64{192, 800}, 3 * time.Second, 15 * time.Second, "g2"},
		{"much the same size", []int64{400, 500}, 3 * time.Second, 15 * time.Second, "g1"},
		{"size not known", []int64{0, 800}, 3 * time.Second, 15 * time.Second, "g1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := fakekv.New()
				putKey(t, kv, "op/table", "1 k1")
				kv.SetFaults(fakekv.Everyone, fakekv.Faults{Slow: 4 * time.Millisecond})
				s := &sized{gates: map[netip.AddrPort]*Gate{}}
				for n, size := range test.sizes {
					s.start(t, kv, n+1, size)
					time.Sleep(test.apart)
				}
				const look = 50 * time.Millisecond
				for range test.after / look {
					time.Sleep(look)
					if names := s.holders(); len(names) > 1 {
						t.Fatalf("holders: %v", names)
					}
				}
				if names := s.holders(); len(names) != 1 || names[0] != test.want {
					t.Errorf("holders: %v; want %s", names, test.want)
				}
			})
		})
	}
}

// A holder gives up the duty when asked for its own claim, and not for an
// earlier one.
func TestYieldNamesTheClaim(t *testing.T) {
	world(t, func(t *testing.T, _ *fakekv.Server, g *Gate) {
		time.Sleep(2 * time.Second)
		epoch := g.board.holder().GetEpoch()
		yield := func(epoch int64) error {
			return g.Calls().Yield(&flow.YieldRequest{Epoch: epoch, Gate: "g2"}, &flow.YieldResponse{})
		}
		if err := yield(epoch - 1); !errors.Is(err, duty.ErrNotHolder) {
			t.Errorf("yield of an earlier claim: %v", err)
		}
		if err := yield(epoch); err != nil {
			t.Errorf("yield: %v", err)
		}
		time.Sleep(2 * time.Second)
		if got := g.board.holder().GetEpoch(); got != epoch+1 {
			t.Errorf("epoch %d after the yield; want %d", got, epoch+1)
		}
	})
}
