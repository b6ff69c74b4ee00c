// Package guard recovers from panics and limits them to the work that caused
// them.
//
// A bug triggered by one message or record must cost only that message or
// record, and not the process, whose other work is unaffected. Each caller
// documents what it gives up after a panic.
package guard
