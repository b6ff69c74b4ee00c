package entry

import (
	"sync"
)

// customerShare limits the share of the waiting requests of one customer, so
// that a flood from one leaves room for the others.
const customerShare = 0.5

// admission bounds the requests that wait in this process.
type admission struct {
	mu       sync.Mutex
	limit    int
	total    int
	customer map[string]int
}

func newAdmission(o Options) *admission {
	return &admission{limit: o.QueueLimit, customer: make(map[string]int)}
}

// enter takes a place for a request of the customer; false means that there is none.
func (a *admission) enter(customer string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	share := max(1, int(float64(a.limit)*customerShare))
	if a.total >= a.limit || a.customer[customer] >= share {
		return false
	}
	a.total++
	a.customer[customer]++
	return true
}

func (a *admission) leave(customer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total--
	a.customer[customer]--
	if a.customer[customer] == 0 {
		delete(a.customer, customer)
	}
}

// waiting is the number of requests in this process.
func (a *admission) waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}

// enterAlways takes a place for a job that was accepted before.
func (a *admission) enterAlways(customer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total++
	a.customer[customer]++
}
