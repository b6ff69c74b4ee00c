package graph

import (
	"testing"

	"catkinpoint/flow"
)

// Guards against a new run of a gang that is done: the success of a member counts also
// when another was taken as over before, and no member starts again.
func TestGangIsDoneAfterMemberWasLost(t *testing.T) {
	for _, lost := range []string{"gone", "replaced", "unreachable", EndGangBroken} {
		t.Run(lost, func(t *testing.T) {
			j := New(&flow.Job{Id: "a", MaxAttempts: 2, Steps: []*flow.Step{{Count: 2, Gang: true}}}, nil)
			u := j.Ready(0)[0]
			run := j.Assign(u, testPlaces(u))
			j.End(u.Tasks[0], run, lost, "")
			j.End(u.Tasks[1], run, EndDone, "")
			j.Advance(1)
			if ready := j.Ready(1); j.Phase != flow.Phase_COMPLETED || len(ready) != 0 {
				t.Errorf("phase %v, %d units ready; want COMPLETED and none", j.Phase, len(ready))
			}
		})
	}
}
