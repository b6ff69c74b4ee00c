// Package logs writes log lines in the background.
//
// A decision never waits for its line: lines go through a bounded queue, and
// those that find it full are dropped and counted. The count is written as a
// line of its own once there is room.
package logs
