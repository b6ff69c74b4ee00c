// Package trace replays recorded traces of the reference deployments through
// the placement policies and reports how they compare.
//
// A replay is a discrete-event simulation on a virtual clock: it keeps one
// place.State for each data centre, calls the policy for each one that an event
// has changed, and applies the actions that the policy returns. It simulates no
// network, agent or endpoint. Traces come from a seeded generator and are kept
// as files, so that a result can be reproduced.
package trace
