package gate

import (
	"context"
	"time"
)

const (
	// maxStateWait is the longest time that the answer to a question for a job's state
	// waits for the job to end. Most jobs whose callers expect the end are known to have
	// ended within this time.
	maxStateWait = 500 * time.Millisecond
	// stateWaitShare is the highest fraction of the caller's budget that it waits.
	stateWaitShare = 0.25
)

// awaitEnd waits until a job is over, for maxStateWait at most, and returns its state
// then. Callers ask when they expect the end, which is often on its way to this gate;
// an answer without it would cost them the time until they ask again.
func (g *Gate) awaitEnd(ctx context.Context, call Call, id string, state jobState) jobState {
	if state.over() || state.ended == nil {
		return state
	}
	g.stateFollower.Hurry()
	timer := time.NewTimer(min(maxStateWait, time.Duration(stateWaitShare*float64(call.Budget))))
	defer timer.Stop()
	select {
	case <-state.ended:
	case <-timer.C:
	case <-ctx.Done():
	}
	if now, ok := g.view.findJob(id); ok {
		return now
	}
	return state
}
