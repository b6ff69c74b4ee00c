package admit

import "time"

// Defaults of BudgetOptions: the retry budget of the design, and a floor that
// lets a process with few calls retry at all.
const (
	DefaultRetryRatio  = 0.1
	DefaultRetryFloor  = 3
	DefaultRetryWindow = 10 * time.Second
)

// retryBudgetSlots is the number of parts of the window; counts leave it one part at a time.
const retryBudgetSlots = 10

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
	options           BudgetOptions
	slotWidth         time.Duration
	currentSlotNumber int64 // number of the present slot since the epoch of time
	slots             [retryBudgetSlots + 1]struct{ calls, retries int }
}

// NewBudget returns a budget without counts.
func NewBudget(options BudgetOptions) *Budget {
	setDefault(&options.Ratio, DefaultRetryRatio)
	setDefault(&options.Floor, DefaultRetryFloor)
	setDefault(&options.Window, DefaultRetryWindow)
	options.Floor = max(0, options.Floor)
	return &Budget{options: options, slotWidth: max(1, options.Window/retryBudgetSlots)}
}

// Call counts one first attempt.
func (b *Budget) Call(now time.Time) {
	b.currentSlot(now).calls++
}

// Retry counts one repetition and returns true, or returns false if the budget is used up.
func (b *Budget) Retry(now time.Time) bool {
	slot := b.currentSlot(now)
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

// currentSlot drops the slots that left the window and returns the present one. The
// array holds the window and the present, partly elapsed slot.
func (b *Budget) currentSlot(now time.Time) *struct{ calls, retries int } {
	number := now.UnixNano() / int64(b.slotWidth)
	size := int64(len(b.slots))
	// A time before the present slot counts there.
	for steps := min(number-b.currentSlotNumber, size); steps > 0; steps-- {
		b.slots[(number-steps+1)%size] = struct{ calls, retries int }{}
	}
	b.currentSlotNumber = max(b.currentSlotNumber, number)
	return &b.slots[b.currentSlotNumber%size]
}
