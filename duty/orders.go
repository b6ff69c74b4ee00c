package duty

import "catkinpoint/graph"

const (
	// maxOrderBytes bounds the starts that a relay has been ordered and has not confirmed.
	maxOrderBytes = 128 << 10
	// orderShare is the part of the process's memory that these starts may take for all relays
	// together, and defaultMemory the memory if it is not known. Each of them is in memory
	// several times while it is sent.
	orderShare    = 1.0 / 16
	defaultMemory = 256 << 20
	// startOverhead is the length of an ordered start without its spec and checkpoint.
	startOverhead = 64
)

// orderStarts adds to the starts that a worker is ordered. These are in all answers to its
// relay until they are confirmed, so that what is sent and what the relay holds is bounded by
// their bytes; the other stored starts follow once some are confirmed.
func (st *state) orderStarts(s *Scheduler, w *worker) {
	if !w.reconciled {
		return
	}
	active := st.activeOn(w.relay)
	ordered := 0
	for _, t := range active {
		if r := t.job.runs[t.Ref]; w.isToStart(t, r) && r.orderedIn > 0 {
			ordered += orderBytes(t.job, t.Task)
		}
	}
	for _, t := range active {
		r := t.job.runs[t.Ref]
		if !w.isToStart(t, r) || r.orderedIn > 0 {
			continue
		}
		size := orderBytes(t.job, t.Task)
		if ordered > 0 && (ordered+size > maxOrderBytes || st.orderedBytes+size > s.maxOrderedBytes()) {
			return
		}
		ordered, st.orderedBytes = ordered+size, st.orderedBytes+size
		w.ordersChanged = true
		r.orderedIn = w.ordersVersion + 1
	}
}

// isToStart reports whether the start of a task's run on the worker may be ordered and is not
// confirmed.
func (w *worker) isToStart(t activeTask, r *run) bool {
	return t.Place == w.place && r != nil && r.stored && !r.stopOrdered && !t.Started && !t.Done
}

// orderBytes returns about how many bytes an ordered start of a task takes.
func orderBytes(j *job, t *graph.Task) int {
	return startOverhead + len(j.graph.Spec.GetSpec()) + len(t.Checkpoint)
}

// maxOrderedBytes returns how many bytes the ordered starts of all relays may take.
func (s *Scheduler) maxOrderedBytes() int {
	memory := s.settings.MemoryBytes
	if memory <= 0 {
		memory = defaultMemory
	}
	return int(orderShare * float64(memory))
}
