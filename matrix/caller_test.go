package matrix

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"catkinpoint/entry"
	"catkinpoint/local"
)

const (
	// callTimeout is when a caller gives a connection up and asks by key or id.
	callTimeout = 45 * time.Second
	// callerPause is the time between two tries of a caller.
	callerPause = 500 * time.Millisecond
	// patience is how long a caller tries for a final answer.
	patience = 120 * time.Second
)

// Told is what one caller asked for and was told in the end.
type Told struct {
	Title string
	Query string
	Body  []byte
	Tasks int
	Once  bool // non-idempotent
	// Insist makes the caller repeat a job that was not run.
	Insist bool
	// First is the entry that is asked first.
	First int

	Sent, Final time.Time
	// Asked is when the request was sent that the last answer is for.
	Asked time.Time
	// Broken counts the requests that got no whole answer.
	Broken int
	Fate   string
	Job    string
	Result []byte
	// Refused are the jobs that this caller was told had not run.
	Refused []string
	// Contradiction is set if a later answer differs from a final one.
	Contradiction string
}

// client makes one HTTP request over a connection of its own.
func (w *World) client(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte) (*local.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	transport := &http.Transport{DialContext: w.callerHost.Dial, DisableKeepAlives: true}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("building request: %w", err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", addr, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("reading answer of %s: %w", addr, err)
	}
	return &local.Answer{
		Status: response.StatusCode,
		JobID:  response.Header.Get(entry.JobHeader),
		Fate:   response.Header.Get(entry.FateHeader),
		Body:   data,
	}, nil
}

// address is where callers reach an entry: first the one that schedules the home
// data centre, then that of the other data centre, then the spare one.
func (w *World) address(number int) netip.AddrPort {
	return w.System.Entries[w.order[number%entryCount]]
}

// spare is the entry of the home data centre that does not schedule it.
func (w *World) spare() string { return fmt.Sprintf("entry-%d", w.order[entryCount-1]) }

// ask carries one request to its final answer as a caller does: after a broken
// connection it repeats the request, with the same key if it has one, and after
// an answer without a final fate it asks by the job's id, through the next entry.
func (w *World) ask(ctx context.Context, t *Told) {
	t.Sent = time.Now()
	giveUp := t.Sent.Add(patience)
	for try := t.First; time.Now().Before(giveUp); try++ {
		addr := w.address(try)
		var answer *local.Answer
		var err error
		if t.Job == "" {
			t.Asked = time.Now()
			answer, err = w.client(ctx, http.MethodPost, addr, "/v1/jobs?"+t.Query, t.Body)
		} else {
			answer, err = w.client(ctx, http.MethodGet, addr, "/v1/jobs/"+t.Job+"?wait=15s", nil)
		}
		if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
			t.Broken++
		}
		if err == nil && t.take(answer) {
			t.Final = time.Now()
			return
		}
		time.Sleep(callerPause)
	}
}

// take notes an answer and reports whether it is final.
func (t *Told) take(a *local.Answer) bool {
	if a.JobID != "" {
		t.Job = a.JobID
	}
	t.Fate, t.Result = a.Fate, a.Body
	switch a.Fate {
	case "done", "failed":
		return true
	case "not_run":
		if a.JobID == "" {
			if a.Status == http.StatusNotFound {
				t.Job = "" // there is no such job, so the request is repeated
			}
			return false
		}
		t.Refused = append(t.Refused, t.Job)
		if t.Insist {
			t.Job = ""
		}
		return !t.Insist
	}
	// An idempotent job without a record cannot be asked for after an unknown
	// outcome; its caller repeats it.
	if a.Fate == "unknown" && !t.Once && t.Tasks == 1 {
		t.Job = ""
	}
	return false
}

// cancel asks the entries to cancel a job until one answers.
func (w *World) cancel(ctx context.Context, job string, first int) {
	for try := first; try < first+10; try++ {
		addr := w.address(try)
		if _, err := w.client(ctx, http.MethodDelete, addr, "/v1/jobs/"+job, nil); err == nil {
			return
		}
		time.Sleep(callerPause)
	}
}
