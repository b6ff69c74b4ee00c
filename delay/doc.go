// Package delay reads the collected logs of gates and says why jobs ended later
// than their objective, and which work was thrown away for what reason.
//
// It knows only the lines that docs/OPERATIONS.md lists; all others are passed
// over. Lines must be in the order in which they were written.
package delay
