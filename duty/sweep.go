package duty

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/store"
)

const (
	// sweepPeriod is the time between two searches for jobs to remove.
	sweepPeriod = 10 * time.Second
	// maxSweepJobs bounds the jobs that one transaction removes.
	maxSweepJobs = 10
)

// sweep starts a transaction that removes the records of jobs that ended longer
// ago than the retention, and removes them from the state once it has committed.
func (s *Scheduler) sweep(st *state, now time.Duration) {
	st.nextSweep = now + sweepPeriod
	limit := time.Now().Add(-s.settings.Retention).UnixMilli()
	txn := store.Txn{Conditions: []store.Condition{{Key: claimKey, Revision: s.claim.Revision}}}
	var ids []string
	for id, j := range st.jobs {
		if len(ids) == maxSweepJobs {
			st.nextSweep = now // there may be more jobs to remove
			break
		}
		if !j.settled() || j.graph.EndedUnixMS > limit {
			continue
		}
		ids = append(ids, id)
		txn.Deletes = append(txn.Deletes, JobKey(id), ProgressKey(id), CancelKey(id))
	}
	if len(ids) == 0 {
		return
	}
	st.sweeping = true
	go func() {
		callCtx, cancel := context.WithTimeout(s.ctx, storeCallTimeout)
		defer cancel()
		_, err := s.kv.Commit(callCtx, txn)
		s.stateOwner.Post(func(st *state) {
			st.sweeping = false
			if err != nil {
				klog.InfoS("duty: cannot remove ended jobs, will retry", "jobs", len(ids), "err", err)
				return
			}
			for _, id := range ids {
				st.removeJob(id)
			}
			klog.InfoS("duty: ended jobs removed", "jobs", len(ids))
		})
	}()
}
