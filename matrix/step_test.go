package matrix

import (
	"bytes"
	"strings"
	"time"

	"catkinpoint/wire"
)

// Step is a point in the course of a job or of a configuration change at which a
// fault is injected.
type Step string

// The columns of the matrix. Those up to Answer are steps of the watched gang.
const (
	Accept  Step = "accept"  // its record is written
	Place   Step = "place"   // a scheduler asks the first agent to prepare
	Prepare Step = "prepare" // the first agent answers
	Commit  Step = "commit"  // its record is written for the second time
	Start   Step = "start"   // a scheduler orders the first agent to start
	Running Step = "run"     // runDelay after an agent's first request to its endpoint
	Finish  Step = "finish"  // an endpoint returns a result
	Answer  Step = "answer"  // an entry answers the caller
	Cancel  Step = "cancel"  // a caller cancels a job
	Reclaim Step = "reclaim" // a scheduler stops a task after an urgent job was submitted
	Publish Step = "publish" // the first change is written to the store
	Drain   Step = "drain"   // the change that takes drainedDC out of service is written
)

// Steps lists the columns of the matrix in their order.
var Steps = []Step{Accept, Place, Prepare, Commit, Start, Running, Finish, Answer, Cancel, Reclaim, Publish, Drain}

// runDelay is the time from the start request to an endpoint until the whole gang
// certainly runs.
const runDelay = 300 * time.Millisecond

// stepWatcher detects the steps of the watched gang, of the cancellation, of the
// reclaim and of the changes. The cluster's mutex guards it.
type stepWatcher struct {
	awaited         Step          // empty once it has been reached
	reached         chan struct{} // closed once the awaited step is reached
	gangJobID       string        // id of the watched gang's job; empty until its record is written
	recordWrites    int           // number of writes of the job's record
	firstAgent      string        // first agent that was asked to prepare a member of the gang
	urgentSubmitted bool          // the urgent job was submitted
	secondAgent     string        // another agent that was asked to prepare a member
}

// notifyAt returns a channel that is closed when the step is reached.
func (c *Cluster) notifyAt(step Step) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.awaited, c.watch.reached = step, make(chan struct{})
	return c.watch.reached
}

// stepReached closes the channel of notifyAt if it is for the step; c.mu is held.
func (c *Cluster) stepReached(step Step) {
	if step == c.watch.awaited {
		c.watch.awaited = ""
		close(c.watch.reached)
	}
}

// targetAgent returns the agent that faults hit: that of the watched gang's first
// known member, or before any is known the first one in mainDC.
func (c *Cluster) targetAgent() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch.firstAgent != "" {
		return c.watch.firstAgent
	}
	return mainDC + "-00"
}

// secondTargetAgent returns another agent of the watched gang than targetAgent, or
// before any is known the second one in mainDC.
func (c *Cluster) secondTargetAgent() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch.secondAgent != "" {
		return c.watch.secondAgent
	}
	return mainDC + "-01"
}

// addGangAgent records an agent of the watched gang; c.mu is held.
func (c *Cluster) addGangAgent(agent string) {
	switch {
	case c.watch.firstAgent == "":
		c.watch.firstAgent = agent
	case c.watch.firstAgent != agent:
		c.watch.secondAgent = agent
	}
}

// onWrite detects the steps that are writes of the key to the store.
func (c *Cluster) onWrite(key string) {
	if key == "head" {
		headRecord := new(wire.Head)
		if c.readMessage(key, headRecord) {
			c.onHead(headRecord)
		}
		return
	}
	jobID, ok := strings.CutPrefix(key, "job/")
	if !ok {
		return
	}
	record := new(wire.JobRecord)
	if !c.readMessage(key, record) || record.GetJob().GetKey() != watchedGangKey {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.gangJobID = jobID
	c.watch.recordWrites++
	switch c.watch.recordWrites {
	case 1:
		c.stepReached(Accept)
	case 2:
		c.stepReached(Commit)
	}
}

// onHead records a write of the configuration head and detects its steps.
func (c *Cluster) onHead(h *wire.Head) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changeID := h.GetLastChange().GetChange().GetId()
	c.headWrites = append(c.headWrites, headWrite{time.Now(), h.GetVersion(), changeID, outOfServiceAfter(h)})
	switch changeID {
	case weightChange:
		c.stepReached(Publish)
	case drainChange:
		c.stepReached(Drain)
	}
}

// outOfServiceAfter returns whether drainedDC is out of service after the last
// change, or nil if that change has no operation on it.
func outOfServiceAfter(h *wire.Head) *bool {
	for _, op := range h.GetLastChange().GetChange().GetOperations() {
		if dc := op.GetObject().GetDataCentre(); dc != nil && op.GetObject().GetName() == drainedDC {
			out := !dc.GetInService()
			return &out
		}
	}
	return nil
}

// stepMessages describes the messages between processes by which steps are
// detected.
var stepMessages = []struct {
	step     Step
	from, to string // prefixes of process names
	text     string // in the message
	ofGang   bool   // the message also contains the id of the watched gang's job
}{
	{Place, "entry", "", "Agent.Prepare", true},
	{Prepare, "", "entry", "Agent.Prepare", true},
	{Start, "entry", "", "Agent.Start", true},
	{Running, "", "endpoint", "POST /tasks/", true},
	{Finish, "endpoint", "", "X-Result-Hash", true},
	{Answer, "entry", callers, "Catkinpoint-Fate", true},
	{Cancel, callers, "entry", "DELETE /v1/jobs", false},
}

// onMessage detects the steps that are messages between processes.
func (c *Cluster) onMessage(from, to string, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range stepMessages {
		relevant := !m.ofGang || c.watch.gangJobID != "" && bytes.Contains(data, []byte(c.watch.gangJobID))
		if !relevant || !strings.HasPrefix(from, m.from) || !strings.HasPrefix(to, m.to) || !bytes.Contains(data, []byte(m.text)) {
			continue
		}
		if m.step == Place {
			c.addGangAgent(to)
		}
		if m.step == Running {
			time.AfterFunc(runDelay, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.stepReached(Running)
			})
			continue
		}
		c.stepReached(m.step)
	}
	if c.watch.urgentSubmitted && strings.HasPrefix(from, "entry") && bytes.Contains(data, []byte("Agent.Stop")) {
		c.stepReached(Reclaim)
	}
}
