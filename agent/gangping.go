package agent

import (
	"context"
	"net/netip"
	"time"

	"catkinpoint/clock"
	"catkinpoint/gang"
	"catkinpoint/wire"
)

const (
	// pingPeriod is the time between two pings of a running member to the gang's
	// leader, and the time limit of one ping.
	pingPeriod = 500 * time.Millisecond
	// barrierPingPeriod is the time between two pings of a member that waits at the
	// start barrier; it limits how far apart the members of a gang start.
	barrierPingPeriod = 50 * time.Millisecond
)

// handleJoin passes a member's ping to the gang's monitor and fills in the
// response. It runs on the control goroutine.
func (a *Agent) handleJoin(s *state, request *wire.JoinRequest, response *wire.JoinResponse) {
	t, ok := s.tasks[request.GetAttempt()]
	if !ok {
		// An agent that was restarted has lost the monitor, so the gang is no
		// longer watched and has to stop.
		response.Broken, response.Reason = true, "the leader does not know the attempt"
		return
	}
	if t.monitor == nil {
		response.Broken = gang.Final(t.member.State)
		response.Reason = t.reason
		return
	}
	now := time.Now()
	permitLeft := time.Duration(request.GetPermitLeftMs()) * time.Millisecond
	t.monitor.Join(int(request.GetRank()), request.GetState(), permitLeft, now, a.opts.Timers)
	response.Go = t.monitor.Released
	response.Broken = t.monitor.BrokenReason != ""
	response.Reason = t.monitor.BrokenReason
	response.HeardAgeMs = now.Sub(t.monitor.LastHeardFromAll(now)).Milliseconds()
}

// pingLeader pings the agent of the gang's leader until the member has ended. It
// runs on a background goroutine.
func (a *Agent) pingLeader(attempt string, rank int, members []*wire.Member) {
	leader, err := netip.ParseAddrPort(members[0].GetAgentAddress())
	if err != nil {
		a.postEvent(attempt, gang.MemberBroken, "the leader's address is not valid")
		return
	}
	for {
		request := a.newJoinRequest(a.runCtx, attempt, members[0].GetAttempt(), rank)
		if request == nil {
			return
		}
		sentAt := time.Now()
		response, err := a.ping(a.runCtx, leader, request)
		if err == nil && a.applyJoinResponse(attempt, request, response, sentAt) {
			return
		}
		if err != nil && request.GetState() != wire.TaskState_TASK_DONE && gang.Final(request.GetState()) {
			return // the leader's monitor detects that the pings have stopped
		}
		period := pingPeriod
		if request.GetState() == wire.TaskState_TASK_WAITING {
			period = barrierPingPeriod
		}
		if !clock.Sleep(a.runCtx, period) {
			return
		}
	}
}

// newJoinRequest returns a ping with the member's current state; nil if the
// attempt is unknown or the agent has ended.
func (a *Agent) newJoinRequest(ctx context.Context, attempt, leader string, rank int) *wire.JoinRequest {
	var request *wire.JoinRequest
	err := a.control.Do(ctx, func(s *state) {
		t, ok := s.tasks[attempt]
		if !ok {
			return
		}
		permitLeft := s.permit.Remaining(time.Now(), a.opts.PermitAge)
		request = &wire.JoinRequest{
			Attempt:      leader,
			Rank:         int32(rank),
			State:        t.member.State,
			BootId:       s.bootID,
			PermitLeftMs: permitLeft.Milliseconds(),
		}
	})
	if err != nil {
		return nil
	}
	return request
}

// ping sends a ping to the leader's agent, which may be this one.
func (a *Agent) ping(ctx context.Context, leader netip.AddrPort, request *wire.JoinRequest) (*wire.JoinResponse, error) {
	response := new(wire.JoinResponse)
	if leader == a.opts.Address {
		err := a.control.Do(ctx, func(s *state) { a.handleJoin(s, request, response) })
		return response, err
	}
	ctx, cancel := context.WithTimeout(ctx, pingPeriod)
	defer cancel()
	err := a.pool.Call(ctx, leader, "Agent.Join", request, response)
	return response, err
}

// applyJoinResponse turns the response to a ping into an event of the member. It
// reports whether no further ping is needed.
func (a *Agent) applyJoinResponse(attempt string, request *wire.JoinRequest, response *wire.JoinResponse, sentAt time.Time) bool {
	if gang.Final(request.GetState()) {
		return true
	}
	aliveAt := sentAt.Add(-time.Duration(response.GetHeardAgeMs()) * time.Millisecond)
	switch {
	case response.GetBroken():
		a.postEvent(attempt, gang.MemberBroken, "the gang is broken: "+response.GetReason())
	case response.GetGo():
		a.postLeaderEvent(attempt, gang.MemberReleased, aliveAt)
	default:
		a.postLeaderEvent(attempt, gang.MemberLeaderSeen, aliveAt)
	}
	return false
}

// postLeaderEvent applies an event from a response of the leader to the task, as
// of aliveAt: the last time at which the whole gang was known to be alive, counted
// back from before the ping was sent. A process that was paused can receive a
// response for which that is longer ago than the allowed silence. It says nothing
// about the gang's current state and is ignored.
func (a *Agent) postLeaderEvent(attempt string, e gang.MemberEvent, aliveAt time.Time) {
	a.control.Post(func(s *state) {
		t, ok := s.tasks[attempt]
		if ok && time.Since(aliveAt) < a.opts.Timers.SilenceTimeout && !gang.Final(t.member.State) {
			a.stepAt(s, t, e, "", aliveAt)
		}
	})
}

// postEvent applies an event to a task that has not ended. Background goroutines
// use it.
func (a *Agent) postEvent(attempt string, e gang.MemberEvent, reason string) {
	a.control.Post(func(s *state) {
		if t, ok := s.tasks[attempt]; ok && !gang.Final(t.member.State) {
			a.step(s, t, e, reason)
		}
	})
}
