package duty

import (
	"cmp"
	"slices"
	"time"

	"catkinpoint/flow"
)

const (
	// groupsSettleTime is how long after its start a scheduler does not know which
	// workers exist, as some have not reported to it yet.
	groupsSettleTime = 10 * time.Second
	// groupsMemory is how long a worker counts after its last report. Workers that
	// are cut off or being replaced return within this time.
	groupsMemory = time.Minute
)

// WorkerGroups returns the workers that reported within groupsMemory, grouped by equal
// properties. It returns nil until groupsSettleTime after the scheduler's start.
// Workers that are draining, gone or cut off count, as they or their replacements
// may return.
func (s *Scheduler) WorkerGroups() []*flow.WorkerGroup {
	if groups := s.groups.Load(); groups != nil {
		return *groups
	}
	return nil
}

// updateWorkerGroups refreshes what WorkerGroups returns, at most once in a planPeriod.
func (st *state) updateWorkerGroups(s *Scheduler, now time.Duration) {
	if now < st.nextWorkerGroups || now-st.startedAt < groupsSettleTime {
		return
	}
	st.nextWorkerGroups = now + planPeriod
	var groups []*flow.WorkerGroup
	for _, w := range st.workers {
		if now-w.lastReport > groupsMemory {
			continue
		}
		group := &flow.WorkerGroup{
			Service: w.info.GetService(), Labels: w.info.GetLabels(), Cpu: w.info.GetCpu(),
			MemoryMb: w.info.GetMemoryMb(), Accelerators: w.info.GetAccelerators(), Workers: 1,
		}
		i, found := slices.BinarySearchFunc(groups, group, compareWorkerGroups)
		if found {
			groups[i].Workers++
			continue
		}
		groups = slices.Insert(groups, i, group)
	}
	s.groups.Store(&groups)
}

func compareWorkerGroups(a, b *flow.WorkerGroup) int {
	return cmp.Or(
		cmp.Compare(a.GetService(), b.GetService()), slices.Compare(a.GetLabels(), b.GetLabels()), cmp.Compare(a.GetCpu(), b.GetCpu()),
		cmp.Compare(a.GetMemoryMb(), b.GetMemoryMb()), cmp.Compare(a.GetAccelerators(), b.GetAccelerators()),
	)
}
