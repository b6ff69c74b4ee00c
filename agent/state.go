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

// attemptRetention is how long an ended attempt is remembered, so that late
// messages about it are refused. A link is closed after 3 s of silence, so no
// message arrives later than this.
const attemptRetention = 10 * time.Minute

// maxReportResultBytes limits the total size of the results in one report. The
// scheduler fetches results that do not fit: a report that takes long to send
// delays the pings of the link, and one above link.MaxMessageBytes would never
// arrive.
const maxReportResultBytes = 1 << 20

// task is one attempt to run a task of a job at this agent.
type task struct {
	attempt    string // its id, which differs for each member of a gang
	job        *wire.Job
	rank       int
	body       []byte
	resumeFrom time.Duration // run time saved by an earlier attempt
	member     gang.Member   // state in the gang protocol
	// members are the members of the gang, the leader first. Start sets them.
	members []*wire.Member
	monitor *gang.Monitor // nil unless the task leads a gang

	reason string
	result []byte
	// confirmed is whether an answer of the endpoint has shown that it knows the
	// task.
	confirmed        bool
	checkpointedWork time.Duration // run time saved by the last checkpoint
	launchedAt       time.Time
	endedAt          time.Time
	stopRequestedAt  time.Time          // first request of a stop with a checkpoint
	cancel           context.CancelFunc // ends the request to the endpoint

	settled bool // the scheduler has recorded the outcome
	// deliveredEpoch is the epoch of the last scheduler that received the final
	// state; 0 means none.
	deliveredEpoch int64
}

// state is the state of the worker. Only the control goroutine uses it.
type state struct {
	bootID       string // differs for each start of the agent
	epoch        int64  // highest epoch of a scheduler that was seen
	permit       permit.Permit
	ready        bool // the tasks of an earlier agent process were stopped
	draining     bool
	drainStarted time.Time
	tasks        map[string]*task // by attempt
	sequence     int64            // of the last report
}

// usage returns the slots and accelerators that prepared and running tasks hold.
func (s *state) usage() (slots, accelerators int) {
	for _, t := range s.tasks {
		if t.holdsResources() {
			slots++
			accelerators += int(t.job.GetAccelerators())
		}
	}
	return slots, accelerators
}

// holdsResources reports whether the task is prepared or may still be running.
func (t *task) holdsResources() bool {
	switch t.member.State {
	case wire.TaskState_TASK_PREPARED, wire.TaskState_TASK_WAITING, wire.TaskState_TASK_RUNNING, wire.TaskState_TASK_STOPPING:
		return true
	}
	return false
}

// status returns the task's status for the scheduler. It includes the result of a
// done task if withResult is set and the scheduler has not recorded the outcome.
func (t *task) status(withResult bool) *wire.TaskStatus {
	status := &wire.TaskStatus{
		Attempt:      t.attempt,
		State:        t.member.State,
		Reason:       t.reason,
		Started:      t.member.Started,
		Accelerators: t.job.GetAccelerators(),
		JobId:        t.job.GetId(),
		CheckpointMs: t.checkpointedWork.Milliseconds(),
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

// buildReport returns the next report on the worker and its tasks. A result is
// included if the scheduler of the current epoch has not received it yet and it
// fits into the report.
func (s *state) buildReport(o Options) *wire.Report {
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
	remainingBytes := maxReportResultBytes
	for _, t := range s.tasks {
		if !t.needsReport() {
			continue
		}
		fits := len(t.result) <= remainingBytes
		status := t.status(fits && t.deliveredEpoch < s.epoch)
		remainingBytes -= len(status.GetResult())
		r.Tasks = append(r.Tasks, status)
	}
	slices.SortFunc(r.Tasks, func(a, b *wire.TaskStatus) int { return strings.Compare(a.GetAttempt(), b.GetAttempt()) })
	return r
}

// needsReport reports whether the task's status still belongs in reports: it
// can change, or the scheduler has not recorded the outcome.
func (t *task) needsReport() bool {
	if !gang.Final(t.member.State) {
		return true
	}
	return !t.settled && t.job != nil
}

// markSettled records that the scheduler has recorded the outcomes of attempts,
// and drops their results and bodies.
func (s *state) markSettled(attempts []string) {
	for _, attempt := range attempts {
		if t, ok := s.tasks[attempt]; ok && gang.Final(t.member.State) {
			t.settled, t.result, t.body = true, nil, nil
		}
	}
}

// removeOldAttempts removes attempts that ended more than attemptRetention ago
// and of which nothing is left to report or to monitor.
func (s *state) removeOldAttempts(now time.Time) {
	for attempt, t := range s.tasks {
		ended := gang.Final(t.member.State) && (t.settled || t.job == nil)
		monitoring := t.monitor != nil && !t.monitor.Finished() && t.monitor.BrokenReason == ""
		if ended && !monitoring && now.Sub(t.endedAt) > attemptRetention {
			delete(s.tasks, attempt)
		}
	}
}

// idle reports whether no task runs, the scheduler has recorded every outcome and
// no gang is monitored.
func (s *state) idle() bool {
	for _, t := range s.tasks {
		if t.needsReport() {
			return false
		}
		if t.monitor != nil && !t.monitor.Finished() && t.monitor.BrokenReason == "" {
			return false
		}
	}
	return true
}
