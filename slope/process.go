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

// processState holds the resources that a process has used. The entry's process
// answers each command with it as a line of JSON.
type processState struct {
	Address string        `json:"address"` // at which the entry accepts agents
	CPU     time.Duration `json:"cpu_ns"`
	Heap    uint64        `json:"heap_bytes"`   // of reachable objects; 0 if not measured
	Memory  uint64        `json:"memory_bytes"` // that the Go runtime holds
	Reads   int64         `json:"store_reads"`  // calls of the entry to the store
	Writes  int64         `json:"store_writes"`
}

// Commands to the entry's process.
const (
	commandState = "state" // report the state
	commandHeap  = "heap"  // report the state with the heap, after a garbage collection
	commandLapse = "lapse" // expire the entry's leases, so that it loses its duty
)

// entryName is the name that local.Start gives to the first entry.
const entryName = "entry-0"

// ServeEntry runs an entry that holds the duty of one data centre, that is, runs its
// scheduler, together with a fake store. It reads one command from each line of in,
// answers it with one line of JSON on out, and returns when in ends.
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
		state, err := readProcessState(lines.Text() == commandHeap)
		if err != nil {
			return err
		}
		counts := system.Store.Counts(entryName)
		state.Address = network.firstAddress().String()
		state.Reads, state.Writes = counts.Reads, counts.Writes
		if err := encoder.Encode(state); err != nil {
			return Error.New("writing state of the entry's process: %w", err)
		}
	}
	return lines.Err()
}

// readProcessState returns the state of this process. It measures the heap only on
// request, since the garbage collections for that use CPU time.
func readProcessState(collectGarbage bool) (processState, error) {
	usage, err := meter.ReadUsage()
	if err != nil {
		return processState{}, Error.Wrap(err)
	}
	state := processState{CPU: usage.CPU}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	state.Memory = stats.Sys - stats.HeapReleased
	if collectGarbage {
		state.Heap = liveHeap()
	}
	return state, nil
}

// recordingNetwork is loopback TCP that records the addresses of its listeners.
type recordingNetwork struct {
	mu    sync.Mutex
	addrs []netip.AddrPort
}

// Listen listens on a free loopback port.
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

// firstAddress returns the address of the first listener, at which the entry accepts
// links from agents.
func (n *recordingNetwork) firstAddress() netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addrs[0]
}

// listenLoopback listens on a free loopback port.
func listenLoopback() (net.Listener, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, Error.New("listening: %w", err)
	}
	return listener, listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Data centre and service of all agents.
const (
	fleetDataCentre = "sainte-foy"
	fleetService    = "planrestauro"
)

// fleetDeclarations returns the configuration of a data centre with the given number of
// workers.
func fleetDeclarations(workers int) []byte {
	text := fmt.Appendf(nil, `
[data_centre %s]
region = quebec-capitale
workers = %d
accelerators_per_worker = %d
workers_per_rack = %d

[service %s]
slots = %d

`, fleetDataCentre, workers, acceleratorsPerWorker, workersPerRack, fleetService, slotsPerWorker)
	for i := range customerCount {
		text = fmt.Appendf(text, "\n[customer %s]\nqueue_limit = 20000\n", customerName(i))
	}
	// Guarantees cover half of the accelerators, as in NewPlacementState.
	count := workers * acceleratorsPerWorker / 2 / acceleratorsPerShape / guaranteeCount
	for i := range guaranteeCount {
		if count > 0 {
			text = fmt.Appendf(text, "\n[guarantee g%d]\ncustomer = %s\naccelerators = %d\ncount = %d\ndata_centres = %s\n",
				i, customerName(i), acceleratorsPerShape, count, fleetDataCentre)
		}
	}
	return text
}
