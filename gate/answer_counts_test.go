package gate

import (
	"maps"
	"testing"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"catkinpoint/stand/fakekv"
)

// answersOf returns the answers that are counted while a function runs, by metric, call and
// verdict.
func answersOf(t *testing.T, f func()) map[string]int64 {
	t.Helper()
	reader := metric.NewManualReader()
	meter := metric.NewMeterProvider(metric.WithReader(reader)).Meter("test")
	callers, err := meter.Int64Counter("callers")
	if err != nil {
		t.Fatal(err)
	}
	peers, err := meter.Int64Counter("peers")
	if err != nil {
		t.Fatal(err)
	}
	originalCallers, originalPeers := answersCount, peerAnswersCount
	answersCount, peerAnswersCount = callers, peers
	defer func() { answersCount, peerAnswersCount = originalCallers, originalPeers }()
	f()
	var data metricdata.ResourceMetrics
	if err := reader.Collect(t.Context(), &data); err != nil {
		t.Fatal(err)
	}
	answers := map[string]int64{}
	for _, scope := range data.ScopeMetrics {
		for _, m := range scope.Metrics {
			for _, point := range m.Data.(metricdata.Sum[int64]).DataPoints {
				label := func(key attribute.Key) string {
					value, _ := point.Attributes.Value(key)
					return value.AsString()
				}
				answers[m.Name+": "+label("call")+" "+label("verdict")] += point.Value
			}
		}
	}
	return answers
}

// Guards against a call that is counted as several answers: by the gate that took it as
// refused, by the gate that it was forwarded to, and by the first one again.
func TestForwardedCallIsOneAnswer(t *testing.T) {
	submit := func(t *testing.T, g *Gate) { g.Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a")) }
	state := func(t *testing.T, g *Gate) { g.State(t.Context(), testCall("/q/"+testID)) }
	pending := func(t *testing.T, g *Gate) { g.State(t.Context(), testCall("/q/")) }
	cancel := func(t *testing.T, g *Gate) { g.Cancel(t.Context(), testCall("/q/"+testID)) }
	here, there, none := []string(nil), []string{"g1"}, []string{"g1", "g2"}
	tests := []struct {
		name string
		down []string // gates that have lost the store
		call func(t *testing.T, g *Gate)
		want []string // one answer each
	}{
		{"submit, not forwarded", here, submit, []string{"callers: submit done"}},
		{"submit, forwarded", there, submit, []string{"callers: submit done", "peers: submit done"}},
		{"submit, no gate to forward to", none, submit, []string{"callers: submit refused"}},
		{"state, not forwarded", here, state, []string{"callers: state no_job"}},
		{"state, forwarded", there, state, []string{"callers: state no_job", "peers: state no_job"}},
		{"state, no gate to forward to", none, state, []string{"callers: state refused"}},
		{"pending, not forwarded", here, pending, []string{"callers: pending done"}},
		{"pending, forwarded", there, pending, []string{"callers: pending done", "peers: pending done"}},
		{"cancel, not forwarded", here, cancel, []string{"callers: cancel no_job"}},
		{"cancel, forwarded", there, cancel, []string{"callers: cancel no_job", "peers: cancel no_job"}},
		{"cancel, no gate to forward to", none, cancel, []string{"callers: cancel refused"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withGates(t, 2, func(t *testing.T, kv *fakekv.Server, gates []*Gate, _ *testPeers) {
				for _, name := range test.down {
					kv.SetFaults(name, fakekv.Faults{Down: true})
				}
				time.Sleep(500 * time.Millisecond) // the state of a job is forwarded once the loss is known
				want := map[string]int64{}
				for _, answer := range test.want {
					want[answer] = 1
				}
				if answers := answersOf(t, func() { test.call(t, gates[0]) }); !maps.Equal(answers, want) {
					t.Errorf("answers to one call: %v; want %v", answers, want)
				}
			})
		})
	}
}
