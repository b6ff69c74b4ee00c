package gate

import (
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/guard"
	"catkinpoint/route"
	"catkinpoint/store"
)

// entry is what is known of one job.
type entry struct {
	job       *flow.Job
	work      *flow.Work
	cancelled bool
}

// phase returns the state that callers see.
func (e *entry) phase() flow.Phase {
	if p := e.work.GetPhase(); p == flow.Phase_QUEUED || p == flow.Phase_RUNNING {
		if e.cancelled {
			return flow.Phase_CANCELLED
		}
	}
	return e.work.GetPhase()
}

// board is this gate's copy of the jobs and of who holds the duty.
type board struct {
	mu    sync.RWMutex
	jobs  map[string]*entry
	claim *flow.Claim
	// gates are the listed gates by name; one may have ended.
	gates map[string]*flow.Claim
}

func newBoard() *board { return &board{jobs: map[string]*entry{}, gates: map[string]*flow.Claim{}} }

// apply takes changes of the product's keys.
func (b *board) apply(events []store.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range events {
		if err := guard.Run("record "+e.Key, func() { b.change(e) }); err != nil {
			klog.ErrorS(err, "gate: record passed over", "key", e.Key, "revision", e.Revision)
		}
	}
}

func (b *board) change(e store.Event) {
	kind, id := duty.KindOf(e.Key)
	decode := func(m proto.Message) {
		if err := proto.Unmarshal(e.Value, m); err != nil {
			klog.ErrorS(err, "gate: record not decoded", "key", e.Key, "revision", e.Revision)
		}
	}
	switch {
	case kind == duty.KindClaim && e.Deleted:
		b.claim = nil
	case kind == duty.KindClaim:
		b.claim = &flow.Claim{}
		decode(b.claim)
	case kind == duty.KindGate && e.Deleted:
		delete(b.gates, id)
	case kind == duty.KindGate:
		known := &flow.Claim{}
		decode(known)
		b.gates[id] = known
	case kind == duty.KindJob && e.Deleted:
		delete(b.jobs, id)
	case kind == duty.KindJob:
		job := &flow.Job{}
		decode(job)
		b.entry(id).job = job
	case e.Deleted:
	case kind == duty.KindWork:
		work := &flow.Work{}
		decode(work)
		b.entry(id).work = work
	case kind == duty.KindCancel:
		b.entry(id).cancelled = true
	}
}

func (b *board) entry(id string) *entry {
	e := b.jobs[id]
	if e == nil {
		e = &entry{}
		b.jobs[id] = e
	}
	return e
}

// find returns what is known of an accepted job.
func (b *board) find(id string) (entry, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	e := b.jobs[id]
	if e == nil || e.job == nil {
		return entry{}, false
	}
	return *e, true
}

// pending counts the accepted jobs of a queue for which no task has started.
func (b *board) pending(queue string) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	n := 0
	for _, e := range b.jobs {
		if e.job.GetQueue() == queue && e.phase() == flow.Phase_QUEUED {
			n++
		}
	}
	return n
}

// Claim returns who holds the duty, or nil.
func (b *board) holder() *flow.Claim {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.claim
}

// addresses returns up to so many addresses of other gates.
func (b *board) addresses(except string, most int) []string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var list []string
	for _, name := range slices.Sorted(maps.Keys(b.gates)) {
		if name != except && len(list) < most {
			list = append(list, b.gates[name].GetAddress())
		}
	}
	return list
}

// bestProcessor returns the most processor that a listed gate may use, in
// thousandths.
func (b *board) bestProcessor() int64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	best := int64(0)
	for _, known := range b.gates {
		best = max(best, known.GetProcessor())
	}
	return best
}

// operator is this gate's copy of the operator's wishes.
type operator struct {
	mu        sync.RWMutex
	table     *route.Table
	evacuated map[string]bool
	age       func() (time.Duration, bool)
}

// Table implements duty.Operator.
func (o *operator) Table() *route.Table {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.table
}

// Evacuated implements duty.Operator.
func (o *operator) Evacuated(dataCentre string) bool {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.evacuated[dataCentre]
}

// Age implements duty.Operator.
func (o *operator) Age() (time.Duration, bool) { return o.age() }

// set takes a newer table; versions never go back.
func (o *operator) set(table *route.Table) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.table != nil && table.Version < o.table.Version {
		klog.InfoS("gate: older configuration ignored", "version", table.Version, "known", o.table.Version)
		return
	}
	klog.InfoS("gate: configuration in force", "version", table.Version)
	o.table = table
}

func (o *operator) evacuate(dataCentre string, out bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	klog.InfoS("gate: data centre evacuated", "data_centre", dataCentre, "out", out)
	o.evacuated[dataCentre] = out
}
