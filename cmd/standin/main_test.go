package main

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"go.uber.org/goleak"
)

// argsVariable is an environment variable. If it is set, the test binary runs main
// with the words of its value as arguments.
const argsVariable = "STANDIN_TEST_ARGS"

func TestMain(m *testing.M) {
	if args := os.Getenv(argsVariable); args != "" {
		os.Args = append(os.Args[:1], strings.Fields(args)...)
		main()
		return
	}
	goleak.VerifyTestMain(m)
}

// listenLine matches the log line with the address of a listener.
var listenLine = regexp.MustCompile(`(\w+) listens on (\S+)`)

// Guards against verbs that don't serve at the addresses they log, or that exit with
// an error on SIGTERM.
func TestVerbsServeUntilTerminated(t *testing.T) {
	tests := []struct {
		args string
		path string // of the fault API
	}{
		{"kv --listen 127.0.0.1:0 --fault-listen 127.0.0.1:0", "/counts"},
		{"endpoint --listen 127.0.0.1:0 --fault-listen 127.0.0.1:0 --slots 2", "/record"},
	}
	for _, test := range tests {
		t.Run(strings.Fields(test.args)[0], func(t *testing.T) {
			command := exec.CommandContext(t.Context(), os.Args[0])
			command.Env = append(os.Environ(), argsVariable+"="+test.args)
			log, err := command.StderrPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := command.Start(); err != nil {
				t.Fatal(err)
			}
			addrs := map[string]string{}
			for scanner := bufio.NewScanner(log); len(addrs) < 2 && scanner.Scan(); {
				if match := listenLine.FindStringSubmatch(scanner.Text()); match != nil {
					addrs[match[1]] = match[2]
				}
			}
			checkStatus(t, "http://"+addrs["faults"]+test.path, http.StatusOK)
			checkStatus(t, "http://"+addrs["service"]+"/nothing", 0)
			if err := command.Process.Signal(syscall.SIGTERM); err != nil {
				t.Error(err)
			}
			if err := command.Wait(); err != nil {
				t.Errorf("exit after SIGTERM: %v", err)
			}
		})
	}
}

// checkStatus sends a GET on a new connection and checks the status of the response.
// If want is 0, any response will do.
func checkStatus(t *testing.T, url string, want int) {
	t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if want != 0 && response.StatusCode != want {
		t.Errorf("%s: status %d, want %d", url, response.StatusCode, want)
	}
}
