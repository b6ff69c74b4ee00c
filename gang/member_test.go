package gang

import (
	"testing"

	"catkinpoint/wire"
)

// TestMemberTraces guards against failures that the model found. Each case is the
// trace of one.
func TestMemberTraces(t *testing.T) {
	tests := []struct {
		name   string
		events []MemberEvent
		want   wire.TaskState
	}{
		{
			// The endpoint stopped the task because its lease expired while the
			// agent was frozen; the member stayed in TASK_RUNNING and held its
			// accelerators forever.
			name:   "endpoint stops the task at the end of its lease",
			events: []MemberEvent{MemberPrepare, MemberStartSingle, MemberKilled},
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
