package verbs

import (
	"errors"
	"fmt"
	"strings"

	"github.com/zeebo/errs"

	"catkinpoint/conf"
	"catkinpoint/oper"
	"catkinpoint/wire"
)

// Error is the class of errors of this package.
var Error = errs.Class("catkinpoint")

// Exit codes; the package comment says what each means.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnavailable = 4
)

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error without the exit code.
func (e *exitError) Unwrap() error { return e.err }

// exitCodeOf returns the exit code for the error of a verb.
func exitCodeOf(err error) int {
	var faults conf.Faults
	var exitErr *exitError
	var apiErr *apiError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &faults):
		return exitUsage
	case errors.As(err, &exitErr):
		return exitErr.code
	case errors.As(err, &apiErr):
		return apiErr.exitCode()
	default:
		return exitFailed
	}
}

// apiError is an error response of the API.
type apiError struct {
	response *wire.ErrorResponse
}

// exitCode returns the exit code for the code of the response.
func (e *apiError) exitCode() int {
	switch e.response.GetCode() {
	case oper.CodeBadRequest, oper.CodeInvalid:
		return exitUsage
	case oper.CodeConflict, oper.CodeStale:
		return exitConflict
	case oper.CodeUnavailable, oper.CodeContention, oper.CodeOutcomeUnknown:
		return exitUnavailable
	default:
		return exitFailed
	}
}

// Error returns the error with one line for each fault.
func (e *apiError) Error() string {
	lines := []string{e.response.GetError()}
	for _, fault := range decodeFaults(e.response.GetFaults()) {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// decodeFaults converts faults from their wire form.
func decodeFaults(messages []*wire.Fault) conf.Faults {
	var faults conf.Faults
	for _, f := range messages {
		faults = append(faults, conf.Fault{File: f.GetFile(), Line: int(f.GetLine()), Section: f.GetSection(), Key: f.GetKey(), Text: f.GetText()})
	}
	return faults
}

// notInForceError returns the error for a published version that some processes lack.
func notInForceError(version int64, missing []string) error {
	return &exitError{code: exitUnavailable, err: fmt.Errorf("version %d is published, but not in force yet at %s", version, strings.Join(missing, ", "))}
}
