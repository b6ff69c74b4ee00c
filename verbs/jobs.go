package verbs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"catkinpoint/entry"
)

// Submit is the verb submit: it submits a job and writes its result.
type Submit struct {
	entryFlag
	Customer  string            `required:"" help:"Customer for whom the job runs."`
	JobClass  string            `required:"" help:"Class of the job."`
	Key       string            `help:"Idempotency key; requests with the same customer and key refer to the same job."`
	Tasks     int               `help:"Number of tasks of the gang; 0 takes that of the class."`
	Body      string            `type:"existingfile" help:"File with the body; empty without it."`
	Parameter map[string]string `help:"Parameters for the endpoint, name=value."`
	Timeout   time.Duration     `help:"Time until the deadline; 0 takes that of the class."`
	Detach    bool              `help:"Return once the job is accepted; the verb wait returns its outcome."`
}

// Run submits the job.
func (v *Submit) Run(ctx context.Context, out io.Writer) error {
	query := url.Values{"customer": {v.Customer}, "job_class": {v.JobClass}}
	setIf(query, "key", v.Key, v.Key != "")
	setIf(query, "tasks", strconv.Itoa(v.Tasks), v.Tasks > 0)
	setIf(query, "timeout", v.Timeout.String(), v.Timeout > 0)
	setIf(query, "detach", "true", v.Detach)
	for name, value := range v.Parameter {
		query.Set("p."+name, value)
	}
	var body []byte
	if v.Body != "" {
		var err error
		if body, err = os.ReadFile(v.Body); err != nil {
			return fmt.Errorf("reading the body: %w", err)
		}
	}
	return v.callJob(ctx, out, http.MethodPost, "/v1/jobs?"+query.Encode(), body)
}

// setIf sets a query parameter if the condition holds.
func setIf(query url.Values, name, value string, condition bool) {
	if condition {
		query.Set(name, value)
	}
}

// Wait is the verb wait: it waits for a job and writes its result.
type Wait struct {
	entryFlag
	Job     string        `arg:"" help:"Id of the job."`
	Timeout time.Duration `default:"10m" help:"Longest wait."`
}

// Run waits for the job.
func (v *Wait) Run(ctx context.Context, out io.Writer) error {
	query := url.Values{"wait": {v.Timeout.String()}}
	return v.callJob(ctx, out, http.MethodGet, "/v1/jobs/"+url.PathEscape(v.Job)+"?"+query.Encode(), nil)
}

// Cancel is the verb cancel: it cancels a job.
type Cancel struct {
	entryFlag
	Job string `arg:"" help:"Id of the job."`
}

// Run cancels the job and writes its state after that.
func (v *Cancel) Run(ctx context.Context, out io.Writer) error {
	return v.callJob(ctx, out, http.MethodDelete, "/v1/jobs/"+url.PathEscape(v.Job), nil)
}

// callJob sends a request about a job to the entry. It copies the response to out
// if the job is done or accepted, and otherwise returns it as an error.
func (v *entryFlag) callJob(ctx context.Context, out io.Writer, method, path string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+v.Entry.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("building the request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return &exitError{code: exitUnavailable, err: fmt.Errorf("calling the entry: %w", err)}
	}
	defer response.Body.Close()
	switch response.Header.Get(entry.FateHeader) {
	case "done", "accepted":
		if _, err := io.Copy(out, response.Body); err != nil {
			return fmt.Errorf("reading the answer: %w", err)
		}
		return nil
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	return &exitError{code: jobExitCode(response.StatusCode), err: errs.New("%s", bytes.TrimSpace(text))}
}

// jobExitCode returns the exit code for a response that is neither the result of a
// job nor an acceptance.
func jobExitCode(status int) int {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound:
		return exitUsage
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return exitUnavailable
	}
	return exitFailed
}
