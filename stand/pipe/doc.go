// Package pipe is a listener whose connections stay inside the process, so that
// a test of timing can run real HTTP under testing/synctest.
package pipe
