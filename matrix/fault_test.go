package matrix

import (
	"slices"
	"time"

	"catkinpoint/stand/fakekv"
)

// Fault is one kind of disturbance.
type Fault string

// The faults of the matrix. "agent" is the agent of the watched gang's first known
// member, "member" that of another member, "scheduler" the entry that schedules
// mainDC, where the gang runs, and "entry" the spare entry.
const (
	NoFault         Fault = "none"
	KillAgent       Fault = "kill agent" // and restart it after restartDelay
	KillScheduler   Fault = "kill scheduler"
	KillEntry       Fault = "kill entry"
	FreezeAgent     Fault = "freeze agent"
	FreezeScheduler Fault = "freeze scheduler"
	FreezeEntry     Fault = "freeze entry"
	CutAgent        Fault = "cut agent"        // from all other agents and all entries
	CutMember       Fault = "cut member"       // from all other agents and all entries
	CutScheduler    Fault = "cut scheduler"    // from all agents
	SilentAgent     Fault = "silent agent"     // its open connections lose all bytes, new ones work
	SilentScheduler Fault = "silent scheduler" // its open connections lose all bytes, new ones work
	StoreDown       Fault = "store down"
	StoreSlow       Fault = "store slow"
	AnswerLost      Fault = "answer lost" // of writes to the store, which take effect
	Duplicate       Fault = "duplicate"   // of messages; see NotApplicable
	Reordered       Fault = "reordered"   // messages of different connections
	// RacingOperators makes a second operator change the same objects.
	RacingOperators Fault = "racing operators"
	// KillsWhileStoreDown kills the agent, which restarts, and the scheduler.
	KillsWhileStoreDown Fault = "kills while store down"
	// RepeatedRequests makes callers send non-idempotent requests twice, with the
	// same key, and the cancellation twice. Operators publish each change twice and
	// drain the endpoint twice.
	RepeatedRequests Fault = "repeated requests"
)

// Faults lists all faults but NoFault.
var Faults = []Fault{
	KillAgent, KillScheduler, KillEntry, FreezeAgent, FreezeScheduler, FreezeEntry, CutAgent, CutMember, CutScheduler,
	SilentAgent, SilentScheduler, StoreDown, StoreSlow, AnswerLost, Duplicate, Reordered, RacingOperators, KillsWhileStoreDown, RepeatedRequests,
}

const (
	// freezeDuration is longer than all leases. Those of entries are the longest, 9 s.
	freezeDuration = 12 * time.Second
	cutDuration    = 8 * time.Second
	// disturbanceDuration is how long the store is down or slow, or messages are
	// reordered. KillsWhileStoreDown waits half of it after the kills.
	disturbanceDuration = 8 * time.Second
	// slowStoreDelay makes calls to the store exceed their time limit of 1 s, so
	// that writes take effect after their callers have given up.
	slowStoreDelay = 1200 * time.Millisecond
	// restartDelay is the time from the kill of an agent to its restart.
	restartDelay = 1500 * time.Millisecond
	// lostAnswers is how many writes to the store in a row lose their answers.
	lostAnswers = 2
)

// inject injects the fault, waits until it is over, and returns the names of the
// processes that it hit.
func (c *Cluster) inject(f Fault) []string {
	agent, scheduler := c.targetAgent(), c.schedulingEntry(mainDC)
	switch f {
	case KillAgent:
		c.restartAgent(agent)
		return []string{agent}
	case KillScheduler:
		c.Kill(scheduler)
		return []string{scheduler}
	case KillEntry:
		c.Kill(c.spareEntry())
		return []string{c.spareEntry()}
	case FreezeAgent:
		return c.freezeAndThaw(agent)
	case FreezeScheduler:
		return c.freezeAndThaw(scheduler)
	case FreezeEntry:
		return c.freezeAndThaw(c.spareEntry())
	case CutMember:
		agent = c.secondTargetAgent()
		c.cutOff(agent, slices.DeleteFunc(c.processes(), func(name string) bool { return name == agent }))
		return []string{agent}
	case CutAgent:
		c.cutOff(agent, slices.DeleteFunc(c.processes(), func(name string) bool { return name == agent }))
		return []string{agent}
	case CutScheduler:
		c.cutOff(scheduler, c.agents())
		return []string{scheduler}
	case SilentAgent:
		c.Net.Silence(agent)
		return []string{agent}
	case SilentScheduler:
		c.Net.Silence(scheduler)
		return []string{scheduler}
	case StoreDown:
		c.setStoreFaultsFor(fakekv.Faults{Down: true}, disturbanceDuration)
	case StoreSlow:
		c.setStoreFaultsFor(fakekv.Faults{Delay: slowStoreDelay}, disturbanceDuration)
	case AnswerLost:
		c.mu.Lock()
		c.answersToLose = lostAnswers
		c.mu.Unlock()
		time.Sleep(time.Second)
	case Reordered:
		c.setReorder(true)
		time.Sleep(disturbanceDuration)
		c.setReorder(false)
	case KillsWhileStoreDown:
		c.System.Store.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
		c.restartAgent(agent)
		c.Kill(scheduler)
		time.Sleep(disturbanceDuration / 2)
		c.System.Store.ClearFaults()
		return []string{agent, scheduler}
	}
	return nil
}

// restartAgent kills the agent and starts it again after restartDelay.
func (c *Cluster) restartAgent(agent string) {
	c.Kill(agent)
	time.Sleep(restartDelay)
	if err := c.System.RestartAgent(agent); err != nil {
		panic(err) // only a name that the cluster does not have is an error
	}
}

// freezeAndThaw freezes the process for freezeDuration and returns its name as the
// only element.
func (c *Cluster) freezeAndThaw(name string) []string {
	c.Freeze(name)
	time.Sleep(freezeDuration)
	c.Thaw(name)
	return []string{name}
}

// cutOff cuts the links between the process and the others for cutDuration.
func (c *Cluster) cutOff(name string, others []string) {
	for _, other := range others {
		c.Net.Cut(name, other)
	}
	time.Sleep(cutDuration)
	for _, other := range others {
		c.Net.Heal(name, other)
	}
}

// setStoreFaultsFor injects the faults into the store calls of all processes for
// the duration.
func (c *Cluster) setStoreFaultsFor(f fakekv.Faults, d time.Duration) {
	c.System.Store.SetFaults(fakekv.AllCallers, f)
	time.Sleep(d)
	c.System.Store.ClearFaults()
}

func (c *Cluster) setReorder(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reorder = on
}

// NotApplicable returns the reason why the fault cannot be injected at the step,
// or "" if it can.
func NotApplicable(step Step, fault Fault) string {
	switch {
	case fault == Duplicate:
		return "TCP delivers each byte once; repeated commands and requests are the faults repeated requests, cut and silent"
	case fault == RacingOperators && step != Publish && step != Drain:
		return "operators act at the steps publish and drain only"
	}
	return ""
}
