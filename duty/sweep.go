package duty

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/graph"
	"catkinpoint/store"
)

const (
	// sweepPeriod is the time between two searches for jobs to remove.
	sweepPeriod = 10 * time.Second
	// maxSweepJobs bounds the jobs that one transaction removes.
	maxSweepJobs = 7
	// maxSweepKeys bounds the records that one transaction removes if they are of removed
	// jobs, or pages.
	maxSweepKeys = 28
)

// sweep starts a transaction that removes the records of jobs that ended longer
// ago than the retention, and removes them from the state once it has committed.
func (s *Scheduler) sweep(st *state, now time.Duration) {
	st.nextSweep = now + sweepPeriod
	limit := time.Now().Add(-s.settings.Retention).UnixMilli()
	txn := store.Txn{Conditions: []store.Condition{{Key: claimKey, Revision: s.claim.Revision}}}
	var ids []string
	if orphans := st.orphanedKeys[:min(len(st.orphanedKeys), maxSweepKeys)]; len(orphans) > 0 {
		txn.Deletes = orphans
		st.nextSweep = now
		s.commitSweep(st, txn, func(st *state) {
			klog.InfoS("duty: records of removed jobs removed", "records", len(orphans))
			st.orphanedKeys = st.orphanedKeys[len(orphans):]
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
		if pages := j.storedPages(); len(pages) > 0 {
			if len(ids) == 0 {
				s.sweepPages(st, txn, j, pages[:min(len(pages), maxSweepKeys)], now)
				return
			}
			st.nextSweep = now
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

// storedPages returns the pages of a job's progress that are stored.
func (j *job) storedPages() []int64 {
	var pages []int64
	for page := range j.revisions {
		if page != graph.HeadPage {
			pages = append(pages, page)
		}
	}
	return pages
}

// sweepPages starts a transaction that removes pages of a job whose other records are
// removed after them.
func (s *Scheduler) sweepPages(st *state, txn store.Txn, j *job, pages []int64, now time.Duration) {
	for _, page := range pages {
		txn.Deletes = append(txn.Deletes, j.recordKey(page))
	}
	st.nextSweep = now
	s.commitSweep(st, txn, func(*state) {
		for _, page := range pages {
			delete(j.revisions, page)
		}
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
