package sched

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/gang"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// readRecords reads the job records from the store, until it succeeds or ctx ends,
// and resumes the attempts that earlier schedulers of this data centre committed.
func (s *Scheduler) readRecords(ctx context.Context) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, 5*storeTimeout)
		items, err := s.opts.Store.List(callCtx, RecordKey(""))
		cancel()
		if err == nil {
			s.post(func(c *control) { s.resumeFromRecords(c, items) })
			return
		}
		klog.Warningf("sched: The job records of %s could not be read: %v.", s.opts.DataCentre, err)
		if !clock.Sleep(ctx, storeRetry) {
			return
		}
	}
}

func (s *Scheduler) resumeFromRecords(c *control, items []store.Item) {
	c.recordsRead, c.dirty = true, true
	for _, item := range items {
		s.resumeFromRecord(c, item)
	}
}

// resumeFromRecord resumes the attempt that a record commits in this data centre,
// unless its job is known already. If another epoch committed it, the record is
// fenced.
func (s *Scheduler) resumeFromRecord(c *control, item store.Item) {
	record := new(wire.JobRecord)
	if err := proto.Unmarshal(item.Value, record); err != nil {
		klog.Errorf("sched: Job record %s cannot be decoded: %v.", item.Key, err)
		return
	}
	committedHere := record.GetDataCentre() == s.opts.DataCentre && record.GetPhase() == wire.JobRecord_COMMITTED
	if known, ok := c.jobs[record.GetJob().GetId()]; ok && !known.resubmittable() || !committedHere {
		return
	}
	j := &job{
		earlierFate: record.GetEarlier(),
		spec:        record.GetJob(),
		record:      record,
		revision:    item.Revision,
		lastAttempt: int(record.GetAttempt()),
		resumeFrom:  time.Duration(record.GetResumeMs()) * time.Millisecond,
	}
	s.resumeAttempt(c, j, record.GetMembers())
	if j.current != nil && record.GetEpoch() != s.opts.Epoch {
		s.fenceRecord(j, j.current)
	}
}

// fenceRecord writes this scheduler's epoch into the record of a job that an
// earlier scheduler committed. The earlier scheduler may have been cut off, have
// given up the job's workers and still be about to end the record; since the write
// changes the record's revision, it can no longer do so while the job goes on.
func (s *Scheduler) fenceRecord(j *job, a *attempt) {
	record := proto.CloneOf(j.record)
	record.Epoch, record.UpdatedUnixMs = s.opts.Epoch, time.Now().UnixMilli()
	revision := j.revision
	s.background.Go(func() {
		newRevision, err := s.persistRecord(record, revision, func() bool { return j.current == a })
		s.post(func(c *control) {
			switch {
			case j.current != a:
			case err == nil && newRevision > j.revision:
				j.record, j.revision = record, newRevision
			case errors.Is(err, errRecordChanged):
				j.stopReason = "another scheduler has ended the job"
				s.step(c, a, gang.Event{Kind: gang.EventStop, Reason: j.stopReason})
			}
		})
	})
}

// resumeAttempt makes the attempt with the given members, which an earlier
// scheduler committed or started, the current one of the job.
func (s *Scheduler) resumeAttempt(c *control, j *job, members []*wire.Member) {
	now := time.Now()
	coord, effects := gang.ResumeCoordinator(members)
	coord.Recorded = j.hasRecord()
	a := &attempt{
		id:       attemptID(members[0].GetAttempt()),
		job:      j,
		coord:    coord,
		members:  members,
		placedAt: now,
	}
	a.allocateMemberState(len(members))
	c.queue.Take(j.spec.GetId())
	j.phase, j.current = running, a
	c.jobs[j.spec.GetId()] = j
	c.addAttempt(a)
	klog.Infof("sched: Resumes attempt %s of an earlier scheduler.", a.id)
	s.applyEffects(c, a, effects)
	for _, m := range members {
		s.deliverOrphanStatus(c, m.GetAttempt())
	}
}

// attemptID returns the id of the attempt of a task: the task id without the rank.
func attemptID(task string) string {
	for i := len(task) - 1; i >= 0; i-- {
		if task[i] == '-' {
			return task[:i]
		}
	}
	return task
}

// applyOrphanStatus handles the reported status of a task that belongs to no
// current attempt. The task is kept as an orphan: it uses accelerators, and an
// entry may submit its job again. It is stopped if its job runs elsewhere or has
// ended.
func (s *Scheduler) applyOrphanStatus(c *control, report *wire.Report, status *wire.TaskStatus, now time.Time) {
	j, known := c.jobs[status.GetJobId()]
	if known && j.phase >= ending && gang.Final(status.GetState()) {
		delete(c.orphans, status.GetAttempt()) // settledTasks lets the agent forget the task
		return
	}
	o, ok := c.orphans[status.GetAttempt()]
	if !ok {
		if gang.Final(status.GetState()) && !status.GetStarted() {
			if c.recordsRead && !known {
				// An earlier scheduler may have committed the attempt after this one
				// read the records.
				s.lookUpRecord(status.GetJobId())
			}
			return
		}
		o = &orphan{worker: report.GetWorker(), lastSeen: now}
		c.orphans[status.GetAttempt()] = o
	}
	if o.status == nil || !o.status.GetHasResult() {
		o.status = status // agents send a result once, so a status with a result is kept
	}
	if !gang.Final(status.GetState()) {
		o.lastSeen = now
	}
	if known && j.phase == queued {
		s.adoptOrphan(c, j)
		return
	}
	if known && !gang.Final(status.GetState()) {
		// The worker was lost and has returned with a task whose job has ended
		// or runs elsewhere.
		s.stopOrphan(c, o, status.GetAttempt())
		return
	}
	if o.stale && !gang.Final(status.GetState()) {
		s.stopOrphan(c, o, status.GetAttempt())
		return
	}
	if c.recordsRead && o.lookedUpState != status.GetState() {
		// An earlier scheduler may commit the record at any time, so it is read
		// again after each change of the task's state.
		o.lookedUpState = status.GetState()
		s.lookUpRecord(status.GetJobId())
	}
}

// stopOrphan sends one Stop for the task to its agent, unless one is in progress.
// It is called for each report of the task until the task has stopped.
func (s *Scheduler) stopOrphan(c *control, o *orphan, task string) {
	w, ok := c.workers[o.worker]
	if !ok || o.stopping {
		return
	}
	o.stopping = true
	request := &wire.StopRequest{Epoch: s.opts.Epoch, Attempt: task, Reason: "the job is served elsewhere"}
	address := w.address
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.runCtx, callTimeout)
		defer cancel()
		err := s.opts.Pool.Call(ctx, address, "Agent.Stop", request, new(wire.TaskResponse))
		if err != nil {
			klog.V(1).Infof("sched: Orphaned task %s could not be stopped: %v.", task, err)
		}
		s.post(func(*control) { o.stopping = false })
	})
}

// lookUpRecord reads the record of a job from the store again, resumes the attempt
// that it commits and marks the orphans that it does not name as stale. An earlier
// scheduler may have committed it after this one read the records.
func (s *Scheduler) lookUpRecord(id string) {
	s.background.Go(func() {
		for {
			ctx, cancel := context.WithTimeout(s.runCtx, storeTimeout)
			item, err := s.opts.Store.Get(ctx, RecordKey(id))
			cancel()
			if errors.Is(err, store.ErrNotFound) {
				return
			}
			if err == nil {
				s.post(func(c *control) {
					s.resumeFromRecord(c, item)
					s.markStaleOrphans(c, item)
				})
				return
			}
			if !clock.Sleep(s.runCtx, storeRetry) {
				return
			}
		}
	})
}

// markStaleOrphans marks the orphans of the record's job that the record does not
// name, so that they are stopped, and forgotten by their agents once they have ended.
// Otherwise a task whose job has ended, for example by a cancellation while its
// worker was unreachable, would use its accelerators until it ended by itself, and
// an agent that drains would wait for orphanRetention.
func (s *Scheduler) markStaleOrphans(c *control, item store.Item) {
	record := new(wire.JobRecord)
	if err := proto.Unmarshal(item.Value, record); err != nil {
		return // logged by resumeFromRecord
	}
	for id, o := range c.orphans {
		// A task that has not started can still be committed.
		if o.status.GetJobId() == record.GetJob().GetId() && o.status.GetStarted() {
			o.stale = o.stale || !recordAllows(record, id)
		}
	}
}

// recordAllows reports whether the record commits the task.
func recordAllows(record *wire.JobRecord, task string) bool {
	return record.GetPhase() == wire.JobRecord_COMMITTED &&
		slices.ContainsFunc(record.GetMembers(), func(m *wire.Member) bool { return m.GetAttempt() == task })
}

// adoptOrphan resumes a single-task job without a record from the orphan that an
// earlier scheduler started for it, if there is one, so that it is not run twice.
func (s *Scheduler) adoptOrphan(c *control, j *job) {
	if j.hasRecord() || j.spec.GetTasks() > 1 {
		return
	}
	for id, o := range c.orphans {
		w, ok := c.workers[o.worker]
		if o.status.GetJobId() != j.spec.GetId() || !ok {
			continue
		}
		if gang.Final(o.status.GetState()) && o.status.GetState() != wire.TaskState_TASK_DONE {
			continue
		}
		member := &wire.Member{
			Worker:       o.worker,
			AgentAddress: w.report.GetAddress(),
			BootId:       w.report.GetBootId(),
			Accelerators: j.spec.GetAccelerators(),
			Attempt:      id,
		}
		s.resumeAttempt(c, j, []*wire.Member{member})
		return
	}
}

// deliverOrphanStatus passes the last reported status of an orphan to the attempt
// that the task now belongs to, and removes the orphan.
func (s *Scheduler) deliverOrphanStatus(c *control, task string) {
	o, ok := c.orphans[task]
	ref, known := c.tasks[task]
	if !ok || !known {
		return
	}
	delete(c.orphans, task)
	w := c.workers[o.worker]
	if w != nil {
		s.handleTaskStatus(c, ref.attempt, ref.rank, w.report.GetBootId(), o.status)
	}
}
