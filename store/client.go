package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// DefaultTimeout bounds one call. It is far above the milliseconds that a
// healthy service takes, and well below the 3 s for which a permit to start
// tasks is valid (package permit), because a permit must be renewed by a fresh
// read in that time.
const DefaultTimeout = time.Second

// maxIdleConns bounds the connections that a client keeps open between calls.
const maxIdleConns = 16

// Options configures a Client; the zero value is usable.
type Options struct {
	// Caller is the name under which the service knows this client.
	Caller string
	// Timeout bounds each call; a watch may take its wait in addition. 0 means
	// DefaultTimeout.
	Timeout time.Duration
	// MeterProvider receives the counters; nil means the global provider.
	MeterProvider metric.MeterProvider
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client is a KV that sends each call as JSON over HTTP.
type Client struct {
	baseURL   string
	caller    string
	timeout   time.Duration
	http      *http.Client
	transport *http.Transport
	calls     metric.Int64Counter
}

var _ KV = (*Client)(nil)

// operation is one kind of call. Only a write can fail with ErrUnknown.
type operation struct {
	name  string
	write bool
}

var (
	opGet       = operation{OpGet, false}
	opPut       = operation{OpPut, true}
	opDelete    = operation{OpDelete, true}
	opList      = operation{OpList, false}
	opWatch     = operation{OpWatch, false}
	opGrant     = operation{OpGrant, true}
	opKeepAlive = operation{OpKeepAlive, true}
	opRevoke    = operation{OpRevoke, true}
)

// New returns a client of the service at addr; it connects on the first call.
func New(addr netip.AddrPort, opts Options) *Client {
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.MeterProvider == nil {
		opts.MeterProvider = otel.GetMeterProvider()
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{}).DialContext
	}
	transport := &http.Transport{
		DialContext:         opts.Dial,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{
		baseURL:   "http://" + addr.String() + PathPrefix,
		caller:    opts.Caller,
		timeout:   opts.Timeout,
		http:      &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		transport: transport,
		calls:     newCallCounter(opts.MeterProvider),
	}
}

func newCallCounter(provider metric.MeterProvider) metric.Int64Counter {
	counter, err := provider.Meter("catkinpoint/store").Int64Counter(
		"store_calls",
		metric.WithDescription("Calls to the key-value service by operation and result."),
	)
	if err != nil {
		otel.Handle(err)
	}
	return counter
}

// refuseRedirect makes the HTTP client return a redirect as the response;
// following it would send a write a second time.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Get implements KV.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	reply, err := c.call(ctx, opGet, Request{Key: key})
	if err != nil {
		return Item{}, err
	}
	if len(reply.Items) != 1 {
		return Item{}, Error.Wrap(fmt.Errorf("get %q: %w: %d items in the answer", key, ErrUnavailable, len(reply.Items)))
	}
	return Item(reply.Items[0]), nil
}

// Put implements KV.
func (c *Client) Put(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, Error.Wrap(fmt.Errorf("put %q of %d bytes: %w", key, len(value), ErrTooLarge))
	}
	reply, err := c.call(ctx, opPut, Request{Key: key, Value: value, Revision: revision, Lease: lease})
	return reply.Revision, err
}

// Delete implements KV.
func (c *Client) Delete(ctx context.Context, key string, revision int64) error {
	_, err := c.call(ctx, opDelete, Request{Key: key, Revision: revision})
	return err
}

// List implements KV.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, error) {
	reply, err := c.call(ctx, opList, Request{Prefix: prefix})
	return items(reply), err
}

// Watch implements KV.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	reply, err := c.call(ctx, opWatch, Request{Prefix: prefix, Revision: after, WaitMS: milliseconds(wait)})
	return items(reply), reply.Revision, err
}

// Grant implements KV.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	reply, err := c.call(ctx, opGrant, Request{TTLMS: milliseconds(ttl)})
	return reply.Lease, err
}

// KeepAlive implements KV.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	_, err := c.call(ctx, opKeepAlive, Request{Lease: id})
	return err
}

// Revoke implements KV.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	_, err := c.call(ctx, opRevoke, Request{Lease: id})
	return err
}

// call makes one call and counts it; its error names the operation and the key.
func (c *Client) call(ctx context.Context, op operation, request Request) (Reply, error) {
	reply, err := c.exchange(ctx, op, request)
	c.countCall(ctx, op, err)
	if err != nil {
		return Reply{}, Error.Wrap(fmt.Errorf("%s %q: %w", op.name, request.Key+request.Prefix, err))
	}
	return reply, nil
}

// exchange sends the request once. A failure without a known error code is
// ErrUnknown for a write that may have been sent, and ErrUnavailable otherwise.
func (c *Client) exchange(ctx context.Context, op operation, request Request) (Reply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Reply{}, fmt.Errorf("encode request: %w", err)
	}
	wait := time.Duration(request.WaitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	// Nothing can have been sent before a connection was obtained.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	// The transport retries a POST only if it wrote none of it, so a write is
	// sent at most once.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+op.name, bytes.NewReader(body))
	if err != nil {
		return Reply{}, fmt.Errorf("build request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	if c.caller != "" {
		r.Header.Set(CallerHeader, c.caller)
	}
	reply, err := c.roundTrip(r)
	if err == nil || errorForCode(reply.Error) != nil {
		return reply, err
	}
	// A connection on which the service stopped responding does not recover, so
	// the idle ones are closed and the next call dials a new one.
	c.transport.CloseIdleConnections()
	if op.write && connected.Load() {
		return Reply{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return Reply{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// roundTrip sends the request and decodes the response. A response with a known
// error code is returned together with that code's error; any other failure is
// returned with an empty Reply.
func (c *Client) roundTrip(r *http.Request) (Reply, error) {
	response, err := c.http.Do(r)
	if err != nil {
		return Reply{}, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	// The transport reuses a connection only if the body was read to its end.
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Reply{}, fmt.Errorf("read answer with status %d: %w", response.StatusCode, err)
	}
	var reply Reply
	if err := json.Unmarshal(body, &reply); err != nil {
		return Reply{}, fmt.Errorf("decode answer with status %d: %w", response.StatusCode, err)
	}
	if response.StatusCode == http.StatusOK && reply.Error == "" {
		return reply, nil
	}
	if err := errorForCode(reply.Error); err != nil {
		return reply, fmt.Errorf("%w: %s", err, reply.Message)
	}
	return Reply{}, fmt.Errorf("answer with status %d and error %q", response.StatusCode, reply.Error)
}

func (c *Client) countCall(ctx context.Context, op operation, err error) {
	result := "ok"
	switch {
	case errors.Is(err, ErrUnknown):
		result = "unknown"
	case err != nil:
		result, _ = CodeOf(err)
	}
	c.calls.Add(ctx, 1, metric.WithAttributes(
		attribute.String("operation", op.name),
		attribute.String("result", result),
	))
}

func items(reply Reply) []Item {
	list := make([]Item, len(reply.Items))
	for i, item := range reply.Items {
		list[i] = Item(item)
	}
	return list
}
