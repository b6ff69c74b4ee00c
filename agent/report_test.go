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

// fakeEntry is an entry and the scheduler that it names.
type fakeEntry struct {
	mu          sync.Mutex
	duty        *wire.Duty
	permitAgeMS int64 // age of the permits in its responses
	reports     int
	failNext    bool // whether the next report fails
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
	if f.failNext {
		f.failNext = false
		return Error.New("failed")
	}
	response.Epoch = f.duty.GetEpoch()
	response.Permit = &wire.Permit{InService: true, Version: 1, AgeMs: f.permitAgeMS}
	return nil
}

// TestAgentLeavesSchedulerWithoutPermit guards against an agent that keeps reporting
// to a scheduler without a valid permit, so that its data centre gets no work: the
// first entry that the agent asks is cut off from the store and names its own
// scheduler, while another entry has taken the duty.
func TestAgentLeavesSchedulerWithoutPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listeners := make(map[string]*pipe.Listener)
		listen := func(port uint16) *pipe.Listener {
			l := pipe.New(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port))
			listeners[l.Addr().String()] = l
			return l
		}
		entries := []*fakeEntry{{permitAgeMS: 60_000}, {permitAgeMS: 100}}
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
		httpListener, rpcListener := listen(2000), listen(2001)
		endpoint := &http.Server{Handler: &fakeEndpoint{calls: make(map[string]int)}}
		go endpoint.Serve(httpListener)
		defer endpoint.Close()
		a, err := New(Options{
			Worker: "w", Address: netip.MustParseAddrPort(rpcListener.Addr().String()), Entries: addresses,
			Endpoint: netip.MustParseAddrPort(httpListener.Addr().String()), Connections: 8,
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
		go func() { ended <- a.Run(ctx, rpcListener) }()
		time.Sleep(15 * time.Second)
		entries[1].mu.Lock()
		reports := entries[1].reports
		entries[1].mu.Unlock()
		if reports < 5 {
			t.Errorf("%d reports to the scheduler with the duty in 15 s, want at least 5", reports)
		}
		entries[1].mu.Lock()
		entries[1].failNext = true
		entries[1].mu.Unlock()
		time.Sleep(10 * time.Second)
		entries[1].mu.Lock()
		reportsAfter := entries[1].reports
		entries[1].mu.Unlock()
		if reportsAfter < reports+5 {
			t.Errorf("%d reports in 10 s after a failed one, want at least 5", reportsAfter-reports)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}
