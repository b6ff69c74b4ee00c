package guard

import (
	"errors"
	"testing"
)

func TestPanicBecomesAnError(t *testing.T) {
	var none map[string]int
	if err := Run("a write", func() { none["x"] = 1 }); !Error.Has(err) {
		t.Errorf("error %v; want one of the class panic", err)
	}
	own := errors.New("own")
	if err := Call("a failure", func() error { return own }); !errors.Is(err, own) || Error.Has(err) {
		t.Errorf("error %v; want the work's own", err)
	}
	if err := Run("sound work", func() {}); err != nil {
		t.Errorf("error %v of sound work", err)
	}
}
