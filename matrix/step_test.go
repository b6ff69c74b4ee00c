package matrix

import (
	"bytes"
	"strings"
	"time"

	"catkinpoint/wire"
)

// Step is a moment on the way of a job or of a change.
type Step string

// The columns of the matrix.
const (
	Accept  Step = "accept"
	Place   Step = "place"
	Prepare Step = "prepare"
	Commit  Step = "commit"
	Start   Step = "start"
	Running Step = "run"
	Finish  Step = "finish"
	Answer  Step = "answer"
	Cancel  Step = "cancel"
	Reclaim Step = "reclaim"
	Publish Step = "publish"
	Drain   Step = "drain"
)

// Steps lists all columns.
var Steps = []Step{Accept, Place, Prepare, Commit, Start, Running, Finish, Answer, Cancel, Reclaim, Publish, Drain}

// runDelay is how long after its launch a gang certainly runs.
const runDelay = 300 * time.Millisecond

// watcher notices the steps of the watched gang, of the cancellation, of the
// reclaim and of the changes. The world's mutex guards it.
type watcher struct {
	wanted  Step
	reached chan struct{} // closed once the wanted step is reached
	gang    string        // id of the watched job
	writes  int           // of its record
	agent   string        // of its first member that was seen
	urgent  bool          // the urgent job was submitted
	other   string        // an agent of the gang beside agent
}

// await makes the world watch for a step, and returns what is closed then.
func (w *World) await(step Step) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch.wanted, w.watch.reached = step, make(chan struct{})
	return w.watch.reached
}

// reach notes a step; w.mu is held.
func (w *World) reach(step Step) {
	if step == w.watch.wanted {
		w.watch.wanted = ""
		close(w.watch.reached)
	}
}

// victim is the agent on which faults fall: that of the watched gang's first
// known member.
func (w *World) victim() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watch.agent != "" {
		return w.watch.agent
	}
	return home + "-00"
}

// otherVictim is an agent of the watched gang beside the victim.
func (w *World) otherVictim() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watch.other != "" {
		return w.watch.other
	}
	return home + "-01"
}

// placed notes an agent of the watched gang; w.mu is held.
func (w *World) placed(agent string) {
	switch {
	case w.watch.agent == "":
		w.watch.agent = agent
	case w.watch.agent != agent:
		w.watch.other = agent
	}
}

// onWrite follows the store's writes.
func (w *World) onWrite(key string) {
	if key == "head" {
		h := new(wire.Head)
		if w.read(key, h) {
			w.onHead(h)
		}
		return
	}
	id, ok := strings.CutPrefix(key, "job/")
	if !ok {
		return
	}
	record := new(wire.JobRecord)
	if !w.read(key, record) || record.GetJob().GetKey() != gangKey {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch.gang = id
	w.watch.writes++
	switch w.watch.writes {
	case 1:
		w.reach(Accept)
	case 2:
		w.reach(Commit)
	}
}

func (w *World) onHead(h *wire.Head) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := h.GetLastChange().GetChange().GetId()
	w.heads = append(w.heads, headWrite{time.Now(), h.GetVersion(), id, leaves(h)})
	switch id {
	case weightChange:
		w.reach(Publish)
	case drainChange:
		w.reach(Drain)
	}
}

// leaves tells whether the last change takes the second data centre out of
// service; nil means that it does not concern it.
func leaves(h *wire.Head) *bool {
	for _, op := range h.GetLastChange().GetChange().GetOperations() {
		if dc := op.GetObject().GetDataCentre(); dc != nil && op.GetObject().GetName() == away {
			out := !dc.GetInService()
			return &out
		}
	}
	return nil
}

// marks tell the steps from the bytes that processes send.
var marks = []struct {
	step     Step
	from, to string // prefixes of process names
	text     string
	ofGang   bool
}{
	{Place, "entry", "", "Agent.Prepare", true},
	{Prepare, "", "entry", "Agent.Prepare", true},
	{Start, "entry", "", "Agent.Start", true},
	{Running, "", "endpoint", "POST /tasks/", true},
	{Finish, "endpoint", "", "X-Result-Hash", true},
	{Answer, "entry", callers, "Catkinpoint-Fate", true},
	{Cancel, callers, "entry", "DELETE /v1/jobs", false},
}

// onMessage follows the messages between processes.
func (w *World) onMessage(from, to string, data []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range marks {
		known := !m.ofGang || w.watch.gang != "" && bytes.Contains(data, []byte(w.watch.gang))
		if !known || !strings.HasPrefix(from, m.from) || !strings.HasPrefix(to, m.to) || !bytes.Contains(data, []byte(m.text)) {
			continue
		}
		if m.step == Place {
			w.placed(to)
		}
		if m.step == Running {
			time.AfterFunc(runDelay, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.reach(Running)
			})
			continue
		}
		w.reach(m.step)
	}
	if w.watch.urgent && strings.HasPrefix(from, "entry") && bytes.Contains(data, []byte("Agent.Stop")) {
		w.reach(Reclaim)
	}
}
