package store

import (
	"errors"
	"net/http"
	"time"
)

// CallerHeader is the HTTP header that holds the name of the client, Options.Caller.
const CallerHeader = "X-Caller"

// PathPrefix precedes the operation's name in the URL path of every call.
const PathPrefix = "/v1/"

// Names of the operations in URL paths and metrics.
const (
	OpGet       = "get"
	OpPut       = "put"
	OpDelete    = "delete"
	OpList      = "list"
	OpWatch     = "watch"
	OpGrant     = "grant"
	OpKeepAlive = "keep_alive"
	OpRevoke    = "revoke"
)

// Request is the JSON body of every call; each operation uses some of its fields.
type Request struct {
	Key      string  `json:"key,omitempty"`
	Prefix   string  `json:"prefix,omitempty"`
	Value    []byte  `json:"value,omitempty"`
	Revision int64   `json:"revision"`
	Lease    LeaseID `json:"lease,omitempty"`
	WaitMS   int64   `json:"wait_ms,omitempty"`
	TTLMS    int64   `json:"ttl_ms,omitempty"`
}

// Reply is the JSON body of every response. Error holds an error code and is
// empty on success; Message describes the error.
type Reply struct {
	Error    string      `json:"error,omitempty"`
	Message  string      `json:"message,omitempty"`
	Items    []ReplyItem `json:"items,omitempty"`
	Revision int64       `json:"revision,omitempty"`
	Lease    LeaseID     `json:"lease,omitempty"`
}

// ReplyItem is one Item in a Reply.
type ReplyItem struct {
	Key      string  `json:"key"`
	Value    []byte  `json:"value"`
	Revision int64   `json:"revision"`
	Lease    LeaseID `json:"lease,omitempty"`
}

// codeInvalid is the error code for a request that the service can't decode or
// doesn't support.
const codeInvalid = "invalid"

// errorCodes lists the error codes of a Reply with their HTTP statuses and errors.
var errorCodes = []struct {
	code   string
	status int
	err    error
}{
	{"not_found", http.StatusNotFound, ErrNotFound},
	{"conflict", http.StatusConflict, ErrConflict},
	{"unavailable", http.StatusServiceUnavailable, ErrUnavailable},
	{"lease_expired", http.StatusGone, ErrLeaseExpired},
	{"too_large", http.StatusRequestEntityTooLarge, ErrTooLarge},
	{codeInvalid, http.StatusBadRequest, errInvalid},
}

// errInvalid means that the service rejected the request as malformed.
var errInvalid = Error.New("invalid request")

// CodeOf returns the error code and the HTTP status for err in a Reply. An error
// that has no code gets the code of an invalid request.
func CodeOf(err error) (code string, status int) {
	for _, c := range errorCodes {
		if errors.Is(err, c.err) {
			return c.code, c.status
		}
	}
	return codeInvalid, http.StatusBadRequest
}

// errorForCode returns the error for a code, or nil if the code is not known.
func errorForCode(code string) error {
	for _, c := range errorCodes {
		if c.code == code {
			return c.err
		}
	}
	return nil
}

// milliseconds converts d, rounding up, so that a positive duration never becomes zero.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
