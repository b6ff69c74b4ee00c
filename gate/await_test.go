package gate

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/stand/fakekv"
)

// Guards against callers that learn of the end of their job a quarter of a second or
// more after the gate could have known it. On a busy day callers ask at the moment at
// which the last task ends, before the scheduler has stored the end, while many other
// records change.
func TestStateWaitsForEndOfJob(t *testing.T) {
	tests := []struct {
		name    string
		budget  time.Duration
		endsAt  time.Duration // after the question, or 0 if the job goes on
		want    flow.Phase
		minWait time.Duration
		maxWait time.Duration
	}{
		{name: "ends at once", budget: 3 * time.Second, endsAt: 30 * time.Millisecond, want: flow.Phase_COMPLETED, minWait: 30 * time.Millisecond, maxWait: 60 * time.Millisecond},
		{name: "ends later", budget: 3 * time.Second, endsAt: 300 * time.Millisecond, want: flow.Phase_COMPLETED, minWait: 300 * time.Millisecond, maxWait: 450 * time.Millisecond},
		{name: "goes on", budget: 3 * time.Second, want: flow.Phase_RUNNING, minWait: maxStateWait, maxWait: maxStateWait},
		{name: "caller with little time", budget: 400 * time.Millisecond, want: flow.Phase_RUNNING, minWait: 100 * time.Millisecond, maxWait: 100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withGate(t, func(t *testing.T, kv *fakekv.Server, g *Gate) {
				store := func(key string, m proto.Message) {
					value, err := proto.Marshal(m)
					if err != nil {
						t.Fatal(err)
					}
					putKey(t, kv, key, string(value))
				}
				store(duty.JobKey(testID), &flow.Job{Id: testID, Queue: "q", Customer: "c"})
				store(duty.ProgressKey(testID), &flow.Work{Phase: flow.Phase_RUNNING})
				time.Sleep(time.Second)
				go func() {
					// The watch returns this change and pauses, as on a busy day.
					store(duty.JobKey("00000000000000ee"), &flow.Job{Id: "00000000000000ee", Queue: "q", Customer: "c"})
					if test.endsAt > 0 {
						time.Sleep(test.endsAt)
						store(duty.ProgressKey(testID), &flow.Work{Phase: flow.Phase_COMPLETED})
					}
				}()
				start := time.Now()
				call := testCall("/q/" + testID)
				call.Budget = test.budget
				got := g.State(t.Context(), call)
				if took := time.Since(start); got.Phase != test.want || took < test.minWait || took > test.maxWait {
					t.Errorf("state %v after %v; want %v after %v to %v", got.Phase, took, test.want, test.minWait, test.maxWait)
				}
			})
		})
	}
}

// Guards against a caller that waits although its job is over.
func TestStateOfEndedJobIsAnsweredAtOnce(t *testing.T) {
	withGate(t, func(t *testing.T, _ *fakekv.Server, g *Gate) {
		if got := g.Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a")); got.Verdict != Done {
			t.Fatalf("submission: %+v", got)
		}
		if got := g.Cancel(t.Context(), testCall("/q/"+testID)); got.Verdict != Done {
			t.Fatalf("cancel: %+v", got)
		}
		time.Sleep(time.Second)
		start := time.Now()
		if got := g.State(t.Context(), testCall("/q/"+testID)); got.Phase != flow.Phase_CANCELLED || time.Since(start) > 0 {
			t.Errorf("state %v after %v; want it at once", got.Phase, time.Since(start))
		}
	})
}
