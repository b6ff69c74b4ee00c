package delay

import (
	"strings"
	"testing"
)

// Guards against a late job whose cause is given as a refused submission that its caller has
// not seen: the gate logs its own refusal, and then the answer of the gate to which it
// forwarded the call.
func TestForwardedSubmissionWasNotRefused(t *testing.T) {
	const end = `"duty: job ended" job="a" phase="COMPLETED" priority=0 took_ms=2000 objective_ms=1000`
	tests := []struct {
		name  string
		lines []string
		want  Cause
	}{
		{"refused", []string{
			`"gate: submit" job="a" verdict="refused" reason="store is away"`,
			`"gate: submit" job="a" verdict="done" reason="accepted"`,
		}, SubmissionRefused},
		{"forwarded", []string{
			`"gate: submit" job="a" verdict="refused" reason="store is away"`,
			`"gate: submit" job="a" verdict="done" reason="accepted"`,
			`"gate: submit" job="a" verdict="done" reason="by another gate: accepted"`,
		}, RanOverEstimate},
		{"forwarded twice", []string{
			`"gate: submit" job="a" verdict="refused" reason="store is away"`,
			`"gate: submit" job="a" verdict="done" reason="accepted"`,
			`"gate: submit" job="a" verdict="done" reason="by another gate: accepted"`,
			`"gate: submit" job="a" verdict="refused" reason="no fresh configuration"`,
			`"gate: submit" job="a" verdict="done" reason="repeated"`,
			`"gate: submit" job="a" verdict="done" reason="by another gate: repeated"`,
		}, RanOverEstimate},
		{"forwarded and refused there", []string{
			`"gate: submit" job="a" verdict="refused" reason="store is away"`,
			`"gate: submit" job="a" verdict="refused" reason="store is away"`,
			`"gate: submit" job="a" verdict="refused" reason="by another gate: store is away"`,
			`"gate: submit" job="a" verdict="done" reason="accepted"`,
		}, SubmissionRefused},
		{"forwarded with an unknown outcome", []string{
			`"gate: submit" job="a" verdict="refused" reason="store is away"`,
			`"gate: submit" job="a" verdict="unknown" reason="another gate did not answer: timeout"`,
			`"gate: submit" job="a" verdict="done" reason="repeated"`,
		}, SubmissionRefused},
		{"no gate to forward to, and forwarded when it is sent again", []string{
			`"gate: submit" job="a" verdict="refused" reason="store is away"`,
			`"gate: submit" job="a" verdict="refused" reason="store is away"`,
			`"gate: submit" job="a" verdict="refused" reason="store is away"`,
			`"gate: submit" job="a" verdict="done" reason="accepted"`,
			`"gate: submit" job="a" verdict="done" reason="by another gate: accepted"`,
		}, SubmissionRefused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report, err := Read(strings.NewReader(strings.Join(append(test.lines, end), "\n")))
			if err != nil {
				t.Fatal(err)
			}
			if len(report.Late) != 1 || report.Late[0].Cause != test.want {
				t.Errorf("late jobs %v; want one, %q", report.Late, test.want)
			}
		})
	}
}
