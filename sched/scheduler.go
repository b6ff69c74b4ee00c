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

// Scheduler holds the duty of one data centre.
type Scheduler struct {
	opts    Options
	control *owner.Owner[*control]
	life    context.Context // ends with Run
	traffic sync.WaitGroup
	stats   stats
}

// New returns a scheduler; Run starts it.
func New(opts Options) *Scheduler {
	if opts.Limits == (Limits{}) {
		opts.Limits = DefaultLimits()
	}
	return &Scheduler{opts: opts, control: owner.New(newControl(time.Now(), opts.Limits))}
}

// Run works until ctx ends; what it has started goes on at the agents.
func (s *Scheduler) Run(ctx context.Context) {
	s.life = ctx
	klog.Infof("sched: Took data centre %s with epoch %d.", s.opts.DataCentre, s.opts.Epoch)
	s.traffic.Go(func() { s.load(ctx) })
	s.traffic.Go(func() { s.tickLoop(ctx) })
	s.control.Run(ctx, s.decideSoon, owner.IgnorePanic)
	s.traffic.Wait()
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

// post hands f to the control goroutine.
func (s *Scheduler) post(f func(*control)) { s.control.Post(f) }

// tick lets time limits pass.
func (s *Scheduler) tick(c *control, now time.Time) {
	if gap := now.Sub(c.lastTick); !c.lastTick.IsZero() && gap > maxTickGap {
		// This process was paused: the silence is its own, and the workers'
		// reports are still to be read.
		for _, w := range c.workers {
			w.lastSeen = w.lastSeen.Add(gap)
		}
	}
	c.lastTick = now
	for name, w := range c.workers {
		silence := now.Sub(w.lastSeen)
		if silence > s.opts.Limits.WorkerLost && !w.lost {
			klog.Warningf("sched: Worker %s is lost after %s of silence.", name, silence.Round(time.Millisecond))
			w.lost = true
			s.loseWorker(c, name)
		}
		if silence > orphanRetention {
			delete(c.workers, name)
		}
	}
	for len(c.ended) > 0 && now.Sub(c.ended[0].endedAt) > endedRetention {
		c.forgetFirst()
	}
	for _, j := range c.jobs {
		if j.phase != ended && !j.deadline.IsZero() && now.After(j.deadline) {
			j.deadline = time.Time{}
			s.expire(c, j)
		}
	}
	for id, o := range c.orphans {
		// An expired orphan stays until its agent has been told, or the next
		// report would bring it back.
		o.expired = now.Sub(o.seen) > orphanRetention
		if now.Sub(o.seen) > 2*orphanRetention {
			delete(c.orphans, id)
		}
	}
	c.dirty = true
}

// loseWorker tells the coordinators that nothing is known of their tasks there.
func (s *Scheduler) loseWorker(c *control, name string) {
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

// Status describes the duty for operators and for routing.
func (s *Scheduler) Status(ctx context.Context) (*wire.DutyStatus, error) {
	status := &wire.DutyStatus{DataCentre: s.opts.DataCentre, Epoch: s.opts.Epoch}
	err := s.control.Do(ctx, func(c *control) { s.fillStatus(c, status) })
	return status, err
}

func (s *Scheduler) fillStatus(c *control, status *wire.DutyStatus) {
	status.Ready = s.settled(c, time.Now())
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

// settled says whether the scheduler knows enough to place jobs.
func (s *Scheduler) settled(c *control, now time.Time) bool {
	return c.loaded && now.Sub(c.taken) >= s.opts.Limits.Settle
}

// Epoch is the epoch of the duty.
func (s *Scheduler) Epoch() int64 { return s.opts.Epoch }

// DataCentre is the data centre of the duty.
func (s *Scheduler) DataCentre() string { return s.opts.DataCentre }

// Hold keeps the control goroutine busy until the channel is closed, as a
// paused process would; tests of freezes use it.
func (s *Scheduler) Hold(until <-chan struct{}) {
	s.post(func(*control) { <-until })
}
