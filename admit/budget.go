package admit

import "time"

// Defaults of BudgetOptions: the retry budget of the design, and a floor that
// lets a process with few calls retry at all.
const (
	DefaultRetryRatio  = 0.1
	DefaultRetryFloor  = 3
	DefaultRetryWindow = 10 * time.Second
)

// budgetSlots is the number of parts of the window; counts leave it one part at a time.
const budgetSlots = 10

// BudgetOptions are the bounds of a Budget; zero values stand for the defaults.
type BudgetOptions struct {
	// Ratio is the largest number of retries for each call.
	Ratio float64
	// Floor is the number of retries in a window that need no calls; below 0 means none.
	Floor int
	// Window is the time over which calls and retries are counted.
	Window time.Duration
}

// Budget bounds retries to a part of the calls in a sliding window, so that
// retries cannot multiply the load on a part that fails; it has one owner. The
// bound holds at each granted retry, over the window that ends there.
type Budget struct {
	options BudgetOptions
	width   time.Duration
	current int64 // number of the present slot since the epoch of time
	slots   [budgetSlots + 1]struct{ calls, retries int }
}

// NewBudget returns a budget without counts.
func NewBudget(options BudgetOptions) *Budget {
	orDefault(&options.Ratio, DefaultRetryRatio)
	orDefault(&options.Floor, DefaultRetryFloor)
	orDefault(&options.Window, DefaultRetryWindow)
	options.Floor = max(0, options.Floor)
	return &Budget{options: options, width: max(1, options.Window/budgetSlots)}
}

// Call counts one first attempt.
func (b *Budget) Call(now time.Time) {
	b.slot(now).calls++
}

// Retry counts one repetition and returns true, or returns false if the budget is used up.
func (b *Budget) Retry(now time.Time) bool {
	slot := b.slot(now)
	calls, retries := 0, 0
	for _, s := range b.slots {
		calls += s.calls
		retries += s.retries
	}
	if float64(retries+1) > b.options.Ratio*float64(calls)+float64(b.options.Floor) {
		return false
	}
	slot.retries++
	return true
}

// slot drops the slots that left the window and returns the present one. The
// array holds the window and the present, partly elapsed slot.
func (b *Budget) slot(now time.Time) *struct{ calls, retries int } {
	number := now.UnixNano() / int64(b.width)
	size := int64(len(b.slots))
	// A time before the present slot counts there.
	for steps := min(number-b.current, size); steps > 0; steps-- {
		b.slots[(number-steps+1)%size] = struct{ calls, retries int }{}
	}
	b.current = max(b.current, number)
	return &b.slots[b.current%size]
}
