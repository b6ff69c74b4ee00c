// Package trace replays recorded traces of the reference deployments through
// the placement policies and reports how they compare.
//
// A replay is a loop over events on a virtual clock: it keeps one place.State
// for each data centre, asks the policy after every event and carries out its
// actions. It models no network and no machine. Traces come from a seeded
// generator and are kept as files, so that a figure can be repeated.
package trace
