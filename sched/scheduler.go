package sched

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/gang"
	"catkinpoint/owner"
	"catkinpoint/wire"
)

// Scheduler schedules the jobs of one data centre while its process holds the
// data centre's duty.
type Scheduler struct {
	opts       Options
	control    *owner.Owner[*control]
	runCtx     context.Context // of Run; bounds all calls and waits
	background sync.WaitGroup  // goroutines that Run waits for
	stats      stats
}

// New returns a scheduler, to be started by Run. Zero limits stand for
// DefaultLimits.
func New(opts Options) *Scheduler {
	if opts.Limits == (Limits{}) {
		opts.Limits = DefaultLimits()
	}
	return &Scheduler{opts: opts, control: owner.New(newControl(time.Now(), opts.Limits))}
}

// Run schedules jobs until ctx ends. Tasks that it has started go on at the
// agents.
func (s *Scheduler) Run(ctx context.Context) {
	s.runCtx = ctx
	klog.Infof("sched: Took data centre %s with epoch %d.", s.opts.DataCentre, s.opts.Epoch)
	s.background.Go(func() { s.readRecords(ctx) })
	s.background.Go(func() { s.tickLoop(ctx) })
	s.control.Run(ctx, s.decideThrottled, owner.IgnorePanic)
	s.background.Wait()
	klog.Infof("sched: Left data centre %s with epoch %d.", s.opts.DataCentre, s.opts.Epoch)
}

func (s *Scheduler) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.post(func(c *control) { s.tick(c, time.Now()) })
		}
	}
}

// post queues f to run on the control goroutine.
func (s *Scheduler) post(f func(*control)) { s.control.Post(f) }

// tick applies the time limits: it gives up silent workers, forgets old jobs and
// orphans, and handles passed deadlines.
func (s *Scheduler) tick(c *control, now time.Time) {
	if gap := now.Sub(c.lastTick); !c.lastTick.IsZero() && gap > maxTickGap {
		// This process was paused, so the missing reports say nothing about the
		// workers: they may be waiting to be read.
		for _, w := range c.workers {
			w.lastSeen = w.lastSeen.Add(gap)
		}
	}
	c.lastTick = now
	for name, w := range c.workers {
		silence := now.Sub(w.lastSeen)
		if silence > s.opts.Limits.WorkerLost && !w.lost {
			klog.Warningf("sched: Worker %s is lost: it has not reported for %s.", name, silence.Round(time.Millisecond))
			w.lost = true
			s.handleWorkerLost(c, name)
		}
		if silence > orphanRetention {
			delete(c.workers, name)
		}
	}
	for len(c.endedJobs) > 0 && now.Sub(c.endedJobs[0].endedAt) > endedRetention {
		c.dropOldestEnded()
	}
	for _, j := range c.jobs {
		if j.phase != ended && !j.deadline.IsZero() && now.After(j.deadline) {
			j.deadline = time.Time{}
			s.handleDeadline(c, j)
		}
	}
	for id, o := range c.orphans {
		// An expired orphan is kept until its agent has been told to forget the
		// task; otherwise the agent's next report would add it again.
		o.expired = now.Sub(o.lastSeen) > orphanRetention
		if now.Sub(o.lastSeen) > 2*orphanRetention {
			delete(c.orphans, id)
		}
	}
	c.dirty = true
}

// handleWorkerLost reports the worker's tasks to their coordinators as lost and
// drops its orphans.
func (s *Scheduler) handleWorkerLost(c *control, name string) {
	for _, a := range c.attempts {
		for rank, m := range a.members {
			if m.GetWorker() == name {
				s.step(c, a, gang.Event{Kind: gang.EventLost, Rank: rank})
			}
		}
	}
	for id, o := range c.orphans {
		if o.worker == name {
			delete(c.orphans, id)
		}
	}
}

// Status returns a summary of the data centre for operators and for routing.
func (s *Scheduler) Status(ctx context.Context) (*wire.DutyStatus, error) {
	status := &wire.DutyStatus{DataCentre: s.opts.DataCentre, Epoch: s.opts.Epoch}
	err := s.control.Do(ctx, func(c *control) { s.fillStatus(c, status) })
	return status, err
}

func (s *Scheduler) fillStatus(c *control, status *wire.DutyStatus) {
	status.Ready = s.readyToPlace(c, time.Now())
	status.LowestAgentVersion = -1
	for _, w := range c.workers {
		if w.lost {
			continue
		}
		status.Workers++
		status.Accelerators += w.report.GetAccelerators()
		status.FreeAccelerators += w.report.GetAccelerators()
		if v := w.report.GetVersion(); status.LowestAgentVersion < 0 || v < status.LowestAgentVersion {
			status.LowestAgentVersion = v
		}
	}
	for _, a := range c.attempts {
		status.FreeAccelerators -= int32(len(a.members)) * a.job.spec.GetAccelerators()
	}
	for _, j := range c.jobs {
		switch j.phase {
		case queued:
			status.Queued++
		case running:
			status.Running++
		}
	}
}

// readyToPlace reports whether the scheduler may place jobs: it has read the job
// records, and the agents have had the time to report.
func (s *Scheduler) readyToPlace(c *control, now time.Time) bool {
	return c.recordsRead && now.Sub(c.takenAt) >= s.opts.Limits.ReportWait
}

// Epoch returns the epoch of the duty.
func (s *Scheduler) Epoch() int64 { return s.opts.Epoch }

// DataCentre returns the data centre that the scheduler schedules.
func (s *Scheduler) DataCentre() string { return s.opts.DataCentre }

// BlockControl blocks the control goroutine until the channel is closed, as if the
// process were paused. Tests use it.
func (s *Scheduler) BlockControl(until <-chan struct{}) {
	s.post(func(*control) { <-until })
}
