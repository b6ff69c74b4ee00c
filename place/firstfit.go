package place

import "time"

// FirstFit is the baseline policy: it takes jobs in the order of State.Queue and
// places each on the first workers with room for it.
//
// It keeps guarantees by the same assignment of shapes as Main and preempts
// borrowers for jobs within their customers' guarantees. Without Backfill, the
// first job that does not fit blocks all later ones, unless only its customer's
// quota or the capacity of a returning data centre stops it.
type FirstFit struct {
	Backfill bool
}

// Name returns the policy's name in reports.
func (f FirstFit) Name() string {
	if f.Backfill {
		return "first_fit_backfill"
	}
	return "first_fit"
}

// Decide returns the actions to take now, in order.
func (f FirstFit) Decide(s *State, now time.Time) []Action {
	if !s.InService {
		return nil
	}
	v := newView(s, now)
	refusals := newRefusalChecker(s)
	var actions []Action
	for i := range s.Queue {
		j := v.newQueuedJob(&s.Queue[i])
		if reason := refusals.sizeReason(&j); reason != "" {
			actions = append(actions, Action{Refuse: &Refuse{JobID: j.ID, Reason: reason}})
			continue
		}
		if !v.withinLimits(&j) {
			continue // the quota of one customer must not block the others
		}
		if placement := v.fit(&j, firstFit); placement != nil {
			actions = append(actions, v.commit(&j, placement))
			continue
		}
		if reason := refusals.guaranteeReason(&j); reason != "" {
			actions = append(actions, Action{Refuse: &Refuse{JobID: j.ID, Reason: reason}})
			continue
		}
		if v.entitled(&j) {
			if p, ok := v.planPreemption(&j, v.reclaimableBy(j.customer)); ok {
				actions = append(actions, v.executePlan(&j, p, "reclaimed for "+j.Customer)...)
			}
		}
		if !f.Backfill {
			break
		}
	}
	return actions
}
