package entry

import (
	"sync"
	"time"

	"catkinpoint/admit"
)

const (
	// customerShare limits the waiting requests of one customer, so that a flood
	// from one leaves room for the others.
	customerShare = 0.5
	// regionPatience is the longest wait for the budget of the link between regions.
	regionPatience = 2 * time.Second
)

// admission bounds what this process takes in and sends on. The structures of
// package admit have one owner, which the lock stands for.
type admission struct {
	mu      sync.Mutex
	limiter *admit.Limiter
	egress  *admit.Egress
	retries *admit.Budget
}

func newAdmission(o Options) *admission {
	share := max(1, int(float64(o.QueueLimit)*customerShare))
	return &admission{
		limiter: admit.NewLimiter(admit.LimiterOptions{Total: o.QueueLimit, CustomerLimit: share}),
		egress:  admit.NewEgress(admit.EgressOptions{Local: o.Region, Rate: int(o.RegionBytes)}),
		retries: admit.NewBudget(admit.BudgetOptions{}),
	}
}

// enter takes a place for a request of the customer, or returns an *admit.Refusal.
func (a *admission) enter(customer string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Acquire(customer)
}

func (a *admission) leave(customer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.limiter.Release(customer) // each leave follows an enter
}

// waiting is the number of requests in this process.
func (a *admission) waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Used()
}

// reserve counts bytes to a region and returns how long to wait before they are
// sent, or an *admit.Refusal.
func (a *admission) reserve(region string, bytes int) (time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.egress.Reserve(time.Now(), region, bytes, regionPatience)
}

// called counts the first sending of a request.
func (a *admission) called() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retries.Call(time.Now())
}

// mayRetry says whether a request may be sent once more.
func (a *admission) mayRetry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retries.Retry(time.Now())
}

// sentBytes are the bytes sent to each other region.
func (a *admission) sentBytes() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.egress.Sent()
}
