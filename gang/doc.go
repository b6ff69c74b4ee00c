// Package gang holds the protocol that runs the tasks of a job whole or not at
// all, as pure step functions over values: the Coordinator in the scheduler,
// the Member at each agent, and the Monitor at the agent of the gang's leader.
//
// The package does no I/O and reads no clock; its owners carry the effects out
// and feed the results back as events. Invariants: a member runs only after it
// was prepared, committed and, in a gang, released by a monitor that has heard
// from every member; a member that was refused is never started under the same
// attempt; a verdict says "not started" only with proof from each member.
package gang
