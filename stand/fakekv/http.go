package fakekv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"catkinpoint/store"
)

// maxRequestBytes leaves room for a value of the largest size in base64.
const maxRequestBytes = 2 * store.MaxValueBytes

// ServeHTTP serves the protocol of package store.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request store.Request
	body := http.MaxBytesReader(w, r.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, store.Reply{Error: "invalid", Message: err.Error()})
		return
	}
	caller := s.WithCaller(r.Header.Get(store.CallerHeader))
	reply, err := caller.serve(r, &request)
	if errors.Is(err, store.ErrUnknown) {
		// The client must see a connection that ends without an answer.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		code, status := store.CodeOf(err)
		writeJSON(w, status, store.Reply{Error: code, Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func (s *Server) serve(r *http.Request, q *store.Request) (reply store.Reply, err error) {
	ctx := r.Context()
	var items []store.Item
	switch op := strings.TrimPrefix(r.URL.Path, store.PathPrefix); op {
	case store.OpGet:
		items = make([]store.Item, 1)
		items[0], err = s.Get(ctx, q.Key)
	case store.OpPut:
		reply.Revision, err = s.Put(ctx, q.Key, q.Value, q.Revision, q.Lease)
	case store.OpDelete:
		err = s.Delete(ctx, q.Key, q.Revision)
	case store.OpList:
		items, err = s.List(ctx, q.Prefix)
	case store.OpWatch:
		items, reply.Revision, err = s.Watch(ctx, q.Prefix, q.Revision, milliseconds(q.WaitMS))
	case store.OpGrant:
		reply.Lease, err = s.Grant(ctx, milliseconds(q.TTLMS))
	case store.OpKeepAlive:
		err = s.KeepAlive(ctx, q.Lease)
	case store.OpRevoke:
		err = s.Revoke(ctx, q.Lease)
	default:
		err = store.Error.New("unknown operation %q", op)
	}
	for _, item := range items {
		reply.Items = append(reply.Items, store.ReplyItem(item))
	}
	return reply, err
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

// Serve serves HTTP on l until ctx ends; calls that wait then are refused.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, s)
}

// ServeFaults serves the fault port on l until ctx ends.
func (s *Server) ServeFaults(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, s.FaultHandler())
}

func serve(ctx context.Context, l net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: handler,
		// Calls end with ctx, so that a waiting watch delays no stop.
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
		return store.Error.Wrap(fmt.Errorf("serve: %w", err))
	case <-ctx.Done():
	}
	err := server.Shutdown(context.WithoutCancel(ctx))
	<-failed
	return store.Error.Wrap(err)
}
