package agent

import (
	"context"
	"slices"
	"strings"
	"time"

	"catkinpoint/gang"
	"catkinpoint/permit"
	"catkinpoint/wire"
)

// retention is how long an ended attempt is remembered, so that late messages
// about it are refused. A link ends after 3 s of silence, so none is older.
const retention = 10 * time.Minute

// reportResultBytes bounds the results in one report. The scheduler fetches
// larger ones: a report that takes long keeps pings from the link, and one above
// the largest message would never arrive.
const reportResultBytes = 1 << 20

// task is one attempt at this agent.
type task struct {
	attempt string
	job     *wire.Job
	rank    int
	body    []byte
	resume  time.Duration
	member  gang.Member
	// members is set by Start; the first is the leader.
	members []*wire.Member
	monitor *gang.Monitor // at the leader's agent only

	reason string
	result []byte
	// confirmed says that the endpoint has answered about the task.
	confirmed  bool
	checkpoint time.Duration
	launchedAt time.Time
	endedAt    time.Time
	stopAsked  time.Time          // when a stop with a checkpoint was asked for first
	cancel     context.CancelFunc // ends the request to the endpoint

	settled bool
	// delivered is the epoch whose holder has received the final state.
	delivered int64
}

// state is owned by the control goroutine.
type state struct {
	bootID   string
	epoch    int64
	permit   permit.Permit
	ready    bool // the endpoint was cleared of earlier tasks
	draining bool
	// drainedFrom is when the drain began.
	drainedFrom time.Time
	tasks       map[string]*task
	sequence    int64
}

// usage counts what prepared and running attempts hold.
func (s *state) usage() (slots, accelerators int) {
	for _, t := range s.tasks {
		if t.holdsWorker() {
			slots++
			accelerators += int(t.job.GetAccelerators())
		}
	}
	return slots, accelerators
}

func (t *task) holdsWorker() bool {
	switch t.member.State {
	case wire.TaskState_TASK_PREPARED, wire.TaskState_TASK_WAITING, wire.TaskState_TASK_RUNNING, wire.TaskState_TASK_STOPPING:
		return true
	}
	return false
}

// status describes the task; the result is included only on demand.
func (t *task) status(withResult bool) *wire.TaskStatus {
	status := &wire.TaskStatus{
		Attempt:      t.attempt,
		State:        t.member.State,
		Reason:       t.reason,
		Started:      t.member.Started,
		Accelerators: t.job.GetAccelerators(),
		JobId:        t.job.GetId(),
		CheckpointMs: t.checkpoint.Milliseconds(),
		Unconfirmed:  t.member.Started && !t.confirmed,
	}
	if !t.launchedAt.IsZero() {
		end := t.endedAt
		if end.IsZero() {
			end = time.Now()
		}
		status.RunMs = end.Sub(t.launchedAt).Milliseconds()
	}
	if withResult && t.member.State == wire.TaskState_TASK_DONE && !t.settled {
		status.HasResult, status.Result = true, t.result
	}
	return status
}

// report describes the worker for the holder of the state's epoch.
func (s *state) report(o Options) *wire.Report {
	s.sequence++
	r := &wire.Report{
		Worker:       o.Worker,
		BootId:       s.bootID,
		Address:      o.Address.String(),
		DataCentre:   o.DataCentre,
		Rack:         o.Rack,
		Service:      o.Service,
		Accelerators: int32(o.Accelerators),
		Slots:        int32(o.Slots),
		Epoch:        s.epoch,
		Version:      s.permit.Version,
		Draining:     s.draining,
		Sequence:     s.sequence,
	}
	room := reportResultBytes
	for _, t := range s.tasks {
		if !t.reportable() {
			continue
		}
		fits := len(t.result) <= room
		status := t.status(fits && t.delivered < s.epoch)
		room -= len(status.GetResult())
		r.Tasks = append(r.Tasks, status)
	}
	slices.SortFunc(r.Tasks, func(a, b *wire.TaskStatus) int { return strings.Compare(a.GetAttempt(), b.GetAttempt()) })
	return r
}

// reportable says whether the scheduler still needs to hear of the task.
func (t *task) reportable() bool {
	if !gang.Final(t.member.State) {
		return true
	}
	return !t.settled && t.job != nil
}

// settle marks attempts whose outcome the scheduler has recorded.
func (s *state) settle(attempts []string) {
	for _, attempt := range attempts {
		if t, ok := s.tasks[attempt]; ok && gang.Final(t.member.State) {
			t.settled, t.result, t.body = true, nil, nil
		}
	}
}

// sweep forgets attempts that ended long ago.
func (s *state) sweep(now time.Time) {
	for attempt, t := range s.tasks {
		ended := gang.Final(t.member.State) && (t.settled || t.job == nil)
		monitors := t.monitor != nil && !t.monitor.Finished() && t.monitor.Broken == ""
		if ended && !monitors && now.Sub(t.endedAt) > retention {
			delete(s.tasks, attempt)
		}
	}
}

// idle says whether nothing runs, and every outcome is with the scheduler.
func (s *state) idle() bool {
	for _, t := range s.tasks {
		if t.reportable() {
			return false
		}
		if t.monitor != nil && !t.monitor.Finished() && t.monitor.Broken == "" {
			return false
		}
	}
	return true
}
