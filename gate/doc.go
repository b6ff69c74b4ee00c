// Package gate takes jobs of steps from callers and answers for them.
//
// A job is accepted when the store has it; the same id again is the same job,
// at any gate. A refusal proves that the job is not stored: after a write whose
// outcome is unknown the answer says so instead. Calls are judged by the
// operator's configuration, which must not be older than a limit; a gate that
// cannot read the store refuses at once and says when to come back.
package gate
