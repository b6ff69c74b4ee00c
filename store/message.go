package store

import (
	"errors"
	"net/http"
	"time"
)

// CallerHeader names the HTTP header in which a client tells its name to the service.
const CallerHeader = "X-Caller"

// PathPrefix precedes the operation's name in the path of every call.
const PathPrefix = "/v1/"

// Names of the operations, as they stand in paths and metrics.
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

// Request is the JSON body of every call; an operation reads only its own fields.
type Request struct {
	Key      string  `json:"key,omitempty"`
	Prefix   string  `json:"prefix,omitempty"`
	Value    []byte  `json:"value,omitempty"`
	Revision int64   `json:"revision"`
	Lease    LeaseID `json:"lease,omitempty"`
	WaitMS   int64   `json:"wait_ms,omitempty"`
	TTLMS    int64   `json:"ttl_ms,omitempty"`
}

// Reply is the JSON body of every answer; Error holds a code and is empty on success.
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

// codeInvalid is the code of a request that the service can't read.
const codeInvalid = "invalid"

var codes = []struct {
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

// errInvalid means that the service refused to read the request.
var errInvalid = Error.New("invalid request")

// CodeOf returns the code and the HTTP status that stand for err in a Reply.
func CodeOf(err error) (code string, status int) {
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code, c.status
		}
	}
	return codeInvalid, http.StatusBadRequest
}

// errorOf returns the error for a code, or nil if the code is not known.
func errorOf(code string) error {
	for _, c := range codes {
		if c.code == code {
			return c.err
		}
	}
	return nil
}

// milliseconds rounds up, so that a positive duration never becomes zero.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
