package gang

import (
	"flag"
	"strings"
	"testing"
	"time"
)

var modelFull = flag.Bool("model.full", false, "explore the large bounds as well, several minutes each")

func singleTaskConfig() modelConfig {
	return modelConfig{
		members: 1, recorded: true, unit: time.Second, leaseUnits: 2, permitUnits: 2,
		timers: Timers{PreparedTimeout: 3 * time.Second, BarrierTimeout: 3 * time.Second, SilenceTimeout: 2 * time.Second, PermitMargin: 700 * time.Millisecond},
	}
}

// gangConfig returns time limits that are ordered like the real ones: ping
// period, silence, task lease, barrier, expiry of a prepared member.
func gangConfig(members int) modelConfig {
	return modelConfig{
		members: members, recorded: true, punctual: true, unit: time.Second, leaseUnits: 4, permitUnits: 3,
		timers: Timers{PreparedTimeout: 6 * time.Second, BarrierTimeout: 5 * time.Second, SilenceTimeout: 3 * time.Second, PermitMargin: 700 * time.Millisecond},
	}
}

const (
	processFaults = faultKillAgent | faultKillScheduler | faultDepose
	cutFaults     = faultCutAgent | faultCutLeader
)

type modelRun struct {
	name      string
	full      bool // runs only with -model.full
	members   int
	depth     int // maximum number of steps; 0 means no limit
	configure func(cfg *modelConfig)
}

// TestModel checks the properties of the protocol in every state that is reachable
// within the limits of each run; a run with a depth covers every sequence of that
// many steps. Guards against violations that need a rare order of messages and
// faults.
func TestModel(t *testing.T) {
	runs := []modelRun{
		{"single, cancel", false, 1, 0, func(cfg *modelConfig) { cfg.cancels = 1 }},
		{"single, one fault", false, 1, 0, func(cfg *modelConfig) { cfg.faults = 1 }},
		{"single, one fault, cancel", true, 1, 0, func(cfg *modelConfig) { cfg.faults, cfg.cancels = 1, 1 }},
		{"single idempotent, one fault, cancel", true, 1, 0, func(cfg *modelConfig) { cfg.faults, cfg.cancels, cfg.idempotent = 1, 1, true }},
		{"single, one fault, second attempt", true, 1, 0, func(cfg *modelConfig) { cfg.faults, cfg.retries = 1, true }},
		{"single unrecorded, one fault, cancel", false, 1, 0, func(cfg *modelConfig) {
			cfg.faults, cfg.cancels, cfg.recorded, cfg.idempotent = 1, 1, false, true
		}},
		{"single punctual, two faults", true, 1, 0, func(cfg *modelConfig) { cfg.faults, cfg.punctual = 2, true }},
		{"gang of 2, cancel", false, 2, 0, func(cfg *modelConfig) { cfg.cancels = 1 }},
		{"gang of 2, agent killed", false, 2, 0, func(cfg *modelConfig) { cfg.faults, cfg.enabledFaults = 1, faultKillAgent }},
		{"gang of 2, one fault", true, 2, 0, func(cfg *modelConfig) { cfg.faults = 1 }},
		{"gang of 2, agent killed or scheduler replaced, cancel", true, 2, 19, func(cfg *modelConfig) { cfg.faults, cfg.cancels, cfg.enabledFaults = 1, 1, processFaults }},
		{"gang of 2, two agents killed", true, 2, 0, func(cfg *modelConfig) { cfg.faults, cfg.enabledFaults = 2, faultKillAgent }},
		{"gang of 2, agent killed or frozen, twice", true, 2, 30, func(cfg *modelConfig) { cfg.faults, cfg.enabledFaults = 2, faultKillAgent|faultFreezeAgent }},
		{"gang of 2, agent killed or cut, twice", true, 2, 0, func(cfg *modelConfig) { cfg.faults, cfg.enabledFaults = 2, faultKillAgent|cutFaults }},
		{"gang of 2 unrecorded, one fault", true, 2, 0, func(cfg *modelConfig) { cfg.faults, cfg.recorded, cfg.idempotent = 1, false, true }},
		{"gang of 3", true, 3, 0, func(*modelConfig) {}},
		{"gang of 3, agent killed", true, 3, 0, func(cfg *modelConfig) { cfg.faults, cfg.enabledFaults = 1, faultKillAgent }},
	}
	for _, run := range runs {
		t.Run(run.name, func(t *testing.T) {
			if run.full && !*modelFull {
				t.Skip("needs -model.full")
			}
			cfg := singleTaskConfig()
			if run.members > 1 {
				cfg = gangConfig(run.members)
			}
			cfg.depth = run.depth
			run.configure(&cfg)
			start := time.Now()
			r := cfg.explore(modelLimit)
			t.Logf("%d states, depth %d, complete %v, %v", r.states, r.depth, r.complete, time.Since(start).Round(time.Second))
			if r.violation != noViolation {
				t.Fatalf("%v:\n%s", r.violation, strings.Join(r.trace, "\n"))
			}
			if !r.complete {
				t.Errorf("the search is incomplete: it stopped at %d states", modelLimit)
			}
		})
	}
}

// modelLimit is the maximum number of states of a search; it keeps the memory
// within about 4 GB.
const modelLimit = 12_000_000
