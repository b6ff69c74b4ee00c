// Package logs writes log lines in the background.
//
// Logging never blocks the caller: lines go through a bounded queue, and lines
// that find it full are dropped and counted. The count is written as a line of
// its own after the next line that is written.
package logs
