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

//go:embed cluster.ini
var declarations []byte

const (
	mainDC    = "keila"         // the data centre in which the watched gang runs
	drainedDC = "tallinn-north" // the data centre that operators take out of service
	callers   = "callers"       // name of the process of all callers
	// observer is the caller name under which the tests read the store. Its calls
	// are not disturbed by killed and frozen processes.
	observer = "observer"

	entryCount   = 3
	workersPerDC = 4
	// latency is the one-way delay between two processes.
	latency = time.Millisecond
	// handlerEndWait is longer than the default deadline of a request, 10 minutes.
	handlerEndWait = 11 * time.Minute
)

// Cluster is a running system into which faults can be injected.
type Cluster struct {
	System    *local.System
	Net       *pipe.Network
	StartTime time.Time // of the workload

	mu            sync.Mutex
	frozen        map[string]chan struct{} // by process; closed at the end of the freeze
	killed        map[string]bool          // by process
	answersToLose int                      // number of store writes whose answers are still to be lost
	headWrites    []headWrite
	entryOrder    [entryCount]int // numbers of the entries; see entryAddress
	callerHost    *pipe.Host
	watch         stepWatcher
	// reorder gives each message its own delay, so that messages of different
	// connections overtake each other.
	reorder      bool
	messageCount int // number of messages that were delayed by reorder
}

// headWrite is a change of the configuration that took effect in the store.
type headWrite struct {
	at           time.Time
	version      int64
	change       string // its id
	outOfService *bool  // see outOfServiceAfter
}

// NewCluster starts a system of three entries and two data centres with four
// workers each, and waits until it is ready.
func NewCluster(ctx context.Context) (*Cluster, error) {
	c := &Cluster{frozen: make(map[string]chan struct{}), killed: make(map[string]bool)}
	c.Net = pipe.NewNetwork(c.delay)
	c.Net.OnSend = c.onMessage
	c.callerHost = c.Net.Host(callers)
	system, err := local.Start(ctx, local.Options{
		Entries:      entryCount,
		Workers:      workersPerDC,
		Declarations: declarations,
		Net:          func(process string) local.Network { return c.Net.Host(process) },
	})
	if err != nil {
		return nil, fmt.Errorf("starting cluster: %w", err)
	}
	c.System = system
	system.Store.SetInterceptor(c.interceptStoreCall)
	time.Sleep(5 * time.Second)
	c.entryOrder = [entryCount]int{0, 1, 2}
	if c.schedulingEntry(mainDC) == "entry-2" {
		c.entryOrder = [entryCount]int{2, 1, 0}
	}
	c.StartTime = time.Now()
	return c, nil
}

// Close stops all processes and waits until their goroutines have ended.
func (c *Cluster) Close() error {
	for _, name := range c.processes() {
		c.Thaw(name)
	}
	c.System.Store.ClearFaults()
	c.Net.Close()
	if err := c.System.Stop(); err != nil {
		return fmt.Errorf("closing cluster: %w", err)
	}
	// Requests that outlast their entry end at their deadlines.
	time.Sleep(handlerEndWait)
	return nil
}

// processes returns the names of all entries and agents.
func (c *Cluster) processes() []string {
	var names []string
	for i := range entryCount {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	return append(names, c.agents()...)
}

// agents returns the names of the workers, which are those of their agents too.
func (c *Cluster) agents() []string {
	var names []string
	for _, dc := range []string{mainDC, drainedDC} {
		for i := range workersPerDC {
			names = append(names, fmt.Sprintf("%s-%02d", dc, i))
		}
	}
	return names
}

// delay returns the time that a message takes. Reordered messages take up to
// 160 ms, which is shorter than every time limit of the protocols. Messages of
// endpoints are not reordered.
func (c *Cluster) delay(from, to string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reorder || strings.HasPrefix(to, "endpoint") || strings.HasPrefix(from, "endpoint") {
		return latency
	}
	c.messageCount++
	return latency + time.Duration(c.messageCount*7919%160)*time.Millisecond
}

// Freeze pauses a process: its messages in both directions, its calls to the store
// and its control goroutines.
func (c *Cluster) Freeze(name string) {
	thawed := make(chan struct{})
	c.mu.Lock()
	c.frozen[name] = thawed
	c.mu.Unlock()
	c.Net.Freeze(name)
	p := c.System.Process(name)
	switch {
	case p == nil:
	case p.Agent != nil:
		p.Agent.BlockControl(thawed)
	case p.Entry != nil:
		p.Entry.BlockSchedulers(thawed)
	}
}

// Thaw ends the freeze of a process, if there is one.
func (c *Cluster) Thaw(name string) {
	c.mu.Lock()
	thawed, ok := c.frozen[name]
	delete(c.frozen, name)
	c.mu.Unlock()
	if ok {
		close(thawed)
		c.Net.Thaw(name)
	}
}

// Kill ends a process as SIGKILL does: its connections break, its calls to the
// store fail, and nothing that its goroutines still do reaches another process.
func (c *Cluster) Kill(name string) {
	c.mu.Lock()
	c.killed[name] = true
	c.mu.Unlock()
	c.Net.Kill(name)
	if p := c.System.Process(name); p != nil {
		p.Stop()
	}
}

// interceptStoreCall delays the store calls of frozen processes until their thaw,
// fails those of killed ones, and loses the answers to writes that are to be lost.
// The store calls it before each call and again after a call took effect.
func (c *Cluster) interceptStoreCall(ctx context.Context, call fakekv.Call) error {
	if call.Caller == observer {
		return nil
	}
	c.mu.Lock()
	thawed, frozen := c.frozen[call.Caller]
	dead := c.killed[call.Caller]
	c.mu.Unlock()
	if frozen {
		<-thawed
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("the calling process was frozen: %w", err)
		}
	}
	if dead {
		return Error.New("the calling process was killed")
	}
	if call.Op != store.OpPut || !call.Applied {
		return nil
	}
	c.onWrite(call.Key)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answersToLose > 0 {
		c.answersToLose--
		return Error.New("the answer was lost")
	}
	return nil
}

// readMessage decodes the value of a key of the store into m, and reports whether
// it could. What it reads of jobs and duties serves to detect steps and to find
// jobs and processes, never to check promises.
func (c *Cluster) readMessage(key string, m proto.Message) bool {
	item, err := c.System.Store.WithCaller(observer).Get(context.Background(), key)
	return err == nil && proto.Unmarshal(item.Value, m) == nil
}

// openJobRecords describes the records of the jobs that have not ended.
func (c *Cluster) openJobRecords() []string {
	items, err := c.System.Store.WithCaller(observer).List(context.Background(), "job/")
	if err != nil {
		return []string{err.Error()}
	}
	var lines []string
	for _, item := range items {
		record := new(wire.JobRecord)
		if c.readMessage(item.Key, record) && record.GetPhase() != wire.JobRecord_ENDED {
			lines = append(lines, fmt.Sprintf("record %s %s epoch %d attempt %d", item.Key, record.GetPhase(), record.GetEpoch(), record.GetAttempt()))
		}
	}
	return lines
}

func cloneObject(o *wire.Object) *wire.Object { return proto.CloneOf(o) }

// schedulingEntry returns the name of the entry that schedules the data centre, or
// of the first entry if the store has no record of the duty.
func (c *Cluster) schedulingEntry(dc string) string {
	d := new(wire.Duty)
	if !c.readMessage("duty/"+dc, d) {
		return "entry-0"
	}
	return d.GetHolder()
}
