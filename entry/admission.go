package entry

import (
	"sync"
	"time"

	"catkinpoint/admit"
)

const (
	// customerShare is the part of the queue limit that the requests of one customer
	// may use, so that a flood from one leaves room for the others.
	customerShare = 0.5
	// maxEgressDelay bounds the wait for the budget of bytes to other regions; a job
	// body that would wait longer is not sent.
	maxEgressDelay = 2 * time.Second
)

// admission limits the requests in this process, the bytes that it sends to other
// regions, and its retries. The types of package admit are not safe for concurrent
// use; mu guards them.
type admission struct {
	mu      sync.Mutex
	limiter *admit.Limiter
	egress  *admit.Egress
	retries *admit.RetryBudget
}

func newAdmission(o Options) *admission {
	share := max(1, int(float64(o.QueueLimit)*customerShare))
	return &admission{
		limiter: admit.NewLimiter(admit.LimiterOptions{Total: o.QueueLimit, CustomerLimit: share}),
		egress:  admit.NewEgress(admit.EgressOptions{Local: o.Region, Rate: int(o.RegionBytesPerSecond)}),
		retries: admit.NewRetryBudget(admit.RetryBudgetOptions{}),
	}
}

// acquire admits a request of the customer, or returns an *admit.Refusal if a limit
// is reached. Each admitted request needs a release.
func (a *admission) acquire(customer string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Acquire(customer)
}

// release ends an admitted request of the customer.
func (a *admission) release(customer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.limiter.Release(customer) // each release follows an acquire
}

// inProgress returns the number of requests in this process.
func (a *admission) inProgress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.TotalInProgress()
}

// reserve counts bytes to a region and returns how long to wait before they are
// sent, or an *admit.Refusal.
func (a *admission) reserve(region string, bytes int) (time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.egress.Reserve(time.Now(), region, bytes, maxEgressDelay)
}

// countCall counts the first dispatch of a request, from which the retry budget is
// computed.
func (a *admission) countCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retries.RecordCall(time.Now())
}

// takeRetry reports whether the retry budget allows one more retry, and uses it.
func (a *admission) takeRetry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retries.TryRetry(time.Now())
}

// sentBytes returns the bytes sent to each other region.
func (a *admission) sentBytes() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.egress.Sent()
}
