package local

import (
	"strings"
	"testing"
)

// TestDemo guards against faults that stop jobs anywhere between a caller and an
// endpoint.
func TestDemo(t *testing.T) {
	var out strings.Builder
	if err := Demo(t.Context(), &out); err != nil {
		t.Fatalf("demo: %v\n%s", err, out.String())
	}
	t.Log(out.String())
}
