package place

import "time"

// FirstFit is the baseline policy: first in, first out, first worker that fits.
//
// It keeps guarantees by the same map of shapes as Main and reclaims lent
// work for a holder's job that is next. Without Backfill the first job that
// does not fit blocks all later ones.
type FirstFit struct {
	Backfill bool
}

// Name is the policy's name in reports.
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
	refuse := newRefuser(s)
	var actions []Action
	for i := range s.Queue {
		j := v.request(&s.Queue[i])
		if reason := refuse.size(&j); reason != "" {
			actions = append(actions, Action{Refuse: &Refuse{JobID: j.ID, Reason: reason}})
			continue
		}
		if !v.permitted(&j) {
			continue // a quota of one customer must not block the others
		}
		if seats := v.fit(&j, firstFit); seats != nil {
			actions = append(actions, v.book(&j, seats))
			continue
		}
		if reason := refuse.guarantees(&j); reason != "" {
			actions = append(actions, Action{Refuse: &Refuse{JobID: j.ID, Reason: reason}})
			continue
		}
		if v.entitled(&j) {
			if p, ok := v.planPreempt(&j, v.lentTo(j.customer)); ok {
				actions = append(actions, v.execute(&j, p, "reclaimed for "+j.Customer)...)
			}
		}
		if !f.Backfill {
			break
		}
	}
	return actions
}
