package matrix

import (
	"slices"
	"time"

	"catkinpoint/stand/fakekv"
)

// Fault is one kind of disturbance.
type Fault string

// The faults of the matrix. Those of the agent fall on the agent of the watched
// gang's first member, or of another member, those of the scheduler on the entry that schedules it.
const (
	NoFault         Fault = "none"
	KillAgent       Fault = "kill agent"
	KillScheduler   Fault = "kill scheduler"
	KillEntry       Fault = "kill entry"
	FreezeAgent     Fault = "freeze agent"
	FreezeScheduler Fault = "freeze scheduler"
	FreezeEntry     Fault = "freeze entry"
	CutAgent        Fault = "cut agent"
	CutMember       Fault = "cut member"
	CutScheduler    Fault = "cut scheduler"
	SilentAgent     Fault = "silent agent"
	SilentScheduler Fault = "silent scheduler"
	StoreDown       Fault = "store down"
	StoreSlow       Fault = "store slow"
	AnswerLost      Fault = "answer lost"
	Duplicate       Fault = "duplicate"
	Reordered       Fault = "reordered"
	Racing          Fault = "racing operators"
	TwoAtOnce       Fault = "two at once"
	SameTwice       Fault = "same twice"
)

// Faults lists all faults but NoFault.
var Faults = []Fault{
	KillAgent, KillScheduler, KillEntry, FreezeAgent, FreezeScheduler, FreezeEntry, CutAgent, CutMember, CutScheduler,
	SilentAgent, SilentScheduler, StoreDown, StoreSlow, AnswerLost, Duplicate, Reordered, Racing, TwoAtOnce, SameTwice,
}

const (
	// frozenFor is longer than all leases, of which those of entries are the longest with 9 s.
	frozenFor = 12 * time.Second
	cutFor    = 8 * time.Second
	outage    = 8 * time.Second
	// slowness makes calls to the store exceed their time limit of 1 s, so
	// that writes take effect after their callers have given up.
	slowness = 1200 * time.Millisecond
	// reboot is how long an agent is away.
	reboot = 1500 * time.Millisecond
	// lostAnswers is how many writes in a row lose their answers.
	lostAnswers = 2
)

// inject carries the fault out, returns once it is over, and tells which
// processes it fell on.
func (w *World) inject(f Fault) []string {
	agent, scheduler := w.victim(), w.holder(home)
	switch f {
	case KillAgent:
		w.restart(agent)
		return []string{agent}
	case KillScheduler:
		w.Kill(scheduler)
		return []string{scheduler}
	case KillEntry:
		w.Kill(w.spare())
		return []string{w.spare()}
	case FreezeAgent:
		return w.freezeFor(agent)
	case FreezeScheduler:
		return w.freezeFor(scheduler)
	case FreezeEntry:
		return w.freezeFor(w.spare())
	case CutMember:
		agent = w.otherVictim()
		w.cutFor(agent, slices.DeleteFunc(w.processes(), func(name string) bool { return name == agent }))
		return []string{agent}
	case CutAgent:
		w.cutFor(agent, slices.DeleteFunc(w.processes(), func(name string) bool { return name == agent }))
		return []string{agent}
	case CutScheduler:
		w.cutFor(scheduler, w.agents())
		return []string{scheduler}
	case SilentAgent:
		w.Net.Silence(agent)
		return []string{agent}
	case SilentScheduler:
		w.Net.Silence(scheduler)
		return []string{scheduler}
	case StoreDown:
		w.store(fakekv.Faults{Down: true}, outage)
	case StoreSlow:
		w.store(fakekv.Faults{Delay: slowness}, outage)
	case AnswerLost:
		w.mu.Lock()
		w.lose = lostAnswers
		w.mu.Unlock()
		time.Sleep(time.Second)
	case Reordered:
		w.setReorder(true)
		time.Sleep(outage)
		w.setReorder(false)
	case TwoAtOnce:
		w.System.Store.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
		w.restart(agent)
		w.Kill(scheduler)
		time.Sleep(outage / 2)
		w.System.Store.ClearFaults()
		return []string{agent, scheduler}
	}
	return nil
}

func (w *World) restart(agent string) {
	w.Kill(agent)
	time.Sleep(reboot)
	if err := w.System.RestartAgent(agent); err != nil {
		panic(err) // the name is one of the world's
	}
}

func (w *World) freezeFor(name string) []string {
	w.Freeze(name)
	time.Sleep(frozenFor)
	w.Thaw(name)
	return []string{name}
}

func (w *World) cutFor(name string, others []string) {
	for _, other := range others {
		w.Net.Cut(name, other)
	}
	time.Sleep(cutFor)
	for _, other := range others {
		w.Net.Heal(name, other)
	}
}

func (w *World) store(f fakekv.Faults, d time.Duration) {
	w.System.Store.SetFaults(fakekv.AllCallers, f)
	time.Sleep(d)
	w.System.Store.ClearFaults()
}

func (w *World) setReorder(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reorder = on
}

// NotApplicable returns why the fault cannot fall on the step; empty if it can.
func NotApplicable(step Step, fault Fault) string {
	switch {
	case fault == Duplicate:
		return "TCP delivers each byte once; repeated commands and requests are the faults same twice, cut and silent"
	case fault == Racing && step != Publish && step != Drain:
		return "operators act at the steps publish and drain only"
	}
	return ""
}
