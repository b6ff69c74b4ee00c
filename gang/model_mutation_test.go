package gang

import (
	"testing"
	"time"
)

// TestModelDetectsMutations guards against checks of the model that detect nothing:
// each case switches off one mechanism of the protocol and expects the check of the
// property that depends on it to fail.
func TestModelDetectsMutations(t *testing.T) {
	tests := []struct {
		name    string
		members int
		change  func(cfg *modelConfig)
		want    property
	}{
		{"no commit before start", 1, func(cfg *modelConfig) { cfg.mutation, cfg.faults = noCommitBeforeStart, 0 }, commitBeforeStart},
		{"no barrier", 2, func(cfg *modelConfig) { cfg.mutation, cfg.enabledFaults = noBarrier, faultDelay|faultLose }, wholeGang},
		{"members ignore the leader's silence", 2, func(cfg *modelConfig) { cfg.mutation, cfg.enabledFaults = noLeaderSilence, faultKillAgent }, wholeGang},
		{"lease counts from its renewal", 2, func(cfg *modelConfig) {
			cfg.leaseStart, cfg.enabledFaults, cfg.faults = leaseFromRenewal, faultKillAgent, 2
		}, wholeGang},
		{"lease counts from the leader's answer", 2, func(cfg *modelConfig) {
			cfg.leaseStart, cfg.enabledFaults, cfg.faults = leaseFromAnswer, faultKillAgent, 2
		}, wholeGang},
		{"verdict ignores lost members", 1, func(cfg *modelConfig) { cfg.mutation, cfg.enabledFaults = verdictIgnoresLost, faultKillAgent }, notRunProof},
		{"no boot check at the scheduler", 1, func(cfg *modelConfig) {
			cfg.mutation, cfg.enabledFaults, cfg.cancels = noBootCheckAtScheduler, faultKillAgent, 1
		}, notRunProof},
		{"verdict ignores lost members, repeated", 1, func(cfg *modelConfig) {
			cfg.mutation, cfg.enabledFaults, cfg.retries = verdictIgnoresLost, faultKillAgent, true
		}, atMostOnce},
		{"no boot check at the scheduler, repeated", 1, func(cfg *modelConfig) {
			cfg.mutation, cfg.enabledFaults, cfg.faults = noBootCheckAtScheduler, faultKillAgent|faultKillScheduler, 2
		}, atMostOnce},
		{"no boot check at the agent", 1, func(cfg *modelConfig) {
			cfg.mutation, cfg.enabledFaults, cfg.faults = noBootCheckAtAgent, faultKillAgent|faultDuplicate, 3
		}, atMostOnce},
		{"no tombstone", 1, func(cfg *modelConfig) { cfg.mutation, cfg.enabledFaults, cfg.cancels = noTombstone, faultDuplicate, 1 }, noStartAfterRefusal},
		{"no reservation", 1, func(cfg *modelConfig) {
			cfg.mutation, cfg.enabledFaults, cfg.recorded, cfg.idempotent = noReservation, faultDepose, false, true
		}, exclusiveAccelerator},
		{"no stop at restart", 1, func(cfg *modelConfig) {
			cfg.mutation, cfg.enabledFaults, cfg.retries, cfg.idempotent = noStopAtRestart, faultKillAgent, true, true
		}, exclusiveAccelerator},
		{"reservations do not expire", 1, func(cfg *modelConfig) {
			cfg.mutation, cfg.enabledFaults, cfg.recorded, cfg.idempotent = noPrepareTTL, faultKillScheduler, false, true
		}, termination},
		{"permit not checked after a pause", 1, func(cfg *modelConfig) { cfg.mutation, cfg.enabledFaults = noPermitAfterPause, faultFreezeAgent }, validPermitAtStart},
		{"no epoch fencing", 1, func(cfg *modelConfig) { cfg.mutation, cfg.enabledFaults = noEpochFencing, faultDepose }, staleEpochFenced},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cfg := singleTaskConfig()
			if test.members > 1 {
				cfg = gangConfig(test.members)
			}
			cfg.faults, cfg.cancels, cfg.onlyProperty = 1, 0, test.want
			test.change(&cfg)
			start := time.Now()
			r := cfg.explore(3_000_000)
			t.Logf("%v after %d states, depth %d, %v", r.violation, r.states, r.depth, time.Since(start))
			if r.violation != test.want {
				t.Errorf("found %v, want %v", r.violation, test.want)
			}
		})
	}
}
