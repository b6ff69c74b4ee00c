package gate

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/guard"
	"catkinpoint/route"
	"catkinpoint/store"
)

// jobState holds the records of one job. Each is nil, or false, until it is read.
type jobState struct {
	job       *flow.Job
	work      *flow.Work
	cancelled bool
	// ended is closed when the view learns that the job is over. It is nil if the records
	// were read for one caller.
	ended chan struct{}
}

// over reports whether the job has ended or is cancelled.
func (s *jobState) over() bool {
	p := s.phase()
	return p != flow.Phase_QUEUED && p != flow.Phase_RUNNING
}

// phase returns the phase that callers see: a job whose cancellation is stored
// counts as cancelled although the scheduler may not have ended it yet.
func (s *jobState) phase() flow.Phase {
	if p := s.work.GetPhase(); p == flow.Phase_QUEUED || p == flow.Phase_RUNNING {
		if s.cancelled {
			return flow.Phase_CANCELLED
		}
	}
	return s.work.GetPhase()
}

// storeView is this gate's copy of the keys under duty.KeyPrefix: the jobs, the
// gates and the claim.
type storeView struct {
	mu   sync.RWMutex
	jobs map[string]*jobState // by id
	// claim is nil while no gate holds the claim.
	claim *flow.Claim
	// gates are the gates that have stored their address, by name. A gate that
	// has ended may still be there.
	gates map[string]*flow.Claim
}

func newStoreView() *storeView {
	return &storeView{jobs: map[string]*jobState{}, gates: map[string]*flow.Claim{}}
}

// apply updates the view from changes of keys under duty.KeyPrefix. A record whose
// handling panics is logged and skipped.
func (v *storeView) apply(events []store.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range events {
		if err := guard.Run("record "+e.Key, func() { v.applyEvent(e) }); err != nil {
			klog.ErrorS(err, "gate: record passed over", "key", e.Key, "revision", e.Revision)
		}
	}
}

// applyEvent updates the view from one change. A record that cannot be decoded is
// logged and counts as empty.
func (v *storeView) applyEvent(e store.Event) {
	kind, id := duty.KindOf(e.Key)
	decode := func(m proto.Message) {
		if err := proto.Unmarshal(e.Value, m); err != nil {
			klog.ErrorS(err, "gate: record not decoded", "key", e.Key, "revision", e.Revision)
		}
	}
	switch {
	case kind == duty.KindClaim && e.Deleted:
		v.claim = nil
	case kind == duty.KindClaim:
		v.claim = &flow.Claim{}
		decode(v.claim)
	case kind == duty.KindGate && e.Deleted:
		delete(v.gates, id)
	case kind == duty.KindGate:
		gate := &flow.Claim{}
		decode(gate)
		if _, err := netip.ParseAddrPort(gate.GetAddress()); err != nil {
			klog.InfoS("gate: entry names no gate", "key", e.Key, "revision", e.Revision, "err", err)
			delete(v.gates, id)
			break
		}
		v.gates[id] = gate
	case kind == duty.KindJob && e.Deleted:
		delete(v.jobs, id)
	case kind == duty.KindJob:
		job := &flow.Job{}
		decode(job)
		v.ensureJob(id).job = job
	case e.Deleted:
	case kind == duty.KindProgress:
		work, err := graph.DecodeWork(e.Value)
		if err != nil {
			klog.ErrorS(err, "gate: record not decoded", "key", e.Key, "revision", e.Revision)
		}
		v.ensureJob(id).work = work
	case kind == duty.KindCancel:
		v.ensureJob(id).cancelled = true
	}
	if state := v.jobs[id]; kind != duty.KindJob && state != nil && state.over() {
		state.closeEnded()
	}
}

// closeEnded closes ended, unless that was done before.
func (s *jobState) closeEnded() {
	select {
	case <-s.ended:
	default:
		close(s.ended)
	}
}

// ensureJob returns the state of a job, which it adds if the view lacks it: the
// records of a job may arrive in any order.
func (v *storeView) ensureJob(id string) *jobState {
	state := v.jobs[id]
	if state == nil {
		state = &jobState{ended: make(chan struct{})}
		v.jobs[id] = state
	}
	return state
}

// findJob returns the state of an accepted job, and false if the view lacks the
// job's record.
func (v *storeView) findJob(id string) (jobState, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	state := v.jobs[id]
	if state == nil || state.job == nil {
		return jobState{}, false
	}
	return *state, true
}

// pendingJobs counts the accepted jobs of a queue for which no task has started.
func (v *storeView) pendingJobs(queue string) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	n := 0
	for _, state := range v.jobs {
		if state.job.GetQueue() == queue && state.phase() == flow.Phase_QUEUED {
			n++
		}
	}
	return n
}

// currentClaim returns the claim, which names the gate that runs the scheduler, or
// nil if no gate holds it.
func (v *storeView) currentClaim() *flow.Claim {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.claim
}

// otherGateAddresses returns the addresses of up to limit gates other than exclude.
func (v *storeView) otherGateAddresses(exclude string, limit int) []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list []string
	for _, name := range slices.Sorted(maps.Keys(v.gates)) {
		if name != exclude && len(list) < limit {
			list = append(list, v.gates[name].GetAddress())
		}
	}
	return list
}

// maxProcessor returns the largest processor capacity of the known gates, in
// thousandths of a processor.
func (v *storeView) maxProcessor() int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	maximum := int64(0)
	for _, gate := range v.gates {
		maximum = max(maximum, gate.GetProcessor())
	}
	return maximum
}

// operatorState is this gate's copy of what the operator has set: the
// configuration and the data centres that are out of service.
type operatorState struct {
	mu        sync.RWMutex
	table     *route.Table    // nil until a configuration is read
	evacuated map[string]bool // by data centre
	// age returns how long ago the copy was last known to be complete, and false if it
	// never was.
	age func() (time.Duration, bool)
}

// Table implements duty.Operator.
func (o *operatorState) Table() *route.Table {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.table
}

// Evacuated implements duty.Operator.
func (o *operatorState) Evacuated(dataCentre string) bool {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.evacuated[dataCentre]
}

// Age implements duty.Operator.
func (o *operatorState) Age() (time.Duration, bool) { return o.age() }

// setTable replaces the configuration, unless the version of table is lower than
// that of the present one.
func (o *operatorState) setTable(table *route.Table) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.table != nil && table.Version < o.table.Version {
		klog.InfoS("gate: older configuration ignored", "version", table.Version, "known", o.table.Version)
		return
	}
	klog.InfoS("gate: configuration in force", "version", table.Version)
	o.table = table
}

// setEvacuated records whether a data centre is out of service.
func (o *operatorState) setEvacuated(dataCentre string, evacuated bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	klog.InfoS("gate: data centre evacuation changed", "data_centre", dataCentre, "out", evacuated)
	o.evacuated[dataCentre] = evacuated
}
