// Package model tests the scheduling of jobs on a model of the users' platform. The
// gates (package gate with the scheduler of package duty) and the relays are the real
// ones. Their store is fakekv; the workers, the network and the callers are models.
//
// Each run of the model follows a random sequence of faults that its seed draws, or one of
// some fixed sequences. The tests check that no task runs twice at a time, that none starts
// after it has ended as done, if that end was taken note of, and that a job is given up when
// its attempts are used up, and not before: a run of a gang is one attempt, however many of
// its members fail.
//
// The order of goroutines is not part of the seed, so that the same seed may have another
// outcome. Many seeds are run by hand without the race detector, for example:
//
//	MODEL_SEED=1 MODEL_RUNS=1000 MODEL_FAULTS=crash-new,cut MODEL_DIR=/tmp/model go test -timeout 20m -run TestNoTaskRunsTwice ./model
//	MODEL_SEED=1 MODEL_RUNS=1000 MODEL_FAULTS=gangs,gang-failures,drain,hang go test -timeout 20m -run TestGangRunCountsOnce ./model
//
// MODEL_FAULTS names the only kinds of faults, MODEL_WITHOUT those to leave out, and
// MODEL_DIR is the directory for the reports and logs of runs that fail.
//
// The package consists of its tests.
package model
