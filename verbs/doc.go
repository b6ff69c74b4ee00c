// Package verbs implements the command line: one type for each verb, parsed by kong.
//
// Verbs for operators call the HTTP API of an entry. The verbs gate and relay run
// processes on the users' platform (see package platform). Exit codes are 0 for
// success, 1 for a failure, 2 for bad usage or invalid declarations, 3 for a
// conflict, and 4 if a change is not in force yet or the system is unavailable.
package verbs
