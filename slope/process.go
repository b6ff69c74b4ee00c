package slope

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"time"

	"catkinpoint/local"
	"catkinpoint/meter"
)

// processState is what the entry's process tells of itself.
type processState struct {
	Address string        `json:"address"` // for agents
	CPU     time.Duration `json:"cpu_ns"`
	Heap    uint64        `json:"heap_bytes"` // reachable
	Memory  uint64        `json:"memory_bytes"`
	Reads   int64         `json:"store_reads"`
	Writes  int64         `json:"store_writes"`
}

// Commands of the entry's process.
const (
	commandState = "state"
	commandHeap  = "heap"  // state after a garbage collection
	commandLapse = "lapse" // ends the entry's lease, and with it the duty
)

const entryName = "entry-0"

// ServeEntry runs an entry with the duty of one data centre, and the stand-in
// store, as a process of its own, until in ends. It answers each line of in
// with one line of JSON.
func ServeEntry(ctx context.Context, in io.Reader, out io.Writer, workers int) error {
	network := new(recordingNetwork)
	system, err := local.Start(ctx, local.Options{Entries: 1, Declarations: fleetDeclarations(workers), Net: func(string) local.Network { return network }})
	if err != nil {
		return Error.New("starting entry: %w", err)
	}
	defer system.Stop()
	encoder := json.NewEncoder(out)
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		if lines.Text() == commandLapse {
			system.Store.LapseLeases(entryName)
		}
		state, err := readProcess(lines.Text() == commandHeap)
		if err != nil {
			return err
		}
		counts := system.Store.Counts(entryName)
		state.Address = network.first().String()
		state.Reads, state.Writes = counts.Reads, counts.Writes
		if err := encoder.Encode(state); err != nil {
			return Error.New("answering: %w", err)
		}
	}
	return lines.Err()
}

// readProcess collects garbage only on request, since that costs CPU time.
func readProcess(heap bool) (processState, error) {
	usage, err := meter.ReadUsage()
	if err != nil {
		return processState{}, Error.Wrap(err)
	}
	state := processState{CPU: usage.CPU}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	state.Memory = stats.Sys - stats.HeapReleased
	if heap {
		state.Heap = liveHeap()
	}
	return state, nil
}

// recordingNetwork is loopback TCP that remembers its listeners' addresses.
type recordingNetwork struct {
	mu    sync.Mutex
	addrs []netip.AddrPort
}

// Listen opens a loopback socket.
func (n *recordingNetwork) Listen() (net.Listener, netip.AddrPort, error) {
	listener, addr, err := listenLoopback()
	if err != nil {
		return nil, addr, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addrs = append(n.addrs, addr)
	return listener, addr, nil
}

// Dial opens a TCP connection.
func (*recordingNetwork) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, network, addr)
}

// first is the address of the entry's links.
func (n *recordingNetwork) first() netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addrs[0]
}

func listenLoopback() (net.Listener, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, Error.New("listening: %w", err)
	}
	return listener, listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

const (
	fleetDataCentre = "sainte-foy"
	fleetService    = "planrestauro"
)

func fleetDeclarations(workers int) []byte {
	text := fmt.Appendf(nil, `
[data_centre %s]
region = quebec-capitale
workers = %d
accelerators_per_worker = %d
workers_per_rack = %d

[service %s]
slots = %d

`, fleetDataCentre, workers, sampleAccelerators, sampleRack, fleetService, sampleSlots)
	for i := range sampleTeams {
		text = fmt.Appendf(text, "\n[customer %s]\nqueue_limit = 20000\n", team(i))
	}
	// As in NewState, guarantees take half of the accelerators.
	count := workers * sampleAccelerators / 2 / guaranteedPerWorker / sampleGuarantees
	for i := range sampleGuarantees {
		if count > 0 {
			text = fmt.Appendf(text, "\n[guarantee g%d]\ncustomer = %s\naccelerators = %d\ncount = %d\ndata_centres = %s\n",
				i, team(i), guaranteedPerWorker, count, fleetDataCentre)
		}
	}
	return text
}
