package verbs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"catkinpoint/decl"
	"catkinpoint/wire"
)

// callTime bounds one call; the server gives up on a publication after 20 s.
const callTime = 25 * time.Second

// Remote has the flags of verbs that talk to an entry.
type Remote struct {
	entryFlag
	Prefix   string        `env:"CATKINPOINT_PREFIX" placeholder:"PATH" help:"Path before /v1 of the operators' API."`
	Patience time.Duration `default:"10s" help:"How long to repeat a call while the system is unavailable."`
}

// call sends a request until it has an answer that is final or the patience
// ends. Repeating is safe, because a change carries its id.
func (r *Remote) call(ctx context.Context, method, path string, query url.Values, body, answer proto.Message) error {
	target := url.URL{Scheme: "http", Host: r.Entry.String(), Path: r.Prefix + path, RawQuery: query.Encode()}
	var sent []byte
	if body != nil {
		var err error
		if sent, err = (protojson.MarshalOptions{UseProtoNames: true}).Marshal(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, once(ctx, method, target.String(), sent, answer)
	}, backoff.WithMaxElapsedTime(r.Patience))
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		err = permanent.Unwrap()
	}
	var wait *waitError
	if errors.As(err, &wait) {
		err = wait.err
	}
	return err
}

// waitError is an error after which the server asks to wait.
type waitError struct {
	*backoff.RetryAfterError
	err error
}

func (e *waitError) Error() string   { return e.err.Error() }
func (e *waitError) Unwrap() []error { return []error{e.RetryAfterError, e.err} }

func once(ctx context.Context, method, target string, body []byte, answer proto.Message) error {
	ctx, stop := context.WithTimeout(ctx, callTime)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return backoff.Permanent(&exitError{code: exitUsage, err: fmt.Errorf("address of the entry: %w", err)})
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return &exitError{code: exitUnavailable, err: fmt.Errorf("call the entry: %w", err)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return &exitError{code: exitUnavailable, err: fmt.Errorf("read the answer: %w", err)}
	}
	if response.StatusCode == http.StatusOK {
		if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, answer); err != nil {
			return backoff.Permanent(fmt.Errorf("decode the answer: %w", err))
		}
		return nil
	}
	return refusal(response, text)
}

func refusal(response *http.Response, text []byte) error {
	refused := &apiError{&wire.ErrorResponse{}}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, refused.response); err != nil || refused.response.GetCode() == "" {
		refused.response = &wire.ErrorResponse{Error: fmt.Sprintf("the entry answered %s: %s", response.Status, strings.TrimSpace(string(text)))}
	}
	if response.StatusCode != http.StatusServiceUnavailable {
		return backoff.Permanent(refused)
	}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return refused
	}
	return &waitError{&backoff.RetryAfterError{Duration: time.Duration(seconds) * time.Second}, refused}
}

// fetch returns the published set as of now.
func (r *Remote) fetch(ctx context.Context) (*decl.Set, *wire.ConfigResponse, error) {
	response := &wire.ConfigResponse{}
	err := r.call(ctx, http.MethodGet, "/v1/config", url.Values{"fresh": {"true"}}, nil, response)
	if err != nil {
		return nil, nil, fmt.Errorf("read configuration: %w", err)
	}
	return decl.NewSet(response.GetVersion(), response.GetObjects()), response, nil
}

// inForce asks whether a version is in force everywhere.
func (r *Remote) inForce(ctx context.Context, version int64) (*wire.InForceResponse, error) {
	response := &wire.InForceResponse{}
	query := url.Values{"version": {strconv.FormatInt(version, 10)}}
	if err := r.call(ctx, http.MethodGet, "/v1/in_force", query, nil, response); err != nil {
		return nil, fmt.Errorf("ask whether version %d is in force: %w", version, err)
	}
	return response, nil
}
