package oper_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/labstack/echo/v4"

	"catkinpoint/head"
	"catkinpoint/oper"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// fakeConfirmer answers for all processes of the system.
type fakeConfirmer struct {
	missing []string
	err     error
}

func (c *fakeConfirmer) Confirm(context.Context, int64) ([]string, error) {
	return c.missing, c.err
}

// variableFields matches the fields whose values differ between test runs.
var variableFields = regexp.MustCompile(`"(age_ms|time_unix_ms|previous_hash)": "[^"]*"`)

// TestAPI guards against wrong statuses, wrong field names and fault lists that are
// incomplete.
func TestAPI(t *testing.T) {
	kv, confirm := fakekv.New(), &fakeConfirmer{}
	follower := head.NewFollower(kv)
	e := echo.New()
	oper.Mount(e.Group("/operators"), oper.Options{
		KV: kv, Follower: follower, Confirmer: confirm, Publisher: head.NewPublisher(follower, head.Options{}),
	})
	datadriven.RunTest(t, "testdata/api", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "store":
			kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: d.HasArg("down"), LoseNext: 0})
			if d.HasArg("lose") {
				kv.SetFaults(fakekv.AllCallers, fakekv.Faults{LoseNext: 1, LosePrefix: "head"})
			}
			return ""
		case "confirm":
			confirm.missing, confirm.err = strings.Fields(d.Input), nil
			if d.HasArg("down") {
				confirm.err = fmt.Errorf("list entries: %w", store.ErrUnavailable)
			}
			if d.HasArg("broken") {
				confirm.err = errors.New("broken")
			}
			return ""
		}
		request := httptest.NewRequest(strings.ToUpper(d.Cmd), "/operators"+d.CmdArgs[0].String(), strings.NewReader(d.Input))
		recorder := httptest.NewRecorder()
		e.ServeHTTP(recorder, request)
		var body bytes.Buffer
		if err := json.Indent(&body, recorder.Body.Bytes(), "", " "); err != nil {
			return err.Error()
		}
		status := fmt.Sprintf("%d %s", recorder.Code, http.StatusText(recorder.Code))
		if retryAfter := recorder.Header().Get("Retry-After"); retryAfter != "" {
			status += ", retry after " + retryAfter
		}
		// The protobuf library puts a no-break space into its error texts at random.
		text := strings.ReplaceAll(body.String(), "\u00a0", " ")
		return status + "\n" + variableFields.ReplaceAllString(text, `"$1": "-"`) + "\n"
	})
}
