package place

import (
	"cmp"
	"slices"
	"time"
)

// rank is the order of service between kinds of jobs.
//
// Work within a guarantee goes first because the guarantee is a promise.
type rank int

const (
	entitledUrgent rank = iota
	entitledRank
	urgentRank
	otherRank
)

// shortest is the least run time that the order tells apart, so that a
// learned run time of nearly zero does not outweigh everything else.
const shortest = time.Second

// sorted brings the requests into the order of service.
func (d *decision) sorted(requests []request) {
	for i := range requests {
		requests[i].score = d.score(&requests[i])
		requests[i].rank = otherRank
		if requests[i].Urgent {
			requests[i].rank = urgentRank
		}
	}
	d.entitle(requests)
	slices.SortStableFunc(requests, func(a, b request) int {
		if c := cmp.Compare(a.rank, b.rank); c != 0 {
			return c
		}
		return cmp.Compare(a.score, b.score)
	})
}

// entitle raises the rank of the jobs that fit their customers' guarantees,
// urgent ones first and then in order of submission, so that a job that
// fitted when it was submitted is not passed by later ones.
func (d *decision) entitle(requests []request) {
	spent := make(map[int]int)
	for _, from := range []rank{urgentRank, otherRank} {
		for i := range requests {
			r := &requests[i]
			need := r.Tasks * r.Accelerators
			t := &d.tallies[r.customer]
			if r.rank != from || need == 0 || t.usage+spent[r.customer]+need > t.guaranteed {
				continue
			}
			spent[r.customer] += need
			r.rank -= urgentRank
		}
	}
}

// remaining is the run time that is left by the learned estimate.
func (r *request) remaining() time.Duration {
	return max(shortest, r.Expected-r.Done)
}

// score is lower for jobs that go first: little expected work first, which
// gives the least mean completion time, corrected by the time already waited
// and by how much of its weighted share the customer uses.
func (d *decision) score(r *request) float64 {
	left := r.remaining().Seconds()
	wait := max(0, d.now.Sub(r.Submitted).Seconds())
	work := left * float64(max(1, r.Tasks*r.Accelerators))
	return work * d.fairness(r.customer) / (1 + wait/left)
}

// fairness is the customer's use over its weighted share, between 0.5 and 2.
func (d *decision) fairness(customer int) float64 {
	t := &d.tallies[customer]
	if d.weights == 0 || d.used == 0 {
		return 1
	}
	share := float64(t.usage) / float64(d.used)
	due := t.weight / d.weights
	return min(2, max(0.5, share/due))
}
