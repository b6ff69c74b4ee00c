// Package clock provides a sleep that a context can end and a monotonic clock
// that includes time during which the machine was suspended.
//
// Both follow the runtime's clock, which testing/synctest replaces in tests.
package clock
