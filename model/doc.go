// Package model tests the scheduling of jobs on a model of the users' platform. The
// gates (package gate with the scheduler of package duty) and the relays are the real
// ones. Their store is fakekv; the workers, the network and the callers are models.
//
// Each run of the model follows a random sequence of faults that its seed draws. It
// checks that no task runs twice at a time, and that none starts after it has ended as
// done, if that end was taken note of. The order of goroutines is not part of the seed,
// so that a run is repeated several times to see a failure again.
//
// The package consists of its tests.
package model
