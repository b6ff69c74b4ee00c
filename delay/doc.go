// Package delay analyses the collected logs of gates and reports how long jobs took to
// reach each step of their path, why jobs ended later than their objective, and how much
// work was lost for which reason.
//
// It reads only the log lines that docs/OPERATIONS.md lists and ignores all
// others. Lines must be in the order in which they were written.
package delay
