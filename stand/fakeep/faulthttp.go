package fakeep

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// faultBody is the JSON form of the faults in the HTTP API for faults.
type faultBody struct {
	FailTasks bool  `json:"fail_tasks"`
	SlowMS    int64 `json:"slow_ms"`
	Frozen    bool  `json:"frozen"`
}

// FaultHandler returns the handler of the HTTP API for faults: GET, PUT and DELETE
// /faults, POST /faults/silence, GET /record and GET /violations.
func (e *Endpoint) FaultHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", jsonHandler(e.faults))
	mux.HandleFunc("PUT /faults", e.putFaults)
	mux.HandleFunc("DELETE /faults", func(w http.ResponseWriter, _ *http.Request) {
		e.setFaults(faultBody{})
		writeJSON(w, http.StatusOK, e.faults())
	})
	mux.HandleFunc("POST /faults/silence", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]int{"silenced": e.SilenceConnections()})
	})
	mux.HandleFunc("GET /record", jsonHandler(e.Record))
	mux.HandleFunc("GET /violations", jsonHandler(e.Violations))
	return mux
}

func (e *Endpoint) putFaults(w http.ResponseWriter, r *http.Request) {
	var body faultBody
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		writeError(w, fmt.Errorf("%w: read faults: %w", ErrInvalid, err))
		return
	}
	e.setFaults(body)
	writeJSON(w, http.StatusOK, e.faults())
}

func (e *Endpoint) setFaults(body faultBody) {
	e.SetFailTasks(body.FailTasks)
	e.SetDelay(time.Duration(body.SlowMS) * time.Millisecond)
	if body.Frozen {
		e.Freeze()
	} else {
		e.Thaw()
	}
}

func (e *Endpoint) faults() faultBody {
	e.mu.Lock()
	defer e.mu.Unlock()
	return faultBody{
		FailTasks: e.failTasks,
		SlowMS:    e.delay.Milliseconds(),
		Frozen:    e.frozen(),
	}
}

// ServeFaults serves the HTTP API for faults on l until ctx ends.
func (e *Endpoint) ServeFaults(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: e.FaultHandler()}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return Error.Wrap(fmt.Errorf("serve faults: %w", err))
}
