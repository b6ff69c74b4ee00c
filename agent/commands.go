package agent

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/gang"
	"catkinpoint/wire"
)

// ErrStaleEpoch means that the command came from a scheduler that was replaced.
var ErrStaleEpoch = Error.New("epoch is below the highest one seen")

// leastPatience is how long a checkpoint that fails is repeated at least.
const leastPatience = 2 * time.Second

// commands are the calls that a scheduler and other agents make.
type commands struct{ agent *Agent }

// Hello makes the agent obey the caller's epoch from now on.
func (c *commands) Hello(request *wire.HelloRequest, response *wire.HelloResponse) error {
	return c.withEpoch(request.GetEpoch(), func(s *state) {
		response.Epoch = s.epoch
		response.Report = s.report(c.agent.opts)
	})
}

// withEpoch runs f on the control goroutine if the epoch is not stale.
func (c *commands) withEpoch(epoch int64, f func(*state)) error {
	var stale error
	err := c.agent.control.Do(context.Background(), func(s *state) {
		if epoch < s.epoch {
			stale = fmt.Errorf("epoch %d, seen %d: %w", epoch, s.epoch, ErrStaleEpoch)
			return
		}
		s.epoch = epoch
		f(s)
	})
	if err != nil {
		return fmt.Errorf("agent has ended: %w", err)
	}
	return stale
}

func answer(s *state, t *task, response *wire.TaskResponse) {
	response.BootId = s.bootID
	response.Epoch = s.epoch
	response.Status = t.status(false)
}

// Prepare reserves the worker for a task and takes its body.
func (c *commands) Prepare(request *wire.PrepareRequest, response *wire.TaskResponse) error {
	return c.withEpoch(request.GetEpoch(), func(s *state) {
		t := s.taskOf(request.GetAttempt())
		if t.member.State == wire.TaskState_TASK_ABSENT {
			c.prepare(s, t, request)
		}
		answer(s, t, response)
	})
}

func (c *commands) prepare(s *state, t *task, request *wire.PrepareRequest) {
	t.job = request.GetJob()
	t.rank = int(request.GetRank())
	t.body = request.GetBody()
	t.resume = time.Duration(request.GetResumeMs()) * time.Millisecond
	if reason := c.refusal(s, request); reason != "" {
		c.agent.step(s, t, gang.MemberDeny, reason)
		return
	}
	c.agent.step(s, t, gang.MemberPrepare, "")
}

// refusal says why the worker cannot take the task; empty if it can.
func (c *commands) refusal(s *state, request *wire.PrepareRequest) string {
	o := c.agent.opts
	slots, accelerators := s.usage()
	switch {
	case !s.ready:
		return "the endpoint is not ready"
	case s.draining:
		return "the endpoint is in graceful shutdown"
	case request.GetBootId() != "" && request.GetBootId() != s.bootID:
		return "the agent was restarted"
	case request.GetJob().GetService() != o.Service:
		return "the endpoint does not offer the service"
	case slots+1 > o.Slots:
		return "all slots are in use"
	case accelerators+int(request.GetJob().GetAccelerators()) > o.Accelerators:
		return "not enough free accelerators"
	}
	return ""
}

// Start starts a prepared task, or lets it wait at the barrier of its gang.
func (c *commands) Start(request *wire.StartRequest, response *wire.TaskResponse) error {
	return c.withEpoch(request.GetEpoch(), func(s *state) {
		t := s.taskOf(request.GetAttempt())
		switch t.member.State {
		case wire.TaskState_TASK_ABSENT:
			c.agent.step(s, t, gang.MemberStartOne, "the attempt was never prepared here")
		case wire.TaskState_TASK_PREPARED:
			c.start(s, t, request.GetMembers())
		}
		answer(s, t, response)
	})
}

func (c *commands) start(s *state, t *task, members []*wire.Member) {
	t.members = members
	if len(members) == 1 {
		c.agent.step(s, t, gang.MemberStartOne, "")
		return
	}
	if t.rank == 0 {
		monitor := gang.NewMonitor(len(members), time.Now())
		t.monitor = &monitor
	}
	c.agent.step(s, t, gang.MemberStartGang, "")
}

// Stop ends an attempt; an attempt that was never started never will be.
func (c *commands) Stop(request *wire.StopRequest, response *wire.TaskResponse) error {
	a := c.agent
	if request.GetCheckpoint() {
		if err := c.saveBeforeStop(request); err != nil {
			return err
		}
	}
	return c.withEpoch(request.GetEpoch(), func(s *state) {
		t := s.taskOf(request.GetAttempt())
		if !gang.Final(t.member.State) {
			a.step(s, t, gang.MemberStop, request.GetReason())
		}
		answer(s, t, response)
	})
}

// saveBeforeStop checkpoints a running task. Once the job's stop time has passed
// in vain, the stop goes on without it: others wait for the accelerators.
func (c *commands) saveBeforeStop(request *wire.StopRequest) error {
	runs, late := false, false
	err := c.withEpoch(request.GetEpoch(), func(s *state) {
		t, ok := s.tasks[request.GetAttempt()]
		runs = ok && t.member.State == wire.TaskState_TASK_RUNNING
		if !runs {
			return
		}
		if t.stopAsked.IsZero() {
			t.stopAsked = time.Now()
		}
		patience := time.Duration(t.job.GetStopMs()) * time.Millisecond
		late = time.Since(t.stopAsked) >= max(patience, leastPatience)
	})
	if err != nil || !runs {
		return err
	}
	err = c.agent.checkpoint(request.GetAttempt())
	if err != nil && !late {
		return fmt.Errorf("checkpointing %s: %w", request.GetAttempt(), err)
	}
	if err != nil {
		klog.Warningf("agent: Task %s is stopped without a checkpoint: %v.", request.GetAttempt(), err)
	}
	return nil
}

// Query tells the state of an attempt with its result.
func (c *commands) Query(request *wire.QueryRequest, response *wire.TaskResponse) error {
	return c.withEpoch(request.GetEpoch(), func(s *state) {
		t, ok := s.tasks[request.GetAttempt()]
		if !ok {
			t = &task{attempt: request.GetAttempt(), member: gang.Member{State: wire.TaskState_TASK_ABSENT}}
		}
		answer(s, t, response)
		response.Status = t.status(true)
	})
}

// Join takes a ping of a member of a gang whose leader is here.
func (c *commands) Join(request *wire.JoinRequest, response *wire.JoinResponse) error {
	err := c.agent.control.Do(context.Background(), func(s *state) {
		c.agent.join(s, request, response)
	})
	if err != nil {
		return fmt.Errorf("agent has ended: %w", err)
	}
	return nil
}
