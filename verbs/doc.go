// Package verbs holds the command line: one type for each verb, parsed by kong.
//
// Verbs for operators talk to the HTTP API of an entry. Exit codes are 0 for
// success, 1 for a failure, 2 for bad usage or an invalid set, 3 for a
// conflict, and 4 if a change is not in force yet or the system is unavailable.
package verbs
