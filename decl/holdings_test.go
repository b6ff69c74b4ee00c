package decl

import "testing"

// Guards against a guarantee that is lost with its data centre because the next
// one was filled with work that cannot be stopped.
func TestHoldings(t *testing.T) {
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
	if got := Holdings(source.Set(1), nil, "b")["scan"]; got != 1 {
		t.Errorf("b keeps %d shapes for the loss of a, want 1", got)
	}
}
