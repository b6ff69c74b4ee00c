// Package verbs is the command line: one type for each verb, each a thin shell
// over the package that does the work.
package verbs
