package gang

import (
	"testing"

	"catkinpoint/wire"
)

// Each case is a trace that the model found; the comment names the failure.
func TestMemberTraces(t *testing.T) {
	tests := []struct {
		name   string
		events []MemberEvent
		want   wire.TaskState
	}{
		{
			// The endpoint's lease ran out while the agent was frozen; the
			// member stayed running and held its accelerators for good.
			name:   "task stopped by the endpoint's own lease",
			events: []MemberEvent{MemberPrepare, MemberStartOne, MemberKilled},
			want:   wire.TaskState_TASK_STOPPED,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var m Member
			for _, e := range test.events {
				m, _ = m.Step(e, modelNow, DefaultTimers())
			}
			if m.State != test.want {
				t.Errorf("state %s, want %s", m.State, test.want)
			}
		})
	}
}
