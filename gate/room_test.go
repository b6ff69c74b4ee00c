package gate

import (
	"fmt"
	"testing"

	"catkinpoint/flow"
	"catkinpoint/stand/fakekv"
)

// TestNoRoomIsRefused guards against a valid job that is answered as invalid, and so given
// up by its caller, because there was no room for its body.
func TestNoRoomIsRefused(t *testing.T) {
	withGate(t, func(t *testing.T, _ *fakekv.Server, g *Gate) {
		noRoom := func(int64) (*flow.Job, error) { return nil, fmt.Errorf("%w: crowd", ErrNoRoom) }
		if got := g.Submit(t.Context(), testCall("/q/"+testID), noRoom); got.Verdict != Refused || got.RetryAfter != roomRetryAfter {
			t.Errorf("answer without room: %+v", got)
		}
		if got := g.Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a")); got.Verdict != Done {
			t.Errorf("answer to the repeat: %+v", got)
		}
	})
}
