package decl

import "testing"

// TestReclaimableShapesAfterDataCentreLoss guards against a guarantee that cannot
// be met after the loss of its data centre, because the data centre that takes
// over is full of jobs that cannot be stopped.
func TestReclaimableShapesAfterDataCentreLoss(t *testing.T) {
	const text = `
[customer league]
[service stone-care]
[data_centre a]
region = r
workers = 2
may_leave = true
[data_centre b]
region = r
workers = 1
[guarantee scan]
customer = league
accelerators = 8
data_centres = a, b
`
	source, err := Parse("test.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if got := ReclaimableShapes(source.Set(1), nil, "b")["scan"]; got != 1 {
		t.Errorf("data centre b keeps %d shapes reclaimable for the loss of data centre a, want 1", got)
	}
}
