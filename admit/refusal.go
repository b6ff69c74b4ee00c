package admit

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors other than *Refusal.
var Error = errs.Class("admit")

var (
	// ErrDuplicate means that an item with the same id waits already.
	ErrDuplicate = Error.New("id is queued already")
	// ErrNotHeld means that a release has no matching acquire.
	ErrNotHeld = Error.New("release without acquire")
)

// Bounds of Refusal.RetryAfter: below one second callers would only add load,
// above one minute they would miss capacity that returns.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Reason says which limit refused the work.
type Reason int

// The reasons of refusals.
const (
	// Full means that the total limit is reached.
	Full Reason = iota + 1
	// CustomerFull means that the customer's own limit, or its share of the last free places, is reached.
	CustomerFull
	// DeadlineMissed means that the work could not end before its deadline.
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

// Refusal is the error for work that was not admitted; it had no effect.
type Refusal struct {
	Reason   Reason
	Customer string // empty when the refusal concerns no customer
	// Wait is the estimated time until the work would have started.
	Wait time.Duration
	// RetryAfter is the time, in whole seconds, after which a repetition can
	// succeed; zero means that waiting does not help.
	RetryAfter time.Duration
}

// Error returns the reason and the time to wait.
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

// retryAfter rounds up to whole seconds, as the Retry-After header has them.
func retryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return (d + time.Second - 1).Truncate(time.Second)
}

// reservedDivisor is the part of a total limit, one in reservedPart places, that
// only customers below their even share may use. It keeps one customer's flood
// from taking the last places of all others.
const reservedDivisor = 10

// checkLimits returns why a customer that holds held of its limit may not take one
// more place of total, or zero; active counts the customers that hold places.
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
	// One more than the active customers: places stay free for the next to come.
	if held >= max(1, total/(activeCustomers+1)) {
		return CustomerFull
	}
	return 0
}
