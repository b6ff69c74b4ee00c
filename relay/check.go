package relay

import (
	"errors"
	"fmt"
	"time"

	"catkinpoint/graph"
)

const (
	// maxNumber limits the counts, clocks and times in a heartbeat: a larger one would
	// make the relay ignore the worker's own heartbeats that come after it.
	maxNumber = 1 << 53
	// maxBornAhead is how far the start of a worker's process may lie in the future,
	// on this machine's time of day.
	maxBornAhead = time.Hour
	// maxLabels and maxTextBytes limit the labels, and the length of each text.
	maxLabels    = 64
	maxTextBytes = 256
)

// ErrBadHeartbeat means that a heartbeat describes no worker that can be used.
var ErrBadHeartbeat = errors.New("bad heartbeat")

// Check returns an error that says what is wrong with a heartbeat, or nil. It wraps
// ErrBadHeartbeat.
func (h Heartbeat) Check(now time.Time) error {
	w := h.Worker
	texts := append([]string{w.GetId(), w.GetService(), w.GetDataCentre()}, w.GetLabels()...)
	for _, text := range texts {
		if len(text) > maxTextBytes {
			return badHeartbeat("a text of %d bytes is longer than %d", len(text), maxTextBytes)
		}
	}
	switch {
	case w.GetId() == "":
		return badHeartbeat("no worker id")
	case w.GetService() == "":
		return badHeartbeat("no service")
	case len(w.GetLabels()) > maxLabels:
		return badHeartbeat("%d labels are more than %d", len(w.GetLabels()), maxLabels)
	case h.Sequence < 0 || h.Sequence > maxNumber:
		return badHeartbeat("sequence %d is not between 0 and %d", h.Sequence, int64(maxNumber))
	case h.Clock < 0:
		return badHeartbeat("the worker's clock %v is negative", h.Clock)
	case w.GetRemainingMs() < 0 || w.GetRemainingMs() > maxNumber:
		return badHeartbeat("remaining time of %d ms is not between 0 and %d", w.GetRemainingMs(), int64(maxNumber))
	case w.GetBornMs() < 0 || w.GetBornMs() > now.Add(maxBornAhead).UnixMilli():
		return badHeartbeat("start of the process %d is not between 0 and an hour from now", w.GetBornMs())
	}
	if err := graph.CheckAmounts(w.GetCpu(), w.GetMemoryMb(), w.GetAccelerators()); err != nil {
		return badHeartbeat("capacity: %v", err)
	}
	return nil
}

func badHeartbeat(format string, args ...any) error {
	return Error.Wrap(fmt.Errorf("%w: %s", ErrBadHeartbeat, fmt.Sprintf(format, args...)))
}
