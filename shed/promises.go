package shed

import (
	"cmp"
	"slices"
	"time"

	"catkinpoint/flow"
	"catkinpoint/plan"
)

const (
	// maxPromises bounds the open promises. They are in one record of the store, with about
	// 100 bytes each.
	maxPromises = 256
	// returnWindow is how long after its time a caller may return. An attempt that is lost
	// costs a caller 3 s.
	returnWindow = 5 * time.Second
	// earlyShare and earlyTime are by how much a caller may return early: its clock may run
	// fast.
	earlyShare = 0.05
	earlyTime  = 100 * time.Millisecond
)

// returning says how the time of a call relates to the promise for its id.
type returning int

const (
	returnsUnpromised returning = iota
	returnsEarly
	returnsInTime
)

// Promises are the times at which refused callers were told to return. The zero value has
// none.
type Promises struct {
	byID map[string]*promise
	// changed is set if the list has changed since TakeChanged.
	changed bool
}

// promise is an open promise. It ends at endsUnixMS.
type promise struct {
	*flow.Promise
	endsUnixMS int64
}

// Ended are the ids of promises that have ended: kept, as the job is known, or expired.
type Ended struct{ Kept, Expired []string }

// Open returns the number of open promises.
func (p *Promises) Open() int { return len(p.byID) }

// List returns the open promises by the time of return, for storing.
func (p *Promises) List() []*flow.Promise {
	list := make([]*flow.Promise, 0, len(p.byID))
	for _, open := range p.byID {
		list = append(list, open.Promise)
	}
	slices.SortFunc(list, comparePromises)
	return list
}

// Restore adds promises that an earlier holder of the duty has stored.
func (p *Promises) Restore(list []*flow.Promise) {
	for _, stored := range list {
		if stored.GetId() != "" {
			p.add(stored)
		}
	}
	p.changed = false
}

// TakeChanged reports whether the list has changed since the last call.
func (p *Promises) TakeChanged() bool {
	changed := p.changed
	p.changed = false
	return changed
}

// Clone returns a copy for a decision that is not to change the promises.
func (p *Promises) Clone() *Promises {
	copied := &Promises{byID: make(map[string]*promise, len(p.byID)), changed: p.changed}
	for id, open := range p.byID {
		one := *open
		copied.byID[id] = &one
	}
	return copied
}

// Settle ends the promises whose job is known or whose time is over.
func (p *Promises) Settle(known func(id string) bool, nowUnixMS int64) Ended {
	var ended Ended
	for id, open := range p.byID {
		switch {
		case known(id):
			ended.Kept = append(ended.Kept, id)
		case nowUnixMS > open.endsUnixMS:
			ended.Expired = append(ended.Expired, id)
		default:
			continue
		}
		delete(p.byID, id)
		p.changed = true
	}
	return ended
}

// covers reports whether a job is the one that the promise was made for, as far as the promise
// tells: of the same queue and customer, with a step that takes the promised room. Otherwise a
// caller could obtain a promise for a small job and return with a large one.
func (p *promise) covers(job *flow.Job) bool {
	return p.GetQueue() == job.GetQueue() && p.GetCustomer() == job.GetCustomer() && slices.ContainsFunc(job.GetSteps(), func(step *flow.Step) bool {
		return p.GetTasks()*p.GetUnits() == step.GetCount() && p.GetMemoryMb() == step.GetMemoryMb() && p.GetAccelerators() == step.GetAccelerators()
	})
}

// take tells how a call relates to its promise, and how long a caller that is early has to
// wait. The promise of a caller that returns in time stays open until its job is known, as the
// job may not be stored.
func (p *Promises) take(job *flow.Job, nowUnixMS int64) (returning, time.Duration) {
	id := job.GetId()
	open := p.byID[id]
	if open == nil || nowUnixMS > open.endsUnixMS || !open.covers(job) {
		return returnsUnpromised, 0
	}
	left := time.Duration(open.GetReturnUnixMs()-nowUnixMS) * time.Millisecond
	told := time.Duration(open.GetReturnUnixMs()-open.GetFirstRefusedUnixMs()) * time.Millisecond
	if left > scaleTime(told, earlyShare)+earlyTime {
		return returnsEarly, left
	}
	if !open.GetFirm() {
		delete(p.byID, id)
		p.changed = true
		return returnsUnpromised, 0
	}
	open.endsUnixMS = max(open.endsUnixMS, nowUnixMS+returnWindow.Milliseconds())
	return returnsInTime, 0
}

// add adds a promise, unless too many are open.
func (p *Promises) add(made *flow.Promise) bool {
	if len(p.byID) >= maxPromises && p.byID[made.GetId()] == nil {
		return false
	}
	if p.byID == nil {
		p.byID = map[string]*promise{}
	}
	p.byID[made.GetId()] = &promise{made, made.GetReturnUnixMs() + returnWindow.Milliseconds()}
	p.changed = true
	return true
}

// lastDue returns when the last open promise is due.
func (p *Promises) lastDue(nowUnixMS int64) time.Duration {
	last := nowUnixMS
	for _, open := range p.byID {
		last = max(last, open.GetReturnUnixMs())
	}
	return time.Duration(last-nowUnixMS) * time.Millisecond
}

// before returns the work of the promises that comes before a job at a time: those for the same
// service with the same or a more urgent priority, by the time of return. Whether a job finds
// room depends on the firm ones alone, and the time at which one is to return on all, so that
// callers do not return at once.
func (p *Promises) before(job *flow.Job, nowUnixMS int64, firmOnly bool) []group {
	var groups []group
	for _, made := range p.List() {
		if made.GetService() != job.GetService() || made.GetPriority() > job.GetPriority() || made.GetId() == job.GetId() || firmOnly && !made.GetFirm() {
			continue
		}
		groups = append(groups, group{
			need:  plan.Resources{MilliCPU: made.GetCpu(), MemoryMB: made.GetMemoryMb(), Accelerators: made.GetAccelerators()},
			tasks: int(made.GetTasks()), units: int(made.GetUnits()), duration: time.Duration(made.GetDurationMs()) * time.Millisecond,
			notBefore: max(0, time.Duration(made.GetReturnUnixMs()-nowUnixMS)*time.Millisecond),
			slack:     Horizon, deadline: Horizon, urgent: made.GetPriority() == 0,
		})
	}
	return groups
}

// promiseOf returns the promise for a job that can start at a time from now. It takes the room
// of the step with the most work.
func promiseOf(q Question, nowUnixMS int64, start time.Duration, firm bool) *flow.Promise {
	p := &flow.Promise{
		Id: q.Job.GetId(), Queue: q.Job.GetQueue(), Customer: q.Job.GetCustomer(), Priority: q.Job.GetPriority(), Service: q.Job.GetService(),
		ReturnUnixMs: nowUnixMS + start.Milliseconds(), FirstRefusedUnixMs: nowUnixMS, Firm: firm,
	}
	for i := range q.Steps {
		r := &q.Steps[i]
		work := r.Need.CoreEquivalents() * float64(len(r.Unit.Tasks)*unitsOf(r)) * r.Duration.Seconds()
		if i > 0 && work <= p.Work {
			continue
		}
		p.Work, p.Tasks, p.Units, p.DurationMs = work, int32(len(r.Unit.Tasks)), int32(unitsOf(r)), r.Duration.Milliseconds()
		p.Cpu, p.MemoryMb, p.Accelerators = r.Need.MilliCPU, r.Need.MemoryMB, r.Need.Accelerators
	}
	return p
}

func comparePromises(a, b *flow.Promise) int {
	return cmp.Or(
		cmp.Compare(a.GetReturnUnixMs(), b.GetReturnUnixMs()), cmp.Compare(a.GetFirstRefusedUnixMs(), b.GetFirstRefusedUnixMs()),
		cmp.Compare(a.GetId(), b.GetId()),
	)
}
