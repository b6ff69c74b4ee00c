package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"catkinpoint/clock"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ServerOptions describe an HTTP server for clients.
type ServerOptions struct {
	// Headers are the headers that the handler reads. All others are forgotten before it
	// runs. Empty means that all are kept.
	Headers []string
	// HeaderTimeout and IdleTimeout are those of http.Server.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server returns an HTTP server for a listener of i.
func (i *Intake) Server(handler http.Handler, o ServerOptions) *http.Server {
	return &http.Server{
		Handler:           i.handler(handler, o.Headers),
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		ConnContext: func(ctx context.Context, raw net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, raw)
		},
	}
}

// handler returns a handler that admits requests before next serves them.
func (i *Intake) handler(next http.Handler, headers []string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			http.Error(w, "connection is not admitted", http.StatusInternalServerError)
			return
		}
		if i.arrive(c.holder) {
			defer i.takeTurn()()
		}
		i.enter(c.holder, Serving)
		defer i.release(c.holder)
		if len(headers) > 0 {
			keepHeaders(r, headers)
			i.forgetHeaders(c.holder)
		}
		body := &body{
			inner: r.Body, intake: i, conn: c, declared: r.ContentLength,
			expectsContinue: r.Header.Get("Expect") != "", ended: r.Body == http.NoBody,
		}
		response := &response{ResponseWriter: w, body: body}
		if !i.hold(c.holder, servingFactor*int64(i.resources.SocketBytes), false, "requests") {
			response.Header().Set("Retry-After", "1")
			http.Error(response, ErrBusy.Error(), http.StatusServiceUnavailable)
			return
		}
		defer body.endReads()
		admitted := r.WithContext(r.Context())
		admitted.Body = body
		next.ServeHTTP(response, admitted)
		response.beforeAnswer()
	})
}

// arrive begins to serve a request. It reports whether the request came with an earlier
// one, as nothing was received since that was served.
func (i *Intake) arrive(h *Holder) (pipelined bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	pipelined = h.phase == Idle
	h.enter(clock.Monotonic(), Waiting)
	return pipelined
}

// keepHeaders removes all headers from a request but the given ones and those that the
// HTTP server needs after the handler has run.
func keepHeaders(r *http.Request, names []string) {
	kept := http.Header{}
	for _, name := range append([]string{"Connection", "Expect"}, names...) {
		if values := r.Header[http.CanonicalHeaderKey(name)]; len(values) > 0 {
			kept[http.CanonicalHeaderKey(name)] = values[:1:1]
		}
	}
	r.Header = kept
}

// forgetHeaders gives the room of the headers back.
func (i *Intake) forgetHeaders(h *Holder) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ledger.Release(h)
	i.signal()
}

// body is the body of a request. It takes room before it reads.
type body struct {
	inner    io.ReadCloser
	intake   *Intake
	conn     *conn
	declared int64         // length, or negative if it is not known
	start    time.Duration // of the first read
	received int64
	reserved int64 // bytes for which there is room
	// expectsContinue reports whether the client waits to be told to send the body.
	expectsContinue bool
	begun           bool
	ended           bool  // was read to its end
	failed          error // of an earlier read
}

// Read implements io.Reader. Its error is ErrBusy if there is no room.
func (b *body) Read(p []byte) (int, error) {
	if b.failed != nil {
		return 0, b.failed
	}
	if b.ended {
		return 0, io.EOF // not wrapped, as readers compare it
	}
	n, err := b.read(p)
	switch {
	case err == io.EOF:
		b.ended = true
		b.intake.enter(b.conn.holder, Serving)
		_ = b.conn.Conn.SetReadDeadline(time.Time{}) // fails if the connection is closed
	case err != nil:
		b.failed = err
	}
	return n, err
}

// read reads once, after it has taken room.
func (b *body) read(p []byte) (int, error) {
	if !b.begun {
		b.begun, b.start = true, clock.Monotonic()
	}
	if b.received >= b.reserved && b.reserved != b.declared {
		if !b.reserve() {
			return 0, ErrBusy
		}
	}
	now := clock.Monotonic()
	deadline := bodyDeadline(now, b.start, b.received, b.intake.resources.Stall)
	if err := b.conn.Conn.SetReadDeadline(time.Now().Add(deadline - now)); err != nil {
		return 0, err
	}
	if b.declared != b.reserved && int64(len(p)) > b.reserved-b.received {
		p = p[:b.reserved-b.received]
	}
	n, err := b.inner.Read(p)
	b.received += int64(n)
	return n, err
}

// discard throws the rest of a small body away, within the time of a stall. It reports
// whether the body has ended.
func (b *body) discard() bool {
	if b.expectsContinue && !b.begun {
		return false // the client waits for the answer before it sends the body
	}
	b.intake.enter(b.conn.holder, Sending)
	defer b.intake.enter(b.conn.holder, Serving)
	if b.conn.Conn.SetReadDeadline(time.Now().Add(b.intake.resources.Stall)) != nil {
		return false
	}
	if _, err := io.CopyN(io.Discard, b.inner, smallBytes+1); err != io.EOF {
		return false
	}
	b.ended = true
	return b.conn.Conn.SetReadDeadline(time.Time{}) == nil
}

// endReads ends all reads of the HTTP server from a body that was not read to its end. After
// a panic of the handler it would wait for the rest without a deadline.
func (b *body) endReads() {
	if !b.ended {
		_ = b.conn.Conn.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed
	}
}

// reserve takes room for the next part of the body.
func (b *body) reserve() bool {
	h := b.conn.holder
	next := nextReserve(b.reserved, b.declared)
	large := next > smallBytes
	bytes := b.intake.resources.BodyFactor * (next - b.reserved)
	before := clock.Monotonic()
	if b.reserved == 0 {
		b.intake.enter(h, Sending)
	}
	if !b.intake.hold(h, bytes, large, "bodies") {
		return false
	}
	b.start += clock.Monotonic() - before
	b.reserved = next
	return true
}

// Close implements io.Closer.
func (b *body) Close() error { return b.inner.Close() }

// response is the answer to a request.
type response struct {
	http.ResponseWriter
	body *body
	done bool // beforeAnswer has run
}

// Unwrap gives http.ResponseController the writer.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	r.beforeAnswer()
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	r.beforeAnswer()
	return r.ResponseWriter.Write(p)
}

// beforeAnswer decides what becomes of a body that was not read to its end. The HTTP
// server would read up to 256 kB of it, without admission, before it sends the answer.
func (r *response) beforeAnswer() {
	b := r.body
	if r.done || b.ended {
		return
	}
	r.done = true
	b.intake.enter(b.conn.holder, Serving)
	if errors.Is(b.failed, os.ErrDeadlineExceeded) {
		b.intake.stopped()
		panic(http.ErrAbortHandler) // the client has stopped; there is nothing to say about its job
	}
	if b.failed == nil && b.declared >= 0 && b.declared <= smallBytes && b.discard() {
		return // the connection can be used again
	}
	b.conn.unread.Store(true)
	r.Header().Set("Connection", "close")
	b.endReads()
}

// stopped counts a connection that is closed because its client has made no progress.
func (i *Intake) stopped() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.decided("closed", "stall")
}
