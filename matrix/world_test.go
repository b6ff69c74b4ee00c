package matrix

import (
	"context"
	_ "embed"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"catkinpoint/local"
	"catkinpoint/stand/fakekv"
	"catkinpoint/stand/pipe"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("matrix")

//go:embed world.ini
var declarations []byte

const (
	home    = "keila"
	away    = "tallinn-north"
	callers = "callers" // the process of all callers
	// observer is the caller under which the harness reads the store.
	observer = "observer"

	entryCount = 3
	perCentre  = 4
	// latency is the one-way delay between two processes.
	latency = time.Millisecond
	// handlersEnd is above the default deadline of a request, 10 minutes.
	handlersEnd = 11 * time.Minute
)

// World is a running system with the means to disturb it.
type World struct {
	System *local.System
	Net    *pipe.Network
	Began  time.Time

	mu         sync.Mutex
	frozen     map[string]chan struct{}
	dead       map[string]bool
	lose       int // answers of store writes that are still to be lost
	heads      []headWrite
	order      [entryCount]int // of the entries; see address
	callerHost *pipe.Host
	watch      watcher
	// reorder delays messages differently on each link.
	reorder bool
	sent    int
}

// headWrite is a change of the configuration that took effect in the store.
type headWrite struct {
	at      time.Time
	version int64
	change  string
	out     *bool // see leaves
}

// NewWorld starts a system of three entries and two data centres with four
// workers each, and waits until it is ready.
func NewWorld(ctx context.Context) (*World, error) {
	w := &World{frozen: make(map[string]chan struct{}), dead: make(map[string]bool)}
	w.Net = pipe.NewNetwork(w.delay)
	w.Net.OnSend = w.onMessage
	w.callerHost = w.Net.Host(callers)
	system, err := local.Start(ctx, local.Options{
		Entries:      entryCount,
		Workers:      perCentre,
		Declarations: declarations,
		Net:          func(process string) local.Network { return w.Net.Host(process) },
	})
	if err != nil {
		return nil, fmt.Errorf("starting world: %w", err)
	}
	w.System = system
	system.Store.SetInterceptor(w.gate)
	time.Sleep(5 * time.Second)
	w.order = [entryCount]int{0, 1, 2}
	if w.holder(home) == "entry-2" {
		w.order = [entryCount]int{2, 1, 0}
	}
	w.Began = time.Now()
	return w, nil
}

// Close ends the world; nothing is left running.
func (w *World) Close() error {
	for _, name := range w.processes() {
		w.Thaw(name)
	}
	w.System.Store.ClearFaults()
	w.Net.Close()
	if err := w.System.Stop(); err != nil {
		return fmt.Errorf("closing world: %w", err)
	}
	// Requests that the end of the entries left behind end with their deadlines.
	time.Sleep(handlersEnd)
	return nil
}

func (w *World) processes() []string {
	var names []string
	for i := range entryCount {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	return append(names, w.agents()...)
}

// agents lists the workers, whose agents have their names.
func (w *World) agents() []string {
	var names []string
	for _, dc := range []string{home, away} {
		for i := range perCentre {
			names = append(names, fmt.Sprintf("%s-%02d", dc, i))
		}
	}
	return names
}

// delay is the time a message takes. Reordered messages take up to 160 ms,
// which is below every time limit of the protocols.
func (w *World) delay(from, to string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.reorder || strings.HasPrefix(to, "endpoint") || strings.HasPrefix(from, "endpoint") {
		return latency
	}
	w.sent++
	return latency + time.Duration(w.sent*7919%160)*time.Millisecond
}

// Freeze pauses a process: what it sends and receives, its calls to the store
// and its control goroutines.
func (w *World) Freeze(name string) {
	until := make(chan struct{})
	w.mu.Lock()
	w.frozen[name] = until
	w.mu.Unlock()
	w.Net.Freeze(name)
	p := w.System.Process(name)
	switch {
	case p == nil:
	case p.Agent != nil:
		p.Agent.Hold(until)
	case p.Entry != nil:
		p.Entry.BlockSchedulers(until)
	}
}

// Thaw ends a freeze.
func (w *World) Thaw(name string) {
	w.mu.Lock()
	until, ok := w.frozen[name]
	delete(w.frozen, name)
	w.mu.Unlock()
	if ok {
		close(until)
		w.Net.Thaw(name)
	}
}

// Kill ends a process without any grace: its connections break, its calls to
// the store fail, and whatever its goroutines still do reaches nobody.
func (w *World) Kill(name string) {
	w.mu.Lock()
	w.dead[name] = true
	w.mu.Unlock()
	w.Net.Kill(name)
	if p := w.System.Process(name); p != nil {
		p.Stop()
	}
}

// gate holds back the store calls of frozen processes and fails those of dead ones.
func (w *World) gate(ctx context.Context, call fakekv.Call) error {
	if call.Caller == observer {
		return nil
	}
	w.mu.Lock()
	until, frozen := w.frozen[call.Caller]
	dead := w.dead[call.Caller]
	w.mu.Unlock()
	if frozen {
		<-until
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("paused: %w", err)
		}
	}
	if dead {
		return Error.New("the caller is dead")
	}
	if call.Op != store.OpPut || !call.Applied {
		return nil
	}
	w.onWrite(call.Key)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lose > 0 {
		w.lose--
		return Error.New("answer lost")
	}
	return nil
}

// read decodes a key of the store into a message; the harness uses it to
// follow the steps, never to judge.
func (w *World) read(key string, m proto.Message) bool {
	item, err := w.System.Store.WithCaller(observer).Get(context.Background(), key)
	return err == nil && proto.Unmarshal(item.Value, m) == nil
}

// openRecords describes the job records that have not ended.
func (w *World) openRecords() []string {
	items, err := w.System.Store.WithCaller(observer).List(context.Background(), "job/")
	if err != nil {
		return []string{err.Error()}
	}
	var lines []string
	for _, item := range items {
		record := new(wire.JobRecord)
		if w.read(item.Key, record) && record.GetPhase() != wire.JobRecord_ENDED {
			lines = append(lines, fmt.Sprintf("record %s %s epoch %d attempt %d", item.Key, record.GetPhase(), record.GetEpoch(), record.GetAttempt()))
		}
	}
	return lines
}

func cloneObject(o *wire.Object) *wire.Object { return proto.CloneOf(o) }

// holder returns the entry that schedules the data centre.
func (w *World) holder(dc string) string {
	d := new(wire.Duty)
	if !w.read("duty/"+dc, d) {
		return "entry-0"
	}
	return d.GetHolder()
}
