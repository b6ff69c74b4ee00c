package owner

import (
	"context"
	"testing"
	"testing/synctest"
)

// An event or decision that panics is told and costs nothing else: its caller
// does not wait for ever, and later events run.
func TestPanicCostsOneEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		o := New(&[]string{})
		told, bad := 0, false
		go o.Run(ctx, func(*[]string) {
			if bad {
				bad = false
				panic("decision")
			}
		}, func(*[]string, error) { told++ })
		if err := o.Do(ctx, func(*[]string) { panic("event") }); err != nil {
			t.Errorf("event that panics: %v", err)
		}
		synctest.Wait()
		bad = true
		for _, word := range []string{"a", "b"} {
			if err := o.Do(ctx, func(s *[]string) { *s = append(*s, word) }); err != nil {
				t.Errorf("later event: %v", err)
			}
			synctest.Wait()
		}
		var got int
		if err := o.Do(ctx, func(s *[]string) { got = len(*s) }); err != nil || got != 2 {
			t.Errorf("%d events after the panics, %v; want 2", got, err)
		}
		if told != 2 {
			t.Errorf("%d panics were told; want that of the event and that of the decision", told)
		}
	})
}
