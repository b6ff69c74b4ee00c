// Package guard confines a panic to the work that caused it.
//
// A bug that one message or record brings to light must cost that message or
// record and not the process, whose other work is sound. Each use says what is
// given up instead.
package guard
