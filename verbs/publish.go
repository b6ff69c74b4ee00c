package verbs

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"catkinpoint/conf"
	"catkinpoint/decl"
	"catkinpoint/wire"
)

// inForcePollInterval is the time between two queries whether a version is in force.
const inForcePollInterval = 500 * time.Millisecond

// Publishing has the flags of verbs that publish a change.
type Publishing struct {
	APIClient
	Author  string        `env:"USER" required:"" help:"Name in the audit trail."`
	Reason  string        `help:"Reason in the audit trail."`
	Wait    bool          `help:"Wait until the change is in force everywhere."`
	Timeout time.Duration `default:"30s" help:"Longest wait."`
	Output  string        `enum:"text,json" default:"text" help:"Form of the result: text or json."`
}

// changeResult is the result of a change. With --output json it is printed as JSON.
type changeResult struct {
	Version  int64       `json:"version"`
	ChangeID string      `json:"change_id,omitempty"`
	Changed  int         `json:"changed"`
	DryRun   bool        `json:"dry_run"`
	InForce  bool        `json:"in_force"`
	Missing  []string    `json:"missing,omitempty"`
	Warnings conf.Faults `json:"warnings,omitempty"`
}

// publish submits a change with operations that are based on base, waits until it
// is in force if p.Wait is set, and prints the result. With dryRun the entry
// checks the change without publishing it.
func (p *Publishing) publish(ctx context.Context, out *Output, base *decl.Set, operations []*wire.Operation, dryRun bool) error {
	result := changeResult{Version: base.Version(), Changed: len(operations), DryRun: dryRun}
	if p.Output == "text" {
		fmt.Fprint(out.Stdout, decl.Render(base, operations))
	}
	if len(operations) > 0 {
		change := &wire.Change{
			Id: uuid.NewString(), Author: p.Author, Reason: p.Reason,
			BaseVersion: base.Version(), Operations: operations,
		}
		response := &wire.ChangeResponse{}
		query := url.Values{"dry_run": {strconv.FormatBool(dryRun)}}
		if err := p.call(ctx, http.MethodPost, "/v1/changes", query, change, response); err != nil {
			return fmt.Errorf("publish change %s: %w", change.GetId(), err)
		}
		result.Version, result.ChangeID = response.GetVersion(), change.GetId()
		result.Warnings = decodeFaults(response.GetWarnings())
	}
	var err error
	if p.Wait && !dryRun {
		result.Missing, err = p.waitInForce(ctx, result.Version)
		result.InForce = err == nil
	}
	p.printResult(out, result)
	return err
}

// waitInForce polls until the version is in force. When p.Timeout has passed or ctx
// has ended, it returns the processes that lack the version, with an error.
func (p *Publishing) waitInForce(ctx context.Context, version int64) ([]string, error) {
	timeout := time.After(p.Timeout)
	for {
		response, err := p.queryInForce(ctx, version)
		if err != nil || response.GetInForce() {
			return nil, err
		}
		select {
		case <-time.After(inForcePollInterval):
		case <-timeout:
			return response.GetMissing(), notInForceError(version, response.GetMissing())
		case <-ctx.Done():
			return response.GetMissing(), notInForceError(version, response.GetMissing())
		}
	}
}

// printResult prints the result in the chosen form, and warnings as text.
func (p *Publishing) printResult(out *Output, result changeResult) {
	for _, warning := range result.Warnings {
		fmt.Fprintf(out.Stderr, "warning: %s\n", warning)
	}
	if p.Output == "json" {
		encoder := json.NewEncoder(out.Stdout)
		encoder.SetIndent("", "  ")
		// Printing is the verb's last step: if it fails, there is nowhere to report it.
		_ = encoder.Encode(result)
		return
	}
	switch {
	case result.Changed == 0:
		fmt.Fprintf(out.Stdout, "nothing to change at version %d\n", result.Version)
	case result.DryRun:
		fmt.Fprintf(out.Stdout, "valid, would become version %d\n", result.Version)
	default:
		fmt.Fprintf(out.Stdout, "published as version %d\n", result.Version)
	}
	if result.InForce {
		fmt.Fprintf(out.Stdout, "version %d is in force\n", result.Version)
	}
}
