package verbs

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"catkinpoint/decl"
	"catkinpoint/wire"
)

// Audit is the verb audit: it shows the audit trail.
type Audit struct {
	APIClient
	First  int64  `help:"First version; by default the 100 newest are shown."`
	Last   int64  `help:"Last version; by default the newest."`
	Output string `enum:"text,json" default:"text" help:"Form of the result: text or json."`
}

// Run prints audit entries. The entry process has verified their hashes before it
// returns them.
func (v *Audit) Run(ctx context.Context, out *Output) error {
	query := url.Values{}
	if v.First > 0 {
		query.Set("first", strconv.FormatInt(v.First, 10))
	}
	if v.Last > 0 {
		query.Set("last", strconv.FormatInt(v.Last, 10))
	}
	response := &wire.AuditResponse{}
	if err := v.call(ctx, http.MethodGet, "/v1/audit", query, nil, response); err != nil {
		return fmt.Errorf("read audit trail: %w", err)
	}
	if v.Output == "json" {
		text, err := protojson.MarshalOptions{UseProtoNames: true, Multiline: true}.Marshal(response)
		if err != nil {
			return fmt.Errorf("encode audit trail: %w", err)
		}
		fmt.Fprintf(out.Stdout, "%s\n", text)
		return nil
	}
	for _, e := range response.GetEntries() {
		change := e.GetChange()
		published := time.UnixMilli(e.GetTimeUnixMs()).UTC().Format(time.RFC3339)
		fmt.Fprintf(out.Stdout, "%d %s %s %q (change %s)\n", e.GetVersion(), published, change.GetAuthor(), change.GetReason(), change.GetId())
		for _, op := range change.GetOperations() {
			operation := "put"
			if op.GetDelete() {
				operation = "delete"
			}
			fmt.Fprintf(out.Stdout, "    %s [%s] based on %d\n", operation, decl.KeyOf(op.GetObject()), op.GetBaseRevision())
		}
	}
	return nil
}
