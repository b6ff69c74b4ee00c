package oper

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"catkinpoint/conf"
	"catkinpoint/decl"
	"catkinpoint/head"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// Codes of ErrorResponse.
const (
	CodeBadRequest     = "bad_request"
	CodeInvalid        = "invalid"
	CodeConflict       = "conflict"
	CodeStale          = "stale"
	CodeContention     = "contention"
	CodeUnavailable    = "unavailable"
	CodeOutcomeUnknown = "outcome_unknown"
	CodeFailed         = "failed"
)

// retryAfter is sent when the store does not answer or other changes win, in seconds.
const retryAfter = "2"

var marshalOptions = protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}

func readBody(c echo.Context, m proto.Message) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxChangeBytes))
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if err := protojson.Unmarshal(body, m); err != nil {
		return fmt.Errorf("body is not a %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}

func answer(c echo.Context, status int, m proto.Message) error {
	body, err := marshalOptions.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	return c.JSONBlob(status, body)
}

func badRequest(c echo.Context, err error) error {
	return answer(c, http.StatusBadRequest, &wire.ErrorResponse{Code: CodeBadRequest, Error: err.Error()})
}

// fail answers an error with the status that says what the caller may do.
func fail(c echo.Context, err error) error {
	response := &wire.ErrorResponse{Error: err.Error()}
	status := http.StatusServiceUnavailable
	var faults conf.Faults
	var conflict *decl.ConflictError
	switch {
	case errors.As(err, &faults):
		status, response.Code = http.StatusUnprocessableEntity, CodeInvalid
		response.Error = fmt.Sprintf("the change has %d faults", len(faults))
		response.Faults = wireFaults(faults)
	case errors.As(err, &conflict):
		status, response.Code = http.StatusConflict, CodeConflict
		response.Conflicts = wireConflicts(conflict)
	case errors.Is(err, head.ErrStale):
		status, response.Code = http.StatusConflict, CodeStale
	case errors.Is(err, head.ErrContention):
		response.Code = CodeContention
	case errors.Is(err, store.ErrUnknown):
		response.Code = CodeOutcomeUnknown
	case errors.Is(err, store.ErrUnavailable):
		response.Code = CodeUnavailable
	default:
		status, response.Code = http.StatusInternalServerError, CodeFailed
	}
	if status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", retryAfter)
	}
	return answer(c, status, response)
}

func wireFaults(faults conf.Faults) []*wire.Fault {
	var list []*wire.Fault
	for _, f := range faults {
		list = append(list, &wire.Fault{File: f.File, Line: int32(f.Line), Section: f.Section, Key: f.Key, Text: f.Text})
	}
	return list
}

func wireConflicts(e *decl.ConflictError) []*wire.Conflict {
	var list []*wire.Conflict
	for _, c := range e.Conflicts {
		list = append(list, &wire.Conflict{
			Kind: c.Key.Kind, Name: c.Key.Name, BaseRevision: c.BaseRevision, Revision: c.Revision, Deleted: c.Deleted,
		})
	}
	return list
}
