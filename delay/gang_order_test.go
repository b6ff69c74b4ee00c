package delay

import (
	"fmt"
	"maps"
	"strings"
	"testing"
)

// Guards against lost work of a gang that is reported under another cause because the ends
// of its members are heard of in another order: the member that ended the run comes last
// if its worker reports later than those of the others.
func TestLostWorkOfGangHasOneCauseInAnyOrder(t *testing.T) {
	tests := []struct {
		name  string
		lines []string // before the ends
		ends  []string // of the members of run 2, in order
		want  map[Cause]int64
	}{
		{"failed first", nil, []string{"failed", "broken"}, map[Cause]int64{RunFailed: 14}},
		{"failed last", nil, []string{"broken", "failed"}, map[Cause]int64{RunFailed: 14}},
		{"worker lost last", nil, []string{"broken", "gone"}, map[Cause]int64{WorkerLost: 14}},
		{
			"failed last, after a run that was preempted",
			[]string{`"duty: run preempted" job="a" step=0 index=0`, `"duty: run over" job="a" step=0 index=0 run=1 how="stopped" cancelled=false lost_core_s=0`},
			[]string{"broken", "failed"},
			map[Cause]int64{Preempted: 0, RunFailed: 14},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lines := test.lines
			for index, how := range test.ends {
				lines = append(lines, fmt.Sprintf(`"duty: run over" job="a" step=0 index=%d run=2 how="%s" cancelled=false lost_core_s=7`, index, how))
			}
			report, err := Read(strings.NewReader(strings.Join(lines, "\n")))
			if err != nil {
				t.Fatal(err)
			}
			if !maps.Equal(report.LostCoreSeconds, test.want) {
				t.Errorf("lost work %v; want %v", report.LostCoreSeconds, test.want)
			}
		})
	}
}
