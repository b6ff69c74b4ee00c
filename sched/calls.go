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

// sendPrepare sends one Prepare. It is never repeated: if its fate is unknown,
// the attempt is stopped, and the Stop makes the agent refuse a late Prepare.
func (s *Scheduler) sendPrepare(a *attempt, rank int) {
	request := &wire.PrepareRequest{
		Epoch:    s.opts.Epoch,
		Attempt:  a.members[rank].GetAttempt(),
		Job:      a.job.spec,
		Rank:     int32(rank),
		Body:     a.job.body,
		BootId:   a.members[rank].GetBootId(),
		ResumeMs: a.job.resume.Milliseconds(),
	}
	addr := a.address(rank)
	s.traffic.Go(func() {
		response := new(wire.TaskResponse)
		ctx, cancel := context.WithTimeout(s.life, prepareTimeout)
		defer cancel()
		err := s.opts.Pool.Call(ctx, addr, "Agent.Prepare", request, response)
		s.post(func(c *control) {
			if err != nil {
				s.callFailed(a, rank, "Prepare", err)
				s.step(c, a, gang.Event{Kind: gang.EventUnreachable, Rank: rank})
				return
			}
			s.status(c, a, rank, response.GetBootId(), response.GetStatus())
		})
	})
}

// sendStart sends Start until the agent answers; Start is idempotent there.
func (s *Scheduler) sendStart(a *attempt, rank int) {
	request := &wire.StartRequest{
		Epoch:   s.opts.Epoch,
		Attempt: a.members[rank].GetAttempt(),
		BootId:  a.members[rank].GetBootId(),
		Members: a.members,
	}
	wanted := func() bool { return a.coord.Phase == gang.Starting && !a.coord.Members[rank].Lost }
	s.command(a, rank, "Agent.Start", request, wanted)
}

// sendStop sends Stop until the agent answers; Stop is idempotent there.
func (s *Scheduler) sendStop(a *attempt, rank int) {
	request := &wire.StopRequest{
		Epoch:      s.opts.Epoch,
		Attempt:    a.members[rank].GetAttempt(),
		Reason:     a.coord.Reason,
		Checkpoint: a.preempted,
	}
	wanted := func() bool { return a.coord.Phase == gang.Stopping && !a.coord.Members[rank].Lost }
	s.command(a, rank, "Agent.Stop", request, wanted)
}

// fetchResult asks an agent for the result of a task that is done.
func (s *Scheduler) fetchResult(a *attempt, rank int) {
	if a.fetching[rank] {
		return
	}
	a.fetching[rank] = true
	request := &wire.QueryRequest{Epoch: s.opts.Epoch, Attempt: a.members[rank].GetAttempt()}
	addr := a.address(rank)
	s.traffic.Go(func() {
		response := new(wire.TaskResponse)
		ctx, cancel := context.WithTimeout(s.life, fetchTimeout)
		defer cancel()
		err := s.opts.Pool.Call(ctx, addr, "Agent.Query", request, response)
		s.post(func(c *control) {
			a.fetching[rank] = false
			switch {
			case err != nil:
				// The next report of the task asks again.
				s.callFailed(a, rank, "Query", err)
			case response.GetStatus().GetHasResult():
				s.status(c, a, rank, response.GetBootId(), response.GetStatus())
			default:
				klog.Warningf("sched: The result of task %s is gone.", request.GetAttempt())
				s.step(c, a, gang.Event{Kind: gang.EventLost, Rank: rank})
			}
		})
	})
}

// command repeats a call to an agent until it answers or the coordinator does
// not want it any more. Wanted runs on the control goroutine.
func (s *Scheduler) command(a *attempt, rank int, method string, request proto.Message, wanted func() bool) {
	addr := a.address(rank)
	s.traffic.Go(func() {
		for {
			response := new(wire.TaskResponse)
			ctx, cancel := context.WithTimeout(s.life, callTimeout)
			err := s.opts.Pool.Call(ctx, addr, method, request, response)
			cancel()
			again := false
			postErr := s.control.Do(s.life, func(c *control) {
				if err == nil {
					s.status(c, a, rank, response.GetBootId(), response.GetStatus())
					return
				}
				s.callFailed(a, rank, method, err)
				again = wanted()
			})
			if postErr != nil || !again || !clock.Sleep(s.life, callRetry) {
				return
			}
		}
	})
}

// callFailed logs a failed call and notices a higher epoch at the agent.
func (s *Scheduler) callFailed(a *attempt, rank int, method string, err error) {
	klog.V(1).Infof("sched: %s of %s to %s failed: %v.", method, a.id, a.members[rank].GetWorker(), err)
	var remote *link.RemoteError
	if errors.As(err, &remote) && strings.Contains(remote.Message, staleEpoch) && s.opts.Superseded != nil {
		s.opts.Superseded(s.opts.Epoch + 1)
	}
}

// staleEpoch is part of the agents' error for a command of a lower epoch;
// net/rpc carries errors as text only.
const staleEpoch = "epoch is below the highest one seen"
