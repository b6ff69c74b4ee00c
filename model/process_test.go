package model

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/gate"
	"catkinpoint/relay"
	"catkinpoint/route"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// asConflict reports whether err is a conflict, and returns it.
func asConflict(err error, conflict **store.ConflictError) bool { return errors.As(err, conflict) }

// gateHost is the machine of a gate.
type gateHost struct {
	w     *world
	index int
	mu    sync.Mutex
	proc  *gateProcess // nil while it is down
	boots int
	// storeFaults apply to the present and later processes.
	storeFaults fakekv.Faults
	rejecting   int // number of faults for which the store rejects reads
	freezes     int
	thawed      chan struct{} // closed at the end of a freeze; nil if it is not frozen
}

// gateProcess is one process of a gate.
type gateProcess struct {
	gate   *gate.Gate
	caller string // its name at the store
	cancel context.CancelFunc
	dead   chan struct{} // closed when it is killed
}

func gateAddress(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(index)}), 1)
}

// taskLease is the task lease, as the default settings have it.
const taskLease = 9 * time.Second

// start starts a process of the gate.
func (h *gateHost) start(ctx context.Context) {
	table := route.New(1, 1000, nil, []route.Customer{{Name: "c", Guaranteed: 2}}, nil)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.boots++
	caller := fmt.Sprintf("g%d/%d", h.index, h.boots)
	g := gate.New(gate.Options{
		Name: fmt.Sprintf("g%d", h.index), Address: gateAddress(h.index), KV: h.w.kv.WithCaller(caller), ClaimTTL: time.Second,
		OperatorKeys: gate.OperatorKeys{
			Prefix:     "op/",
			Table:      func(string, []byte) (*route.Table, error) { return table, nil },
			Evacuation: func(string) string { return "" },
		},
		Settings: duty.Settings{
			TaskLease: taskLease, ConfigAge: 2500 * time.Millisecond, StartAge: 4500 * time.Millisecond,
			Retention: 5 * time.Minute, RemoteFactor: 3,
		},
	})
	ctx, cancel := context.WithCancel(ctx)
	h.proc = &gateProcess{gate: g, caller: caller, cancel: cancel, dead: make(chan struct{})}
	h.w.kv.SetFaults(caller, h.storeFaults)
	go func() { _ = g.Run(ctx) }() // it ends with ctx
}

// present returns the gate's process, or nil.
func (h *gateHost) present() *gateProcess {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proc
}

// kill ends the process without notice.
func (h *gateHost) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.proc == nil {
		return
	}
	close(h.proc.dead)
	h.proc.cancel()
	h.proc = nil
}

// freeze holds up all that the process sends and receives, until thaw.
func (h *gateHost) freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.freezes++; h.freezes == 1 {
		h.thawed = make(chan struct{})
	}
}

func (h *gateHost) thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.freezes--; h.freezes == 0 {
		close(h.thawed)
		h.thawed = nil
	}
}

// waitThawed waits until the gate is not frozen, and reports false if ctx ends first.
func (h *gateHost) waitThawed(ctx context.Context) bool {
	for {
		h.mu.Lock()
		thawed := h.thawed
		h.mu.Unlock()
		if thawed == nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-thawed:
		}
	}
}

// setStoreFaults sets the faults of the store towards this gate.
func (h *gateHost) setStoreFaults(f fakekv.Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeFaults = f
	if h.proc != nil {
		h.w.kv.SetFaults(h.proc.caller, f)
	}
}

// rejectReads changes the number of faults for which the store rejects reads.
func (h *gateHost) rejectReads(change int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejecting += change
}

var errRejected = errors.New("too many reads")

// readOps are the operations of the store that count as reads.
var readOps = []string{store.OpGet, store.OpList, store.OpWatch, "events"}

var errKilled = errors.New("the process was killed")

// interceptStore holds up the calls of frozen gates and fails those of killed ones.
func (w *world) interceptStore(ctx context.Context, call fakekv.Call) error {
	var index int
	if _, err := fmt.Sscanf(call.Caller, "g%d/", &index); err != nil || index >= len(w.gates) {
		return nil
	}
	h := w.gates[index]
	if !h.waitThawed(ctx) {
		return ctx.Err()
	}
	if !slices.Contains(readOps, call.Op) && w.losesCall(call) {
		<-ctx.Done() // nothing further comes on the channel
		return ctx.Err()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.proc == nil || h.proc.caller != call.Caller {
		return errKilled
	}
	if h.rejecting > 0 && slices.Contains(readOps, call.Op) {
		return errRejected
	}
	return nil
}

// losesCall draws whether the store loses a write or its answer.
func (w *world) losesCall(call fakekv.Call) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !call.Applied {
		return w.losingWrites > 0 && strings.HasPrefix(call.Key, duty.ProgressKey(""))
	}
	return w.losingAnswers > 0 && w.rng.IntN(2) == 0
}

// holder returns the gate that holds the claim, or nil.
func (w *world) holder(ctx context.Context) *gateHost {
	claim, err := duty.ReadClaim(ctx, w.kv.WithCaller("check"))
	if err != nil {
		return nil
	}
	for _, h := range w.gates {
		if claim.GetAddress() == gateAddress(h.index).String() {
			return h
		}
	}
	return nil
}

// relayHost is the process of a relay on the machine of a worker.
type relayHost struct {
	w       *world
	index   int
	machine *machine
	mu      sync.Mutex
	proc    *relay.Relay // nil while it is down
	cancel  context.CancelFunc
	conn    *conn
}

// present returns the relay's process, or nil.
func (h *relayHost) present() *relay.Relay {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proc
}

// start starts a process of the relay.
func (h *relayHost) start(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.proc != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	var r *relay.Relay
	r = relay.New(relay.Options{
		Name: fmt.Sprintf("10.0.0.%d:1", h.index), Worker: h.machine,
		FindScheduler: func(ctx context.Context) (netip.AddrPort, error) { return h.findScheduler(ctx, r) },
		SendReport:    h.sendReport,
	})
	h.proc, h.cancel, h.conn = r, cancel, nil
	go func() { _ = r.Run(ctx) }() // it ends with ctx
}

// kill ends the relay's process. Its calls may still be carried out.
func (h *relayHost) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.proc == nil {
		return
	}
	h.cancel()
	h.proc, h.conn = nil, nil
}

const findTimeout = 800 * time.Millisecond

// findScheduler finds the scheduler as the program relay does: by the claim in the store
// or, if the store does not answer, by asking the gates.
func (h *relayHost) findScheduler(ctx context.Context, r *relay.Relay) (netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	claim, err := duty.ReadClaim(ctx, h.w.kv.WithCaller(fmt.Sprintf("r%d", h.index)))
	if errors.Is(err, store.ErrNotFound) {
		return netip.AddrPort{}, err
	}
	if err != nil {
		claim = h.askGates(ctx, r.GateAddresses())
	}
	if claim.GetAddress() == "" {
		return netip.AddrPort{}, fmt.Errorf("no gate knows a claim: %w", err)
	}
	return netip.ParseAddrPort(claim.GetAddress())
}

// askGates returns the claim with the highest epoch that a gate knows, or nil.
func (h *relayHost) askGates(ctx context.Context, gates []netip.AddrPort) *flow.Claim {
	var latest *flow.Claim
	for _, addr := range gates {
		g := h.w.gateAt(addr)
		proc := g.present()
		if proc == nil || h.w.net.isCut(h.index, g.index, toGate) || h.w.net.isCut(h.index, g.index, toRelay) || !g.waitThawed(ctx) {
			continue
		}
		response := &flow.FindResponse{}
		if proc.gate.RPCHandlers().Find(&flow.FindRequest{}, response) == nil && response.GetClaim().GetEpoch() > latest.GetEpoch() {
			latest = response.GetClaim()
		}
	}
	return latest
}

// gateAt returns the gate with an address.
func (w *world) gateAt(addr netip.AddrPort) *gateHost {
	for _, g := range w.gates {
		if gateAddress(g.index) == addr {
			return g
		}
	}
	return nil
}
