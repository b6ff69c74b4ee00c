package verbs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/labstack/echo/v4"

	"catkinpoint/head"
	"catkinpoint/oper"
	"catkinpoint/stand/fakekv"
)

type confirmer struct{ missing []string }

func (c *confirmer) Confirm(context.Context, int64) ([]string, error) { return c.missing, nil }

// varying matches what differs from run to run.
var varying = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f-]{27}|\d{4}-\d\d-\d\dT[0-9:]*Z`)

// TestVerbs guards against wrong exit codes and outputs of the operators' verbs
// against a real API, and against an answer that is lost on its way to a verb.
func TestVerbs(t *testing.T) {
	t.Setenv("USER", "anna")
	kv, confirm := fakekv.New(), &confirmer{}
	follower := head.NewFollower(kv)
	e := echo.New()
	oper.Mount(e.Group(""), oper.Options{
		KV: kv, Follower: follower, Confirmer: confirm, Publisher: head.NewPublisher(follower, head.Options{}),
	})
	e.GET("/v1/status", func(c echo.Context) error {
		return c.JSONBlob(http.StatusOK, []byte(`{"id": "entry-0", "store_reachable": true, "entries": [{"id": "entry-0"}],
			"duties": [{"data_centre": "tartu", "holder": "entry-0", "workers": 2, "accelerators": 16, "free_accelerators": 12, "queued": 3, "running": 1}]}`))
	})
	dir := t.TempDir()
	var cut, race atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && cut.Swap(false) {
			e.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		if r.Method == http.MethodPost && race.Swap(false) {
			Main([]string{"apply", filepath.Join(dir, "race.ini")}, io.Discard, io.Discard)
		}
		e.ServeHTTP(w, r)
	}))
	defer server.Close()
	t.Setenv("CATKINPOINT_ENTRY", strings.TrimPrefix(server.URL, "http://"))
	datadriven.RunTest(t, "testdata/verbs", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "file":
			if err := os.WriteFile(filepath.Join(dir, d.CmdArgs[0].Key), []byte(d.Input), 0o600); err != nil {
				t.Fatal(err)
			}
			return ""
		case "confirm":
			confirm.missing = strings.Fields(d.Input)
			return ""
		case "cut":
			cut.Store(true)
			return ""
		case "race":
			race.Store(true)
			return ""
		case "store":
			kv.SetFaults(fakekv.Everyone, fakekv.Faults{Down: d.HasArg("down")})
			return ""
		}
		var out, errs bytes.Buffer
		args := strings.Fields(strings.ReplaceAll(d.Input, "DIR", dir))
		code := Main(args, &out, &errs)
		text := fmt.Sprintf("exit %d\n%s", code, out.String())
		if errs.Len() > 0 {
			text += "-- errors\n" + errs.String()
		}
		return varying.ReplaceAllString(strings.ReplaceAll(text, dir, "DIR"), "*")
	})
}
