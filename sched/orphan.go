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

// load reads the job records of this data centre and continues what an earlier
// scheduler has committed.
func (s *Scheduler) load(ctx context.Context) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, 5*storeTimeout)
		items, err := s.opts.Store.List(callCtx, RecordKey(""))
		cancel()
		if err == nil {
			s.post(func(c *control) { s.loadRecords(c, items) })
			return
		}
		klog.Warningf("sched: The job records of %s could not be read: %v.", s.opts.DataCentre, err)
		if !clock.Sleep(ctx, storeRetry) {
			return
		}
	}
}

func (s *Scheduler) loadRecords(c *control, items []store.Item) {
	c.loaded, c.dirty = true, true
	for _, item := range items {
		s.loadRecord(c, item)
	}
}

// loadRecord continues a committed job that is not known yet.
func (s *Scheduler) loadRecord(c *control, item store.Item) {
	record := new(wire.JobRecord)
	if err := proto.Unmarshal(item.Value, record); err != nil {
		klog.Errorf("sched: Record %s cannot be read: %v.", item.Key, err)
		return
	}
	mine := record.GetDataCentre() == s.opts.DataCentre && record.GetPhase() == wire.JobRecord_COMMITTED
	if known, ok := c.jobs[record.GetJob().GetId()]; ok && !known.left() || !mine {
		return
	}
	j := &job{
		earlier:  record.GetEarlier(),
		spec:     record.GetJob(),
		record:   record,
		revision: item.Revision,
		number:   int(record.GetAttempt()),
		resume:   time.Duration(record.GetResumeMs()) * time.Millisecond,
	}
	s.resume(c, j, record.GetMembers())
	if j.current != nil && record.GetEpoch() != s.opts.Epoch {
		s.fence(j, j.current)
	}
}

// fence writes this scheduler's epoch into the record of a job that an earlier
// one has committed. The earlier one, which may have been cut off and have given
// up the job's workers, can then not end the record while the job goes on.
func (s *Scheduler) fence(j *job, a *attempt) {
	record := proto.CloneOf(j.record)
	record.Epoch, record.UpdatedUnixMs = s.opts.Epoch, time.Now().UnixMilli()
	revision := j.revision
	s.traffic.Go(func() {
		next, err := s.persist(record, revision, func() bool { return j.current == a })
		s.post(func(c *control) {
			switch {
			case j.current != a:
			case err == nil && next > j.revision:
				j.record, j.revision = record, next
			case errors.Is(err, errMoved):
				j.stopReason = "another scheduler has ended the job"
				s.step(c, a, gang.Event{Kind: gang.EventStop, Reason: j.stopReason})
			}
		})
	})
}

// resume continues the attempt with the given members.
func (s *Scheduler) resume(c *control, j *job, members []*wire.Member) {
	now := time.Now()
	coord, effects := gang.ResumeCoordinator(members)
	coord.Recorded = j.recorded()
	a := &attempt{
		id:      attemptOf(members[0].GetAttempt()),
		job:     j,
		coord:   coord,
		members: members,
		placed:  now,
	}
	a.allocate(len(members))
	c.queue.Take(j.spec.GetId())
	j.phase, j.current = running, a
	c.jobs[j.spec.GetId()] = j
	c.addAttempt(a)
	klog.Infof("sched: Continues attempt %s of an earlier scheduler.", a.id)
	s.apply(c, a, effects)
	for _, m := range members {
		s.adoptTask(c, m.GetAttempt())
	}
}

// attemptOf cuts the rank off a task id.
func attemptOf(task string) string {
	for i := len(task) - 1; i >= 0; i-- {
		if task[i] == '-' {
			return task[:i]
		}
	}
	return task
}

// takeOrphan keeps a task that no known job accounts for: its accelerators are
// in use, and an entry may submit its job again.
func (s *Scheduler) takeOrphan(c *control, report *wire.Report, status *wire.TaskStatus, now time.Time) {
	j, known := c.jobs[status.GetJobId()]
	if known && j.phase >= ending && gang.Final(status.GetState()) {
		delete(c.orphans, status.GetAttempt()) // the task is only to be settled
		return
	}
	o, ok := c.orphans[status.GetAttempt()]
	if !ok {
		if gang.Final(status.GetState()) && !status.GetStarted() {
			if c.loaded && !known {
				// A former scheduler may have committed the attempt late.
				s.lookUp(status.GetJobId())
			}
			return
		}
		o = &orphan{worker: report.GetWorker(), seen: now}
		c.orphans[status.GetAttempt()] = o
	}
	if o.status == nil || !o.status.GetHasResult() {
		o.status = status // agents send a result once, so a status with it stays
	}
	if !gang.Final(status.GetState()) {
		o.seen = now
	}
	if known && j.phase == queued {
		s.adoptOrphan(c, j)
		return
	}
	if known && !gang.Final(status.GetState()) {
		// A worker that was given up has come back with a task whose job has
		// ended or runs elsewhere.
		s.stopOrphan(c, o, status.GetAttempt())
		return
	}
	if o.stale && !gang.Final(status.GetState()) {
		s.stopOrphan(c, o, status.GetAttempt())
		return
	}
	if c.loaded && o.checked != status.GetState() {
		// A record can be committed late, so each state is looked up anew.
		o.checked = status.GetState()
		s.lookUp(status.GetJobId())
	}
}

// stopOrphan tells the agent once for each report period to stop the task.
func (s *Scheduler) stopOrphan(c *control, o *orphan, task string) {
	w, ok := c.workers[o.worker]
	if !ok || o.stopping {
		return
	}
	o.stopping = true
	request := &wire.StopRequest{Epoch: s.opts.Epoch, Attempt: task, Reason: "the job is served elsewhere"}
	address := w.address
	s.traffic.Go(func() {
		ctx, cancel := context.WithTimeout(s.life, callTimeout)
		defer cancel()
		err := s.opts.Pool.Call(ctx, address, "Agent.Stop", request, new(wire.TaskResponse))
		if err != nil {
			klog.V(1).Infof("sched: Task %s could not be stopped: %v.", task, err)
		}
		s.post(func(*control) { o.stopping = false })
	})
}

// lookUp reads the record of an orphan's job: an earlier scheduler may have
// committed it after this one has read the records.
func (s *Scheduler) lookUp(id string) {
	s.traffic.Go(func() {
		for {
			ctx, cancel := context.WithTimeout(s.life, storeTimeout)
			item, err := s.opts.Store.Get(ctx, RecordKey(id))
			cancel()
			if errors.Is(err, store.ErrNotFound) {
				return
			}
			if err == nil {
				s.post(func(c *control) {
					s.loadRecord(c, item)
					s.judgeOrphans(c, item)
				})
				return
			}
			if !clock.Sleep(s.life, storeRetry) {
				return
			}
		}
	})
}

// judgeOrphans marks the tasks that the job's record does not name. Without it
// a task whose job has ended, as by a cancellation while its worker was out of
// reach, would hold its accelerators until its own end.
func (s *Scheduler) judgeOrphans(c *control, item store.Item) {
	record := new(wire.JobRecord)
	if err := proto.Unmarshal(item.Value, record); err != nil {
		return // loadRecord reports it
	}
	for id, o := range c.orphans {
		// A task that was prepared only can still be committed.
		if o.status.GetJobId() == record.GetJob().GetId() && o.status.GetStarted() {
			o.stale = o.stale || !names(record, id)
		}
	}
}

// names says whether the record lets the task run.
func names(record *wire.JobRecord, task string) bool {
	return record.GetPhase() == wire.JobRecord_COMMITTED &&
		slices.ContainsFunc(record.GetMembers(), func(m *wire.Member) bool { return m.GetAttempt() == task })
}

// adoptOrphan attaches a job without a record to its task that an earlier
// scheduler has started, so that it is not run twice.
func (s *Scheduler) adoptOrphan(c *control, j *job) {
	if j.recorded() || j.spec.GetTasks() > 1 {
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
		s.resume(c, j, []*wire.Member{member})
		return
	}
}

// adoptTask passes what an orphan's agent has reported to its attempt.
func (s *Scheduler) adoptTask(c *control, task string) {
	o, ok := c.orphans[task]
	ref, known := c.tasks[task]
	if !ok || !known {
		return
	}
	delete(c.orphans, task)
	w := c.workers[o.worker]
	if w != nil {
		s.status(c, ref.attempt, ref.rank, w.report.GetBootId(), o.status)
	}
}
