package owner

import (
	"context"
	"testing"
	"testing/synctest"
)

// Guards against a panic in a function or in afterBatch that blocks the caller
// of Do for ever, stops later functions or is not passed to onPanic.
func TestRunContinuesAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		o := New(&[]string{})
		panics, panicNext := 0, false
		go o.Run(ctx, func(*[]string) {
			if panicNext {
				panicNext = false
				panic("decision")
			}
		}, func(*[]string, error) { panics++ })
		if err := o.Do(ctx, func(*[]string) { panic("event") }); err != nil {
			t.Errorf("function that panics: Do returned %v; want nil", err)
		}
		synctest.Wait()
		panicNext = true
		for _, word := range []string{"a", "b"} {
			if err := o.Do(ctx, func(s *[]string) { *s = append(*s, word) }); err != nil {
				t.Errorf("function after a panic: %v", err)
			}
			synctest.Wait()
		}
		var count int
		if err := o.Do(ctx, func(s *[]string) { count = len(*s) }); err != nil || count != 2 {
			t.Errorf("%d functions ran after the panics, %v; want 2", count, err)
		}
		if panics != 2 {
			t.Errorf("onPanic was called %d times; want 2, for the function and for afterBatch", panics)
		}
	})
}
