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

// fakeConfirmer confirms a version to be in force except at the missing processes.
type fakeConfirmer struct{ missing []string }

func (c *fakeConfirmer) Confirm(context.Context, int64) ([]string, error) { return c.missing, nil }

// runSpecific matches ids and times, which differ between runs.
var runSpecific = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f-]{27}|\d{4}-\d\d-\d\dT[0-9:]*Z`)

// TestVerbs guards against wrong exit codes and outputs of the operators' verbs when
// they call a real API, also after the response to a published change was lost or
// another operator has changed the same object.
func TestVerbs(t *testing.T) {
	t.Setenv("USER", "anna")
	kv, confirmer := fakekv.New(), &fakeConfirmer{}
	follower := head.NewFollower(kv)
	api := echo.New()
	oper.Mount(api.Group(""), oper.Options{
		KV: kv, Follower: follower, Confirmer: confirmer, Publisher: head.NewPublisher(follower, head.Options{}),
	})
	api.GET("/v1/status", func(c echo.Context) error {
		return c.JSONBlob(http.StatusOK, []byte(`{"id": "entry-0", "store_reachable": true, "entries": [{"id": "entry-0"}],
			"duties": [{"data_centre": "tartu", "holder": "entry-0", "workers": 2, "accelerators": 16, "free_accelerators": 12, "queued": 3, "running": 1}]}`))
	})
	dir := t.TempDir()
	var dropResponse, concurrentChange atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && dropResponse.Swap(false) {
			api.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		if r.Method == http.MethodPost && concurrentChange.Swap(false) {
			Main([]string{"apply", filepath.Join(dir, "race.ini")}, io.Discard, io.Discard)
		}
		api.ServeHTTP(w, r)
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
		case "missing":
			confirmer.missing = strings.Fields(d.Input)
			return ""
		case "drop_response":
			dropResponse.Store(true)
			return ""
		case "concurrent_change":
			concurrentChange.Store(true)
			return ""
		case "store":
			kv.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: d.HasArg("down")})
			return ""
		}
		var stdout, stderr bytes.Buffer
		args := strings.Fields(strings.ReplaceAll(d.Input, "DIR", dir))
		code := Main(args, &stdout, &stderr)
		text := fmt.Sprintf("exit %d\n%s", code, stdout.String())
		if stderr.Len() > 0 {
			text += "-- errors\n" + stderr.String()
		}
		return runSpecific.ReplaceAllString(strings.ReplaceAll(text, dir, "DIR"), "*")
	})
}
