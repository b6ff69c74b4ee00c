package agent

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/gang"
	"catkinpoint/wire"
)

// ErrStaleEpoch means that a command came from a scheduler that was replaced.
var ErrStaleEpoch = Error.New("epoch is below the highest one seen")

// minCheckpointRetryTime is the least time for which a failing checkpoint is
// retried before the task is stopped without one.
const minCheckpointRetryTime = 2 * time.Second

// commands implements the RPC methods that the scheduler and other agents call.
type commands struct{ agent *Agent }

// Hello makes the agent accept the caller's epoch and refuse lower ones. The
// response holds a report.
func (c *commands) Hello(request *wire.HelloRequest, response *wire.HelloResponse) error {
	return c.withEpoch(request.GetEpoch(), func(s *state) {
		response.Epoch = s.epoch
		response.Report = s.buildReport(c.agent.opts)
	})
}

// withEpoch records epoch as the highest one seen and runs f, both on the control
// goroutine. If epoch is below the highest one seen, it returns ErrStaleEpoch
// instead.
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

// fillResponse fills in the response to a command, with the task's status but not
// its result.
func fillResponse(s *state, t *task, response *wire.TaskResponse) {
	response.BootId = s.bootID
	response.Epoch = s.epoch
	response.Status = t.status(false)
}

// Prepare reserves a slot and accelerators for a task and stores its body.
func (c *commands) Prepare(request *wire.PrepareRequest, response *wire.TaskResponse) error {
	return c.withEpoch(request.GetEpoch(), func(s *state) {
		t := s.ensureTask(request.GetAttempt())
		if t.member.State == wire.TaskState_TASK_ABSENT {
			c.prepare(s, t, request)
		}
		fillResponse(s, t, response)
	})
}

func (c *commands) prepare(s *state, t *task, request *wire.PrepareRequest) {
	t.job = request.GetJob()
	t.rank = int(request.GetRank())
	t.body = request.GetBody()
	t.resumeFrom = time.Duration(request.GetResumeMs()) * time.Millisecond
	if reason := c.refusalReason(s, request); reason != "" {
		c.agent.step(s, t, gang.MemberDeny, reason)
		return
	}
	c.agent.step(s, t, gang.MemberPrepare, "")
}

// refusalReason returns why the worker cannot take the task; empty if it can.
func (c *commands) refusalReason(s *state, request *wire.PrepareRequest) string {
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

// Start starts a prepared task. The task of a gang first waits at the start
// barrier for the other members.
func (c *commands) Start(request *wire.StartRequest, response *wire.TaskResponse) error {
	return c.withEpoch(request.GetEpoch(), func(s *state) {
		t := s.ensureTask(request.GetAttempt())
		switch t.member.State {
		case wire.TaskState_TASK_ABSENT:
			c.agent.step(s, t, gang.MemberStartSingle, "the attempt was never prepared here")
		case wire.TaskState_TASK_PREPARED:
			c.start(s, t, request.GetMembers())
		}
		fillResponse(s, t, response)
	})
}

func (c *commands) start(s *state, t *task, members []*wire.Member) {
	t.members = members
	if len(members) == 1 {
		c.agent.step(s, t, gang.MemberStartSingle, "")
		return
	}
	if t.rank == 0 {
		monitor := gang.NewMonitor(len(members), time.Now())
		t.monitor = &monitor
	}
	c.agent.step(s, t, gang.MemberStartGang, "")
}

// Stop stops an attempt, after a checkpoint if the request asks for one. An
// attempt that was not started will be refused from now on.
func (c *commands) Stop(request *wire.StopRequest, response *wire.TaskResponse) error {
	a := c.agent
	if request.GetCheckpoint() {
		if err := c.checkpointBeforeStop(request); err != nil {
			return err
		}
	}
	return c.withEpoch(request.GetEpoch(), func(s *state) {
		t := s.ensureTask(request.GetAttempt())
		if !gang.Final(t.member.State) {
			a.step(s, t, gang.MemberStop, request.GetReason())
		}
		fillResponse(s, t, response)
	})
}

// checkpointBeforeStop saves a checkpoint of a running task. If that fails it
// returns an error, and the scheduler repeats the stop. Once the job's stop time,
// but at least minCheckpointRetryTime, has passed since the first request, it
// returns nil in spite of a failure: the task is stopped without a checkpoint,
// because other jobs wait for its accelerators.
func (c *commands) checkpointBeforeStop(request *wire.StopRequest) error {
	running, timedOut := false, false
	err := c.withEpoch(request.GetEpoch(), func(s *state) {
		t, ok := s.tasks[request.GetAttempt()]
		running = ok && t.member.State == wire.TaskState_TASK_RUNNING
		if !running {
			return
		}
		if t.stopRequestedAt.IsZero() {
			t.stopRequestedAt = time.Now()
		}
		stopTime := time.Duration(t.job.GetStopMs()) * time.Millisecond
		timedOut = time.Since(t.stopRequestedAt) >= max(stopTime, minCheckpointRetryTime)
	})
	if err != nil || !running {
		return err
	}
	err = c.agent.saveCheckpoint(request.GetAttempt())
	if err != nil && !timedOut {
		return fmt.Errorf("checkpointing %s: %w", request.GetAttempt(), err)
	}
	if err != nil {
		klog.Warningf("agent: Task %s is stopped without a checkpoint: %v.", request.GetAttempt(), err)
	}
	return nil
}

// Query returns the status of an attempt, with its result.
func (c *commands) Query(request *wire.QueryRequest, response *wire.TaskResponse) error {
	return c.withEpoch(request.GetEpoch(), func(s *state) {
		t, ok := s.tasks[request.GetAttempt()]
		if !ok {
			t = &task{attempt: request.GetAttempt(), member: gang.Member{State: wire.TaskState_TASK_ABSENT}}
		}
		fillResponse(s, t, response)
		response.Status = t.status(true)
	})
}

// Join handles a ping from a member of a gang whose leader runs at this agent.
func (c *commands) Join(request *wire.JoinRequest, response *wire.JoinResponse) error {
	err := c.agent.control.Do(context.Background(), func(s *state) {
		c.agent.handleJoin(s, request, response)
	})
	if err != nil {
		return fmt.Errorf("agent has ended: %w", err)
	}
	return nil
}
