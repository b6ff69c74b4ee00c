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
	// joinPeriod is the time between two pings of a running member.
	joinPeriod = 500 * time.Millisecond
	// barrierPeriod is the time between two pings at the barrier; it bounds how
	// far apart the members of a gang start.
	barrierPeriod = 50 * time.Millisecond
)

// join answers a member's ping from the monitor. It runs on the control goroutine.
func (a *Agent) join(s *state, request *wire.JoinRequest, response *wire.JoinResponse) {
	t, ok := s.tasks[request.GetAttempt()]
	if !ok {
		// An agent that restarted has no monitor, so nobody watches the gang.
		response.Broken, response.Reason = true, "the leader does not know the attempt"
		return
	}
	if t.monitor == nil {
		response.Broken = gang.Final(t.member.State)
		response.Reason = t.reason
		return
	}
	now := time.Now()
	left := time.Duration(request.GetPermitLeftMs()) * time.Millisecond
	t.monitor.Join(int(request.GetRank()), request.GetState(), left, now, a.opts.Timers)
	response.Go = t.monitor.Released
	response.Broken = t.monitor.Broken != ""
	response.Reason = t.monitor.Broken
	response.HeardAgeMs = now.Sub(t.monitor.Heard(now)).Milliseconds()
}

// pingLeader pings the gang's leader until the member has ended. It is a
// traffic goroutine.
func (a *Agent) pingLeader(attempt string, rank int, members []*wire.Member) {
	leader, err := netip.ParseAddrPort(members[0].GetAgentAddress())
	if err != nil {
		a.event(attempt, gang.MemberBroken, "the leader's address is not valid")
		return
	}
	for {
		request := a.joinRequest(a.life, attempt, members[0].GetAttempt(), rank)
		if request == nil {
			return
		}
		sent := time.Now()
		response, err := a.ping(a.life, leader, request)
		if err == nil && a.applyJoin(attempt, request, response, sent) {
			return
		}
		if err != nil && request.GetState() != wire.TaskState_TASK_DONE && gang.Final(request.GetState()) {
			return // the leader notices the silence by itself
		}
		period := joinPeriod
		if request.GetState() == wire.TaskState_TASK_WAITING {
			period = barrierPeriod
		}
		if !clock.Sleep(a.life, period) {
			return
		}
	}
}

func (a *Agent) joinRequest(ctx context.Context, attempt, leader string, rank int) *wire.JoinRequest {
	var request *wire.JoinRequest
	err := a.control.Do(ctx, func(s *state) {
		t, ok := s.tasks[attempt]
		if !ok {
			return
		}
		left := s.permit.Remaining(time.Now(), a.opts.PermitAge)
		request = &wire.JoinRequest{
			Attempt:      leader,
			Rank:         int32(rank),
			State:        t.member.State,
			BootId:       s.bootID,
			PermitLeftMs: left.Milliseconds(),
		}
	})
	if err != nil {
		return nil
	}
	return request
}

func (a *Agent) ping(ctx context.Context, leader netip.AddrPort, request *wire.JoinRequest) (*wire.JoinResponse, error) {
	response := new(wire.JoinResponse)
	if leader == a.opts.Address {
		err := a.control.Do(ctx, func(s *state) { a.join(s, request, response) })
		return response, err
	}
	ctx, cancel := context.WithTimeout(ctx, joinPeriod)
	defer cancel()
	err := a.pool.Call(ctx, leader, "Agent.Join", request, response)
	return response, err
}

// applyJoin passes the leader's answer to the member; it reports whether the
// pings are over.
func (a *Agent) applyJoin(attempt string, request *wire.JoinRequest, response *wire.JoinResponse, sent time.Time) bool {
	if gang.Final(request.GetState()) {
		return true
	}
	heard := sent.Add(-time.Duration(response.GetHeardAgeMs()) * time.Millisecond)
	switch {
	case response.GetBroken():
		a.event(attempt, gang.MemberBroken, "the gang is broken: "+response.GetReason())
	case response.GetGo():
		a.leaderEvent(attempt, gang.MemberGo, heard)
	default:
		a.leaderEvent(attempt, gang.MemberLeaderSeen, heard)
	}
	return false
}

// leaderEvent passes the leader's answer on, dated by the last time at which
// the whole gang was known to be alive, counted from before the ping was sent.
// A frozen process can find an answer that is older than the silence allowed;
// it proves nothing about the gang any more.
func (a *Agent) leaderEvent(attempt string, e gang.MemberEvent, heard time.Time) {
	a.control.Post(func(s *state) {
		t, ok := s.tasks[attempt]
		if ok && time.Since(heard) < a.opts.Timers.Silence && !gang.Final(t.member.State) {
			a.stepAt(s, t, e, "", heard)
		}
	})
}

// event passes an event to a task from a traffic goroutine.
func (a *Agent) event(attempt string, e gang.MemberEvent, reason string) {
	a.control.Post(func(s *state) {
		if t, ok := s.tasks[attempt]; ok && !gang.Final(t.member.State) {
			a.step(s, t, e, reason)
		}
	})
}
