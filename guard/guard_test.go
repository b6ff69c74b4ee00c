package guard

import (
	"errors"
	"testing"
)

// Guards against panics that end the process, and against errors and successes
// of the work that are reported as panics.
func TestCallReturnsPanicAsError(t *testing.T) {
	var nilMap map[string]int
	if err := Run("write to nil map", func() { nilMap["x"] = 1 }); !Error.Has(err) {
		t.Errorf("work that panics: error %v; want one of class panic", err)
	}
	workErr := errors.New("work failed")
	if err := Call("failing work", func() error { return workErr }); !errors.Is(err, workErr) || Error.Has(err) {
		t.Errorf("work that fails: error %v; want its own error", err)
	}
	if err := Run("successful work", func() {}); err != nil {
		t.Errorf("work that succeeds: error %v; want none", err)
	}
}
