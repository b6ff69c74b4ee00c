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

// confirmer answers for all processes of the deployment.
type confirmer struct {
	missing []string
	err     error
}

func (c *confirmer) Confirm(context.Context, int64) ([]string, error) {
	return c.missing, c.err
}

// varying matches what differs from run to run.
var varying = regexp.MustCompile(`"(age_ms|time_unix_ms|previous_hash)": "[^"]*"`)

// TestAPI guards against wrong statuses, wrong field names and lists that lack a fault.
func TestAPI(t *testing.T) {
	kv, confirm := fakekv.New(), &confirmer{}
	follower := head.NewFollower(kv)
	e := echo.New()
	oper.Mount(e.Group("/operators"), oper.Options{
		KV: kv, Follower: follower, Confirmer: confirm, Publisher: head.NewPublisher(follower, head.Options{}),
	})
	datadriven.RunTest(t, "testdata/api", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "store":
			kv.SetFaults(fakekv.Everyone, fakekv.Faults{Down: d.HasArg("down"), LoseNext: 0})
			if d.HasArg("lose") {
				kv.SetFaults(fakekv.Everyone, fakekv.Faults{LoseNext: 1, LosePrefix: "head"})
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
		if wait := recorder.Header().Get("Retry-After"); wait != "" {
			status += ", retry after " + wait
		}
		// The library puts a no-break space at random into its error texts.
		text := strings.ReplaceAll(body.String(), "\u00a0", " ")
		return status + "\n" + varying.ReplaceAllString(text, `"$1": "-"`) + "\n"
	})
}
