package admit

import "time"

// Defaults of RetryBudgetOptions. The system's design allows one retry per ten
// calls; the floor lets a process that makes few calls retry at all.
const (
	DefaultRetryRatio  = 0.1
	DefaultRetryFloor  = 3
	DefaultRetryWindow = 10 * time.Second
)

// retryBudgetSlots is the number of slots of the window; counts expire one slot at
// a time.
const retryBudgetSlots = 10

// RetryBudgetOptions are the limits of a RetryBudget; zero values mean the defaults.
type RetryBudgetOptions struct {
	// Ratio is the maximum number of retries per call.
	Ratio float64
	// Floor is the number of retries in a window that are allowed without any
	// calls; a negative value means none.
	Floor int
	// Window is the length of the sliding window in which calls and retries are
	// counted.
	Window time.Duration
}

// RetryBudget limits retries to a fraction of the calls in a sliding window, so
// that retries cannot multiply the load on a failing component. The limit holds at
// each granted retry, over the window that ends with it. A RetryBudget is not safe
// for concurrent use.
type RetryBudget struct {
	options           RetryBudgetOptions
	slotWidth         time.Duration
	currentSlotNumber int64 // in slot widths since the Unix epoch
	slots             [retryBudgetSlots + 1]struct{ calls, retries int }
}

// NewRetryBudget returns a budget whose window is empty.
func NewRetryBudget(options RetryBudgetOptions) *RetryBudget {
	setDefault(&options.Ratio, DefaultRetryRatio)
	setDefault(&options.Floor, DefaultRetryFloor)
	setDefault(&options.Window, DefaultRetryWindow)
	options.Floor = max(0, options.Floor)
	return &RetryBudget{options: options, slotWidth: max(1, options.Window/retryBudgetSlots)}
}

// RecordCall counts the first attempt of a call.
func (b *RetryBudget) RecordCall(now time.Time) {
	b.currentSlot(now).calls++
}

// TryRetry counts a retry and returns true, or returns false if the budget is used up.
func (b *RetryBudget) TryRetry(now time.Time) bool {
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

// currentSlot clears the slots that have left the window and returns the slot
// of now. The array has one slot more than the window, because the current slot
// has only partly elapsed.
func (b *RetryBudget) currentSlot(now time.Time) *struct{ calls, retries int } {
	number := now.UnixNano() / int64(b.slotWidth)
	size := int64(len(b.slots))
	// A time before the current slot is counted in the current slot.
	for steps := min(number-b.currentSlotNumber, size); steps > 0; steps-- {
		b.slots[(number-steps+1)%size] = struct{ calls, retries int }{}
	}
	b.currentSlotNumber = max(b.currentSlotNumber, number)
	return &b.slots[b.currentSlotNumber%size]
}
