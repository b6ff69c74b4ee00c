package verbs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/url"
	"time"

	"catkinpoint/load"
)

// Load is the verb load: it submits jobs at a given rate and reports their fates
// and latencies.
type Load struct {
	entryFlag
	Customer    string            `required:"" help:"Customer for whom the jobs run."`
	JobClass    string            `required:"" help:"Class of the jobs."`
	Parameter   map[string]string `help:"Parameters for the endpoint, name=value."`
	Rate        float64           `default:"10" help:"Jobs a second."`
	Duration    time.Duration     `default:"10s" help:"Time in which jobs are sent."`
	Concurrency int               `default:"256" help:"Largest number of requests in progress at once."`
	BodyBytes   int               `default:"100" help:"Size of each body, bytes."`
}

// Run sends the load and prints the result.
func (v *Load) Run(ctx context.Context, out io.Writer) error {
	query := url.Values{"customer": {v.Customer}, "job_class": {v.JobClass}}
	for name, value := range v.Parameter {
		query.Set("p."+name, value)
	}
	result, err := load.Run(ctx, load.Options{
		Entry:       v.Entry,
		Query:       query,
		Body:        bytes.Repeat([]byte("x"), max(0, v.BodyBytes)),
		Rate:        v.Rate,
		Duration:    v.Duration,
		Concurrency: v.Concurrency,
	})
	if err != nil {
		return &exitError{code: exitUsage, err: fmt.Errorf("sending the load: %w", err)}
	}
	return result.Write(out)
}
