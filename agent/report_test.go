package agent

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/gang"
	"catkinpoint/link"
	"catkinpoint/stand/pipe"
	"catkinpoint/wire"
)

// fakeEntry names itself as the scheduler with its epoch.
type fakeEntry struct {
	mu       sync.Mutex
	duty     *wire.Duty
	permitMS int64 // age of the permits it passes on
	reports  int
	fail     bool // the next report gets an error
}

// Locate implements the entry's call.
func (f *fakeEntry) Locate(_ *wire.LocateRequest, response *wire.LocateResponse) error {
	response.Duty = f.duty
	return nil
}

// Report implements the scheduler's call.
func (f *fakeEntry) Report(request *wire.Report, response *wire.ReportResponse) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if request.GetEpoch() > f.duty.GetEpoch() {
		response.NotHolder = true
		return nil
	}
	f.reports++
	if f.fail {
		f.fail = false
		return Error.New("failed")
	}
	response.Epoch = f.duty.GetEpoch()
	response.Permit = &wire.Permit{InService: true, Version: 1, AgeMs: f.permitMS}
	return nil
}

// Guards against a data centre without work: the first entry that the agent
// asks is cut off from the store and keeps its scheduler, which has no permit,
// while another entry has taken the duty.
func TestLeavesSchedulerWithoutPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listeners := make(map[string]*pipe.Listener)
		listen := func(port uint16) *pipe.Listener {
			l := pipe.New(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port))
			listeners[l.Addr().String()] = l
			return l
		}
		entries := []*fakeEntry{{permitMS: 60_000}, {permitMS: 100}}
		var addresses []netip.AddrPort
		for i, f := range entries {
			l := listen(uint16(1000 + i))
			f.duty = &wire.Duty{Epoch: int64(i + 1), Address: l.Addr().String()}
			addresses = append(addresses, netip.MustParseAddrPort(l.Addr().String()))
			server, err := link.NewServer()
			if err != nil {
				t.Fatal(err)
			}
			if err := server.Register("Entry", f); err != nil {
				t.Fatal(err)
			}
			if err := server.Register("Sched", f); err != nil {
				t.Fatal(err)
			}
			go server.Serve(l)
			defer server.Close()
			defer l.Close()
		}
		web, rpc := listen(2000), listen(2001)
		endpoint := &http.Server{Handler: &fakeEndpoint{calls: make(map[string]int)}}
		go endpoint.Serve(web)
		defer endpoint.Close()
		a, err := New(Options{
			Worker: "w", Address: netip.MustParseAddrPort(rpc.Addr().String()), Entries: addresses,
			Endpoint: netip.MustParseAddrPort(web.Addr().String()), Connections: 8,
			ReportPeriod: time.Second, TaskLease: 3 * time.Second, PermitAge: 3 * time.Second, Timers: gang.DefaultTimers(),
			Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return listeners[addr].Dial(ctx, network, addr)
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- a.Run(ctx, rpc) }()
		time.Sleep(15 * time.Second)
		entries[1].mu.Lock()
		reports := entries[1].reports
		entries[1].mu.Unlock()
		if reports < 5 {
			t.Errorf("%d reports to the holder of the duty in 15 s, want at least 5", reports)
		}
		entries[1].mu.Lock()
		entries[1].fail = true
		entries[1].mu.Unlock()
		time.Sleep(10 * time.Second)
		entries[1].mu.Lock()
		after := entries[1].reports
		entries[1].mu.Unlock()
		if after < reports+5 {
			t.Errorf("%d reports in 10 s after a failed one, want at least 5", after-reports)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}
