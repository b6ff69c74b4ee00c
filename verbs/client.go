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

// callTimeout limits one request. It is longer than the 20 s after which the
// entry gives up a publication.
const callTimeout = 25 * time.Second

// APIClient calls the operators' API of an entry. Its fields are flags.
type APIClient struct {
	entryFlag
	Prefix   string        `env:"CATKINPOINT_PREFIX" placeholder:"PATH" help:"Path before /v1 of the operators' API."`
	Patience time.Duration `default:"10s" help:"How long to repeat a call while the system is unavailable."`
}

// call sends a request and decodes the response into answer. While the entry is
// unreachable or answers that the system is unavailable, it repeats the request
// for up to c.Patience. Repeating is safe because a change carries an id.
func (c *APIClient) call(ctx context.Context, method, path string, query url.Values, body, answer proto.Message) error {
	target := url.URL{Scheme: "http", Host: c.Entry.String(), Path: c.Prefix + path, RawQuery: query.Encode()}
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = (protojson.MarshalOptions{UseProtoNames: true}).Marshal(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, callOnce(ctx, method, target.String(), encoded, answer)
	}, backoff.WithMaxElapsedTime(c.Patience))
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		err = permanent.Unwrap()
	}
	var retryAfter *retryAfterError
	if errors.As(err, &retryAfter) {
		err = retryAfter.err
	}
	return err
}

// retryAfterError is an error of a response with a Retry-After header.
type retryAfterError struct {
	*backoff.RetryAfterError
	err error
}

func (e *retryAfterError) Error() string   { return e.err.Error() }
func (e *retryAfterError) Unwrap() []error { return []error{e.RetryAfterError, e.err} }

// callOnce sends a request once. Errors that a repetition cannot resolve are marked
// as permanent, so that package backoff does not retry.
func callOnce(ctx context.Context, method, target string, body []byte, answer proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
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
	return responseError(response, text)
}

// responseError returns the error of a response whose status is not 200. It is
// permanent for package backoff unless the status is 503.
func responseError(response *http.Response, text []byte) error {
	apiErr := &apiError{&wire.ErrorResponse{}}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, apiErr.response); err != nil || apiErr.response.GetCode() == "" {
		apiErr.response = &wire.ErrorResponse{Error: fmt.Sprintf("the entry answered %s: %s", response.Status, strings.TrimSpace(string(text)))}
	}
	if response.StatusCode != http.StatusServiceUnavailable {
		return backoff.Permanent(apiErr)
	}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return apiErr
	}
	return &retryAfterError{&backoff.RetryAfterError{Duration: time.Duration(seconds) * time.Second}, apiErr}
}

// fetchConfig returns the published declarations, which the entry reads from the
// store for this request.
func (c *APIClient) fetchConfig(ctx context.Context) (*decl.Set, *wire.ConfigResponse, error) {
	response := &wire.ConfigResponse{}
	err := c.call(ctx, http.MethodGet, "/v1/config", url.Values{"fresh": {"true"}}, nil, response)
	if err != nil {
		return nil, nil, fmt.Errorf("read configuration: %w", err)
	}
	return decl.NewSet(response.GetVersion(), response.GetObjects()), response, nil
}

// queryInForce returns whether a version is in force everywhere, and which
// processes lack it.
func (c *APIClient) queryInForce(ctx context.Context, version int64) (*wire.InForceResponse, error) {
	response := &wire.InForceResponse{}
	query := url.Values{"version": {strconv.FormatInt(version, 10)}}
	if err := c.call(ctx, http.MethodGet, "/v1/in_force", query, nil, response); err != nil {
		return nil, fmt.Errorf("ask whether version %d is in force: %w", version, err)
	}
	return response, nil
}
