package duty

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/store"
)

const (
	// sweepPeriod is the time between two looks for jobs to forget.
	sweepPeriod = 10 * time.Second
	// sweepJobs bounds the jobs that one transaction forgets.
	sweepJobs = 10
)

// sweep removes the records of jobs that ended longer than the retention ago.
func (s *Scheduler) sweep(st *state, now time.Duration) {
	st.sweepAt = now + sweepPeriod
	limit := time.Now().Add(-s.settings.Retention).UnixMilli()
	txn := store.Txn{Conditions: []store.Condition{{Key: claimKey, Revision: s.claim.Revision}}}
	var ids []string
	for id, j := range st.jobs {
		if len(ids) == sweepJobs {
			st.sweepAt = now // there may be more
			break
		}
		if !j.settled() || j.graph.EndedUnixMS > limit {
			continue
		}
		ids = append(ids, id)
		txn.Deletes = append(txn.Deletes, JobKey(id), WorkKey(id), CancelKey(id))
	}
	if len(ids) == 0 {
		return
	}
	st.sweeping = true
	go func() {
		call, cancel := context.WithTimeout(s.ctx, claimCallTime)
		defer cancel()
		_, err := s.kv.Commit(call, txn)
		s.own.Post(func(st *state) {
			st.sweeping = false
			if err != nil {
				klog.InfoS("duty: ended jobs not removed", "jobs", len(ids), "err", err)
				return
			}
			for _, id := range ids {
				st.forget(id)
			}
			klog.InfoS("duty: ended jobs removed", "jobs", len(ids))
		})
	}()
}
