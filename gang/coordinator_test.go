package gang

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"catkinpoint/wire"
)

func taskEvent(rank int, boot string, state wire.TaskState) Event {
	return Event{Kind: EventStatus, Rank: rank, BootID: boot, Status: &wire.TaskStatus{
		State: state, Started: state >= wire.TaskState_TASK_RUNNING && state != wire.TaskState_TASK_REFUSED,
	}}
}

func formatEffects(effects []Effect) string {
	names := [...]string{"commit", "start", "stop", "end"}
	var parts []string
	for _, e := range effects {
		parts = append(parts, fmt.Sprintf("%s %d", names[e.Kind], e.Rank))
	}
	return strings.Join(parts, ", ")
}

// TestCoordinatorTraces guards against failures that the model found. Each case is
// the trace of one.
func TestCoordinatorTraces(t *testing.T) {
	prepared := taskEvent(0, "b1", wire.TaskState_TASK_PREPARED)
	tests := []struct {
		name   string
		events []Event
		want   []string
		fate   wire.Fate
	}{
		{
			// A Stop was lost and not repeated, so a member that had never seen
			// the attempt kept it in the phase Stopping forever.
			name: "lost stop is repeated",
			events: []Event{
				{Kind: EventUnreachable},
				taskEvent(0, "b1", wire.TaskState_TASK_ABSENT),
				taskEvent(0, "b1", wire.TaskState_TASK_REFUSED),
			},
			want: []string{"stop 0", "stop 0", "end 0"},
			fate: wire.Fate_NOT_RUN,
		},
		{
			name: "no second stop for a task that is being stopped",
			events: []Event{
				prepared,
				{Kind: EventCommitted},
				{Kind: EventStop},
				taskEvent(0, "b1", wire.TaskState_TASK_STOPPING),
				taskEvent(0, "b1", wire.TaskState_TASK_STOPPED),
			},
			want: []string{"commit 0", "start 0", "stop 0", "", "end 0"},
			fate: wire.Fate_FAILED,
		},
		{
			// The commit took effect and a successor started the member. The
			// first scheduler, whose job was cancelled, has lost the member and
			// must not answer NOT_RUN.
			name:   "lost after the commit was sent",
			events: []Event{prepared, {Kind: EventStop}, {Kind: EventLost}},
			want:   []string{"commit 0", "stop 0", "end 0"},
			fate:   wire.Fate_UNKNOWN,
		},
		{
			// The request to run the task was lost on a silent connection, and
			// the job was reported as failed although it never ran.
			name: "stopped before the endpoint answered",
			events: []Event{
				prepared,
				{Kind: EventCommitted},
				{Kind: EventStatus, BootID: "b1", Status: &wire.TaskStatus{State: wire.TaskState_TASK_STOPPED, Started: true, Unconfirmed: true}},
			},
			want: []string{"commit 0", "start 0", "end 0"},
			fate: wire.Fate_UNKNOWN,
		},
		{
			name:   "lost after the commit was sent and proved to have failed",
			events: []Event{prepared, {Kind: EventCommitFailed}, {Kind: EventLost}},
			want:   []string{"commit 0", "stop 0", "end 0"},
			fate:   wire.Fate_NOT_RUN,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := NewCoordinator(1, true)
			var got []string
			for _, e := range test.events {
				got = append(got, formatEffects(c.Step(e)))
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("effects (-want +got):\n%s", diff)
			}
			if fate := c.Verdict().Fate(); c.Phase != Ended || fate != test.fate {
				t.Errorf("phase %d, fate %s; want phase Ended with fate %s", c.Phase, fate, test.fate)
			}
		})
	}
}

// TestVerdictIncludesAgentReason guards against a verdict whose reason names the
// state of a failed task, but not the agent's reason for it.
func TestVerdictIncludesAgentReason(t *testing.T) {
	c := NewCoordinator(1, true)
	c.Step(taskEvent(0, "b1", wire.TaskState_TASK_PREPARED))
	c.Step(Event{Kind: EventCommitted})
	c.Step(Event{Kind: EventStatus, BootID: "b1", Status: &wire.TaskStatus{
		State: wire.TaskState_TASK_REFUSED, Reason: "the gang is broken: task 0 is silent",
	}})
	const want = "a task ended in state TASK_REFUSED: the gang is broken: task 0 is silent"
	if got := c.Verdict().Reason; got != want {
		t.Errorf("reason %q, want %q", got, want)
	}
}
