package admit

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestLimiterInvariants guards against admission above the limits, places that are
// never freed, and a flood of one customer that takes all places.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, customerLimit = 40, 38
		l := NewLimiter(LimiterOptions{Total: total, CustomerLimit: customerLimit})
		l.SetCustomers([]Customer{{Name: "small", Limit: 2}})
		held, heldTotal := map[string]int{}, 0
		names := []string{"a", "a", "a", "b", "small"}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				if err := l.Release(name); (err == nil) != (held[name] > 0) {
					t.Fatalf("release with %d in progress: %v", held[name], err)
				} else if err == nil {
					held[name]--
					heldTotal--
				}
			} else if l.Acquire(name) == nil {
				held[name]++
				heldTotal++
			}
			if l.TotalInProgress() != heldTotal || heldTotal > total || held["small"] > 2 || held["a"] > customerLimit {
				t.Fatalf("used %d, held %v", l.TotalInProgress(), held)
			}
		}
		for l.Acquire("a") == nil {
		}
		var refusal *Refusal
		if err := l.Acquire("new"); heldTotal < total-total/reservedDivisor && err != nil {
			t.Fatal("customer a's flood leaves no place for a new customer:", err)
		}
		if err := l.Acquire("a"); !errors.As(err, &refusal) || refusal.RetryAfter <= 0 {
			t.Fatal("want a refusal with a time to retry, got:", err)
		}
	})
}

// TestBudgetBoundsEveryWindow guards against more retries than the ratio and the
// floor allow. The limit holds at each granted retry, over the calls in the window
// that ends with it; it follows that the retries in any window are limited by the
// calls of two windows.
func TestBudgetBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		const countedSpan = window + window/retryBudgetSlots
		b := NewRetryBudget(RetryBudgetOptions{Window: window})
		var calls, retries []time.Time
		now := epoch
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "calls") {
				b.RecordCall(now)
				calls = append(calls, now)
			}
			bound := window + countedSpan
			if b.TryRetry(now) {
				retries = append(retries, now)
				bound = countedSpan
			}
			allowed := 0.1*float64(countWithin(calls, now, bound)) + DefaultRetryFloor
			if got := countWithin(retries, now, window); float64(got) > allowed {
				t.Fatalf("%d retries, %.1f allowed", got, allowed)
			}
		}
	})
}

// countWithin returns how many times are less than age before now.
func countWithin(times []time.Time, now time.Time, age time.Duration) (n int) {
	for _, t := range times {
		if now.Sub(t) < age {
			n++
		}
	}
	return n
}

// TestBudgetRecovers guards against a budget that still counts calls or retries
// which have left the window.
func TestBudgetRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewRetryBudget(RetryBudgetOptions{})
		retryUntilRefused := func() (n int) {
			for b.TryRetry(time.Now()) {
				n++
			}
			return n
		}
		for range 100 {
			b.RecordCall(time.Now())
		}
		if n := retryUntilRefused(); n != 13 {
			t.Fatalf("%d retries for 100 calls, want 10 and the floor of 3", n)
		}
		time.Sleep(5 * time.Second)
		if n := retryUntilRefused(); n != 0 {
			t.Fatalf("%d more retries within the window", n)
		}
		time.Sleep(6 * time.Second)
		if n := retryUntilRefused(); n != 3 {
			t.Fatalf("%d retries after the window, want the floor of 3", n)
		}
	})
}

// TestEgressBoundsRate guards against more bytes on the paid link than rate and
// burst allow to a sender that waits as Reserve asks, and against refusals that use
// up the rate.
func TestEgressBoundsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bytesPerSecond, message = 1000, 2500
		e := NewEgress(EgressOptions{Local: "harju", Rate: bytesPerSecond})
		start := time.Now()
		for sent := message; sent <= 20*message; sent += message {
			delay, err := e.Reserve(time.Now(), "tartu", message, 3*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(delay)
			limit := bytesPerSecond * (time.Since(start).Seconds() + DefaultEgressBurst.Seconds())
			if float64(sent) > limit+1 {
				t.Fatalf("%d bytes sent after %v", sent, time.Since(start))
			}
		}
		// The last message used up the burst, and control traffic of 2000 bytes at
		// 1000 bytes per second is covered after 2 s. Refusals must not add to that.
		e.Count(time.Now(), "tartu", 2000)
		for range 100 {
			_, err := e.Reserve(time.Now(), "tartu", 3000, 0)
			var refusal *Refusal
			if !errors.As(err, &refusal) || refusal.Reason != RateExceeded || refusal.RetryAfter != 5*time.Second {
				t.Fatalf("refusal %+v", err)
			}
		}
		if _, err := e.Reserve(time.Now(), "harju", 1<<30, 0); err != nil {
			t.Fatal("traffic within the region was refused:", err)
		}
		time.Sleep(2 * time.Second)
		if delay, err := e.Reserve(time.Now(), "tartu", 1000, 1001*time.Millisecond); err != nil {
			t.Fatal("refusals used up the rate:", delay, err)
		}
		if sent := e.Sent()["tartu"]; sent != 20*message+2000+1000 {
			t.Fatalf("%d bytes counted", sent)
		}
	})
}

func BenchmarkLimiter(b *testing.B) {
	l := NewLimiter(LimiterOptions{})
	b.ReportAllocs()
	for b.Loop() {
		if err := l.Acquire("a"); err != nil {
			b.Fatal(err)
		}
		if err := l.Release("a"); err != nil {
			b.Fatal(err)
		}
	}
}
