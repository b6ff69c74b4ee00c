package model

import (
	"time"

	"catkinpoint/graph"
)

// gangWait is how long a member of a gang waits for the others.
const gangWait = 4 * time.Second

// gang is one run of all tasks of a step that run together.
type gang struct {
	tasks    []string // names of all members
	present  map[string]*taskRun
	complete bool // all members have been present, so that they work
	over     bool
	failing  bool // a member has failed by the draw of failMembers; the others end soon
	workTime time.Duration
}

// join adds a run to its gang. Once all members are present, they work for workTime.
func (w *world) join(r *taskRun) {
	g := r.gang
	g.present[r.task] = r
	if g.over {
		w.after(0, func() { w.endIfRunning(r, graph.EndGangBroken) })
		return
	}
	if len(g.present) < len(g.tasks) {
		w.after(gangWait, func() {
			if !g.complete && r.ended.IsZero() {
				w.endIfRunning(r, graph.EndGangIncomplete)
			}
		})
		return
	}
	g.complete = true
	if f, ok := w.nextFailure(r.unit); ok {
		w.failMembers(g, f)
		return
	}
	w.after(g.workTime, func() {
		if g.over {
			return
		}
		g.over = true
		for _, member := range g.present {
			w.endIfRunning(member, graph.EndDone)
		}
	})
}

// leave breaks the gang of a run that has ended before the gang was done.
func (w *world) leave(r *taskRun) {
	g := r.gang
	if g == nil || g.over {
		return
	}
	g.over = true
	for _, member := range g.present {
		if member != r {
			w.endIfRunning(member, graph.EndGangBroken)
		}
	}
}

// after runs f under the lock of the world after a delay.
func (w *world) after(delay time.Duration, f func()) *time.Timer {
	return time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		f()
	})
}
