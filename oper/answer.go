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

// Values of the field code of an ErrorResponse.
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

// retryAfterSeconds is the Retry-After header of an answer with status 503: the store
// does not answer, or other changes were published first each time.
const retryAfterSeconds = "2"

var marshalOptions = protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}

// readBody decodes the JSON body of a request into m.
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

// writeMessage answers with the status and the message as JSON.
func writeMessage(c echo.Context, status int, m proto.Message) error {
	body, err := marshalOptions.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	return c.JSONBlob(status, body)
}

func writeBadRequest(c echo.Context, err error) error {
	return writeMessage(c, http.StatusBadRequest, &wire.ErrorResponse{Code: CodeBadRequest, Error: err.Error()})
}

// writeError answers with the error, and with a status and a code that tell the caller
// whether to correct the request, retry it, or query its outcome.
func writeError(c echo.Context, err error) error {
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
		c.Response().Header().Set("Retry-After", retryAfterSeconds)
	}
	return writeMessage(c, status, response)
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
