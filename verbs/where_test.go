package verbs

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"catkinpoint/flow"
	"catkinpoint/gate"
	"catkinpoint/link"
)

// whereHandler answers like a gate with the scheduler, or with the address of that gate.
type whereHandler struct {
	answer *flow.WhereAnswer
	asked  *flow.WhereRequest
}

// Where stores the question and returns the answer.
func (h *whereHandler) Where(request *flow.WhereRequest, answer *flow.WhereAnswer) error {
	h.asked = request
	answer.Holder, answer.Units, answer.Refusal, answer.RetryAfterMs = h.answer.Holder, h.answer.Units, h.answer.Refusal, h.answer.RetryAfterMs
	return nil
}

// serveWhere serves a handler until the test ends and returns its address.
func serveWhere(t *testing.T, h *whereHandler) string {
	t.Helper()
	server, err := link.NewServer()
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Register(gate.RPCName, &whereRPC{h}); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return listener.Addr().String()
}

// whereRPC has only the methods that net/rpc serves.
type whereRPC struct{ *whereHandler }

// Guards against a question that does not follow the address of the scheduler's gate, and
// against a reason or a number that is lost in the output.
func TestWherePrintsTheSchedulersAnswer(t *testing.T) {
	file := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(file, []byte(`{"steps": [{"count": 3, "cpu": 1000, "estimate_ms": 500}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	holder := &whereHandler{answer: &flow.WhereAnswer{}}
	first := serveWhere(t, &whereHandler{answer: &flow.WhereAnswer{Holder: serveWhere(t, holder)}})
	waits := &flow.WhereUnit{
		Tasks: 1, Outcome: "waits for room", ExpectedInMs: 1500, Workers: []string{"w1"}, Ahead: 4,
		Obstacles: []*flow.WhereObstacle{{Reason: "too little free room", Workers: 7}},
	}
	tests := []struct {
		name   string
		args   []string
		answer *flow.WhereAnswer
		code   int
		want   []string
	}{
		{
			name: "starts and waits", args: []string{file, "--queue", "scan"}, want: []string{"2 tasks  starts now", "waits for room", "in 1.5s", "4 units come first", "7 workers: too little free room"},
			answer: &flow.WhereAnswer{Units: []*flow.WhereUnit{{Tasks: 1, Outcome: "starts now"}, {Tasks: 1, Outcome: "starts now"}, waits}},
		},
		{name: "refused", args: []string{"--job", "00000000000000ab"}, answer: &flow.WhereAnswer{Refusal: "too large", RetryAfterMs: 30000}, want: []string{"refused, return after 30s: too large"}},
		{name: "without a queue", args: []string{file}, answer: &flow.WhereAnswer{}, code: exitFailed},
	}
	for _, test := range tests {
		holder.answer = test.answer
		var stdout, stderr bytes.Buffer
		code := Main(append([]string{"where", "--gate", first}, test.args...), &stdout, &stderr)
		if code != test.code {
			t.Errorf("%s: exit code %d, errors %q; want %d", test.name, code, stderr.String(), test.code)
		}
		for _, text := range test.want {
			if !strings.Contains(stdout.String(), text) {
				t.Errorf("%s: output %q lacks %q", test.name, stdout.String(), text)
			}
		}
	}
	if holder.asked.GetId() != "00000000000000ab" {
		t.Errorf("the holder was asked for %v last", holder.asked)
	}
}
