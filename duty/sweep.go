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
	maxSweepJobs = 7
)

// sweep starts a transaction that removes the records of jobs that ended longer
// ago than the retention, and removes them from the state once it has committed.
func (s *Scheduler) sweep(st *state, now time.Duration) {
	st.nextSweep = now + sweepPeriod
	limit := time.Now().Add(-s.settings.Retention).UnixMilli()
	txn := store.Txn{Conditions: []store.Condition{{Key: claimKey, Revision: s.claim.Revision}}}
	var ids []string
	orphans := st.orphanedCrashes[:min(len(st.orphanedCrashes), maxSweepJobs)]
	if len(orphans) > 0 {
		for _, id := range orphans {
			txn.Deletes = append(txn.Deletes, CrashKey(id))
		}
		st.nextSweep = now
		s.commitSweep(st, txn, func(st *state) {
			klog.InfoS("duty: crash records of removed jobs removed", "jobs", len(orphans))
			st.orphanedCrashes = st.orphanedCrashes[len(orphans):]
		})
		return
	}
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
		if j.graph.HasCrashes() {
			txn.Deletes = append(txn.Deletes, CrashKey(id))
		}
	}
	if len(ids) == 0 {
		return
	}
	s.commitSweep(st, txn, func(st *state) {
		for _, id := range ids {
			st.removeJob(id)
		}
		klog.InfoS("duty: ended jobs removed", "jobs", len(ids))
	})
}

// commitSweep commits a transaction that removes records, and then calls removed.
func (s *Scheduler) commitSweep(st *state, txn store.Txn, removed func(*state)) {
	st.sweeping = true
	go func() {
		callCtx, cancel := context.WithTimeout(s.ctx, storeCallTimeout)
		defer cancel()
		_, err := s.kv.Commit(callCtx, txn)
		s.stateOwner.Post(func(st *state) {
			st.sweeping = false
			if err != nil {
				klog.InfoS("duty: cannot remove records, will retry", "records", len(txn.Deletes), "err", err)
				return
			}
			removed(st)
		})
	}()
}
