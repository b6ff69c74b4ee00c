// Package gang implements the protocol that runs all tasks of a job or none of
// them. The tasks of a job with more than one are a gang. The package consists of
// state machines without side effects: the Coordinator in the scheduler, the
// Member at each agent, and the Monitor at the agent of the gang's leader, which
// is the member of rank 0.
//
// The package does no I/O and reads no clock: the scheduler and the agents carry
// out the effects that a step returns and pass the results back as events.
//
// Invariants: a member runs only after it was prepared, its attempt was committed
// if the job has a record, and, in a gang, a monitor that has heard from every
// member has released it; a member that was refused is never started under the
// same attempt; a verdict says "not started" only with proof for each member.
package gang
