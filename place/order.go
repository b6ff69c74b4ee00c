package place

import (
	"cmp"
	"slices"
	"time"
)

// tier is the first key of the order of service; lower tiers go first.
type tier int

// Jobs within a guarantee go first because the guarantee is a promise to the
// customer. Subtracting tierUrgent turns tierUrgent into tierEntitledUrgent and
// tierOther into tierEntitled.
const (
	tierEntitledUrgent tier = iota // urgent and within a guarantee
	tierEntitled                   // within a guarantee
	tierUrgent
	tierOther
)

// minRunTime is the lower bound of run times in the order of service, so that a
// learned run time of nearly zero does not outweigh everything else.
const minRunTime = time.Second

// sortQueue sets the tiers and scores of the jobs and sorts the jobs by them.
func (d *decision) sortQueue(jobs []queuedJob) {
	for i := range jobs {
		jobs[i].score = d.score(&jobs[i])
		jobs[i].tier = tierOther
		if jobs[i].Urgent {
			jobs[i].tier = tierUrgent
		}
	}
	d.promoteEntitled(jobs)
	slices.SortStableFunc(jobs, func(a, b queuedJob) int {
		if c := cmp.Compare(a.tier, b.tier); c != 0 {
			return c
		}
		return cmp.Compare(a.score, b.score)
	})
}

// promoteEntitled raises jobs that fit their customers' guarantees to the
// entitled tiers, urgent ones first and then in the order of State.Queue, so that
// later jobs don't overtake a job that fitted when it was submitted.
func (d *decision) promoteEntitled(jobs []queuedJob) {
	promoted := make(map[int]int) // accelerators by customer
	for _, base := range []tier{tierUrgent, tierOther} {
		for i := range jobs {
			j := &jobs[i]
			need := j.Tasks * j.Accelerators
			t := &d.totals[j.customer]
			if j.tier != base || need == 0 || t.usage+promoted[j.customer]+need > t.guaranteed {
				continue
			}
			promoted[j.customer] += need
			j.tier -= tierUrgent
		}
	}
}

// remaining returns the expected run time that is left, at least minRunTime.
func (j *queuedJob) remaining() time.Duration {
	return max(minRunTime, j.ExpectedRunTime-j.CompletedWork)
}

// score returns the order within a tier; lower scores go first. Jobs with little
// expected work score low, which gives the least mean completion time. A long
// wait lowers the score, and use above the customer's weighted share raises it.
func (d *decision) score(j *queuedJob) float64 {
	left := j.remaining().Seconds()
	wait := max(0, d.now.Sub(j.Submitted).Seconds())
	work := left * float64(max(1, j.Tasks*j.Accelerators))
	return work * d.fairness(j.customer) / (1 + wait/left)
}

// fairness returns the customer's share of the accelerators in use, divided by
// its share of the weights, between 0.5 and 2.
func (d *decision) fairness(customer int) float64 {
	t := &d.totals[customer]
	if d.totalWeight == 0 || d.totalUsage == 0 {
		return 1
	}
	share := float64(t.usage) / float64(d.totalUsage)
	weightedShare := t.weight / d.totalWeight
	return min(2, max(0.5, share/weightedShare))
}
