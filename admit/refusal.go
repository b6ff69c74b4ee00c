package admit

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors other than *Refusal.
var Error = errs.Class("admit")

var (
	// ErrDuplicate means that an item with the same id is queued already.
	ErrDuplicate = Error.New("id is queued already")
	// ErrNotAcquired means that Release was called without a matching Acquire.
	ErrNotAcquired = Error.New("release without acquire")
)

// Bounds of Refusal.RetryAfter: callers that retry after less than a second only
// add load, and callers that wait for more than a minute miss capacity that has
// become free.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Reason is the limit that caused a refusal.
type Reason int

// The reasons for refusals.
const (
	// Full means that the total limit is reached.
	Full Reason = iota + 1
	// CustomerFull means that the customer's own limit, or its even share once
	// only the reserved places are free, is reached.
	CustomerFull
	// DeadlineMissed means that the work cannot end before its deadline.
	DeadlineMissed
	// RateExceeded means that the byte rate of the link is used up.
	RateExceeded
)

var reasonTexts = map[Reason]string{
	Full:           "limit of all customers reached",
	CustomerFull:   "limit of the customer reached",
	DeadlineMissed: "deadline cannot be met",
	RateExceeded:   "byte rate of the link reached",
}

// String returns the reason as a short text.
func (r Reason) String() string {
	return reasonTexts[r]
}

// Refusal is the error for work that was not admitted and counts against no limit.
type Refusal struct {
	Reason   Reason
	Customer string // empty if the refusal does not depend on a customer
	// Wait is the estimated time until the work would have started.
	Wait time.Duration
	// RetryAfter is the time, in whole seconds, after which a retry can succeed;
	// zero means that waiting does not help.
	RetryAfter time.Duration
}

// Error returns the reason, the customer and the time to wait.
func (r *Refusal) Error() string {
	text := "admit: " + r.Reason.String()
	if r.Customer != "" {
		text += fmt.Sprintf(" (customer %s)", r.Customer)
	}
	if r.RetryAfter > 0 {
		text += fmt.Sprintf(", retry after %v", r.RetryAfter)
	}
	return text
}

// retryAfter limits a wait to the bounds of Refusal.RetryAfter and rounds it up
// to whole seconds, the unit of the Retry-After header.
func retryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return (d + time.Second - 1).Truncate(time.Second)
}

// reservedDivisor sets the part of a total limit, total/reservedDivisor places,
// that only customers below their even share may use. The reserve keeps a flood
// of one customer from taking the last places from all others.
const reservedDivisor = 10

// checkLimits returns why a customer that holds held of its customerLimit places
// may not take one more, or zero if it may. All customers together use used of
// total places; activeCustomers counts those that hold any.
func checkLimits(held, customerLimit, used, total, activeCustomers int) Reason {
	if used >= total {
		return Full
	}
	if held >= customerLimit {
		return CustomerFull
	}
	if used < total-total/reservedDivisor {
		return 0
	}
	// The even share counts one customer more than the active ones, so that
	// places stay free for the next customer that becomes active.
	if held >= max(1, total/(activeCustomers+1)) {
		return CustomerFull
	}
	return 0
}
