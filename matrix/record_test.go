package matrix

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"catkinpoint/local"
	"catkinpoint/stand/fakeep"
)

// piece is one run of one task, as the endpoint recorded it.
type piece struct {
	worker  string
	job     string
	attempt string // of the job, without the rank
	rank    int
	start   time.Time
	end     time.Time // zero if the task still runs
	how     string    // done, failed, or why it was stopped
}

func (p *piece) runsAt(t time.Time) bool {
	return p.start.Before(t) && (p.end.IsZero() || p.end.After(t))
}

// pieces reads the records of all endpoints.
func (w *World) pieces() []*piece {
	var list []*piece
	for _, worker := range w.agents() {
		byRun := make(map[int]*piece)
		for _, event := range w.endpoint(worker).Record() {
			switch event.Kind {
			case fakeep.KindStart:
				p := newPiece(worker, event)
				byRun[event.Run] = p
				list = append(list, p)
			case fakeep.KindEnd, fakeep.KindStop:
				byRun[event.Run].end, byRun[event.Run].how = event.Time, event.Detail
			}
		}
	}
	slices.SortFunc(list, func(a, b *piece) int { return a.start.Compare(b.start) })
	return list
}

func (w *World) endpoint(worker string) *fakeep.Endpoint {
	return w.System.Process(local.EndpointProcessName(worker)).Endpoint
}

// newPiece takes apart the id of a task: job, epoch and number of the attempt
// joined by dots, then a dash and the rank.
func newPiece(worker string, event fakeep.Event) *piece {
	p := &piece{worker: worker, start: event.Time}
	p.job, _, _ = strings.Cut(event.Attempt, ".")
	if dash := strings.LastIndexByte(event.Attempt, '-'); dash >= 0 {
		// Schedulers of two data centres can give the same id to two attempts.
		dc, _, _ := strings.Cut(worker, "-0")
		p.attempt = dc + "/" + event.Attempt[:dash]
		p.rank, _ = strconv.Atoi(event.Attempt[dash+1:])
	}
	return p
}
