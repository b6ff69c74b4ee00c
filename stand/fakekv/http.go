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

// maxRequestBytes bounds a request; it has room for the largest value in base64.
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
	reply, err := caller.dispatch(r, &request)
	if errors.Is(err, store.ErrUnknown) {
		// Aborting closes the connection, so that the client gets no answer.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		code, status := store.CodeOf(err)
		writeJSON(w, status, store.Reply{Error: code, Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// dispatch carries out the operation that is named in the path of r.
func (s *Server) dispatch(r *http.Request, request *store.Request) (reply store.Reply, err error) {
	ctx := r.Context()
	var items []store.Item
	switch op := strings.TrimPrefix(r.URL.Path, store.PathPrefix); op {
	case store.OpGet:
		items = make([]store.Item, 1)
		items[0], err = s.Get(ctx, request.Key)
	case store.OpPut:
		reply.Revision, err = s.Put(ctx, request.Key, request.Value, request.Revision, request.Lease)
	case store.OpDelete:
		err = s.Delete(ctx, request.Key, request.Revision)
	case store.OpList:
		items, err = s.List(ctx, request.Prefix)
	case store.OpWatch:
		items, reply.Revision, err = s.Watch(ctx, request.Prefix, request.Revision, milliseconds(request.WaitMS))
	case store.OpGrant:
		reply.Lease, err = s.Grant(ctx, milliseconds(request.TTLMS))
	case store.OpKeepAlive:
		err = s.KeepAlive(ctx, request.Lease)
	case store.OpRevoke:
		err = s.Revoke(ctx, request.Lease)
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
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

// Serve serves HTTP on l until ctx ends; calls that wait then fail.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, s)
}

// ServeFaults serves the HTTP API for faults on l until ctx ends.
func (s *Server) ServeFaults(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, s.FaultHandler())
}

func serve(ctx context.Context, l net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: handler,
		// Calls end with ctx, so that a waiting watch does not delay the shutdown.
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	select {
	case err := <-served:
		return store.Error.Wrap(fmt.Errorf("serve: %w", err))
	case <-ctx.Done():
	}
	err := server.Shutdown(context.WithoutCancel(ctx))
	<-served
	return store.Error.Wrap(err)
}
