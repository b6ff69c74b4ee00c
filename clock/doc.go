// Package clock has what the standard library lacks for waiting on the
// runtime's clock, which tests pause with testing/synctest.
package clock
