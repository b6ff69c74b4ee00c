package sched

import (
	"context"
	"errors"
	"strings"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/gang"
	"catkinpoint/link"
	"catkinpoint/wire"
)

// sendPrepare sends Prepare to the agent of one member. The call is never
// repeated: if it fails, the agent may still have got it, so the attempt is
// stopped, and the Stop makes the agent refuse a Prepare that arrives late.
func (s *Scheduler) sendPrepare(a *attempt, rank int) {
	request := &wire.PrepareRequest{
		Epoch:    s.opts.Epoch,
		Attempt:  a.members[rank].GetAttempt(),
		Job:      a.job.spec,
		Rank:     int32(rank),
		Body:     a.job.body,
		BootId:   a.members[rank].GetBootId(),
		ResumeMs: a.job.resumeFrom.Milliseconds(),
	}
	addr := a.agentAddress(rank)
	s.background.Go(func() {
		response := new(wire.TaskResponse)
		ctx, cancel := context.WithTimeout(s.runCtx, prepareTimeout)
		defer cancel()
		err := s.opts.Pool.Call(ctx, addr, "Agent.Prepare", request, response)
		s.post(func(c *control) {
			if err != nil {
				s.handleCallError(a, rank, "Prepare", err)
				s.step(c, a, gang.Event{Kind: gang.EventUnreachable, Rank: rank})
				return
			}
			s.handleTaskStatus(c, a, rank, response.GetBootId(), response.GetStatus())
		})
	})
}

// sendStart sends Start to the agent of one member until it answers. Agents
// handle Start idempotently.
func (s *Scheduler) sendStart(a *attempt, rank int) {
	request := &wire.StartRequest{
		Epoch:   s.opts.Epoch,
		Attempt: a.members[rank].GetAttempt(),
		BootId:  a.members[rank].GetBootId(),
		Members: a.members,
	}
	wanted := func() bool { return a.coord.Phase == gang.Starting && !a.coord.Members[rank].Lost }
	s.callUntilAnswered(a, rank, "Agent.Start", request, wanted)
}

// sendStop sends Stop to the agent of one member until it answers. Agents handle
// Stop idempotently.
func (s *Scheduler) sendStop(a *attempt, rank int) {
	request := &wire.StopRequest{
		Epoch:      s.opts.Epoch,
		Attempt:    a.members[rank].GetAttempt(),
		Reason:     a.coord.Reason,
		Checkpoint: a.preempted,
	}
	wanted := func() bool { return a.coord.Phase == gang.Stopping && !a.coord.Members[rank].Lost }
	s.callUntilAnswered(a, rank, "Agent.Stop", request, wanted)
}

// fetchResult queries the agent of one member, whose task is done, for the result.
func (s *Scheduler) fetchResult(a *attempt, rank int) {
	if a.fetching[rank] {
		return
	}
	a.fetching[rank] = true
	request := &wire.QueryRequest{Epoch: s.opts.Epoch, Attempt: a.members[rank].GetAttempt()}
	addr := a.agentAddress(rank)
	s.background.Go(func() {
		response := new(wire.TaskResponse)
		ctx, cancel := context.WithTimeout(s.runCtx, fetchTimeout)
		defer cancel()
		err := s.opts.Pool.Call(ctx, addr, "Agent.Query", request, response)
		s.post(func(c *control) {
			a.fetching[rank] = false
			switch {
			case err != nil:
				// The next report of the task starts another fetch.
				s.handleCallError(a, rank, "Query", err)
			case response.GetStatus().GetHasResult():
				s.handleTaskStatus(c, a, rank, response.GetBootId(), response.GetStatus())
			default:
				klog.Warningf("sched: The result of task %s is gone.", request.GetAttempt())
				s.step(c, a, gang.Event{Kind: gang.EventLost, Rank: rank})
			}
		})
	})
}

// callUntilAnswered repeats a call to the agent of one member until it answers
// or wanted, which runs on the control goroutine, returns false.
func (s *Scheduler) callUntilAnswered(a *attempt, rank int, method string, request proto.Message, wanted func() bool) {
	addr := a.agentAddress(rank)
	s.background.Go(func() {
		for {
			response := new(wire.TaskResponse)
			ctx, cancel := context.WithTimeout(s.runCtx, callTimeout)
			err := s.opts.Pool.Call(ctx, addr, method, request, response)
			cancel()
			retry := false
			postErr := s.control.Do(s.runCtx, func(c *control) {
				if err == nil {
					s.handleTaskStatus(c, a, rank, response.GetBootId(), response.GetStatus())
					return
				}
				s.handleCallError(a, rank, method, err)
				retry = wanted()
			})
			if postErr != nil || !retry || !clock.Sleep(s.runCtx, callRetry) {
				return
			}
		}
	})
}

// handleCallError logs a failed call. If the agent has refused it because of a
// higher epoch, the scheduler is superseded.
func (s *Scheduler) handleCallError(a *attempt, rank int, method string, err error) {
	klog.V(1).Infof("sched: %s for attempt %s at worker %s failed: %v.", method, a.id, a.members[rank].GetWorker(), err)
	var remote *link.RemoteError
	if errors.As(err, &remote) && strings.Contains(remote.Message, staleEpochText) && s.opts.OnSuperseded != nil {
		s.opts.OnSuperseded(s.opts.Epoch + 1)
	}
}

// staleEpochText is part of the error with which agents refuse commands of a
// lower epoch. It is matched as text because net/rpc transmits errors as text.
const staleEpochText = "epoch is below the highest one seen"
