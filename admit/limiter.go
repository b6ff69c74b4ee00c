package admit

// LimiterOptions are the limits of a Limiter; zero values stand for the defaults.
type LimiterOptions struct {
	// Total is the most concurrent requests of the process.
	Total int
	// CustomerLimit is the most concurrent requests of a customer without a
	// limit of its own.
	CustomerLimit int
}

// Limiter bounds the concurrent requests of one process, for each customer and
// in total; it has one owner.
type Limiter struct {
	options LimiterOptions
	limits  map[string]int
	held    map[string]int
	used    int
}

// NewLimiter returns a limiter that holds nothing.
func NewLimiter(options LimiterOptions) *Limiter {
	orDefault(&options.Total, DefaultLimit)
	orDefault(&options.CustomerLimit, DefaultCustomerLimit)
	return &Limiter{options: options, held: make(map[string]int)}
}

// SetCustomers replaces the limits of all customers; requests in progress above
// a lower limit go on, and new ones are refused until they end.
func (l *Limiter) SetCustomers(customers []Customer) {
	l.limits = make(map[string]int, len(customers))
	for _, c := range customers {
		if c.Limit > 0 {
			l.limits[c.Name] = c.Limit
		}
	}
}

// Acquire admits one request of the customer, to be ended by Release, or returns a *Refusal.
func (l *Limiter) Acquire(customer string) error {
	limit, ok := l.limits[customer]
	if !ok {
		limit = l.options.CustomerLimit
	}
	reason := check(l.held[customer], limit, l.used, l.options.Total, len(l.held))
	if reason != 0 {
		return &Refusal{Reason: reason, Customer: customer, RetryAfter: minRetryAfter}
	}
	l.held[customer]++
	l.used++
	return nil
}

// Release ends one request of the customer, or returns ErrNotHeld.
func (l *Limiter) Release(customer string) error {
	switch l.held[customer] {
	case 0:
		return ErrNotHeld
	case 1:
		delete(l.held, customer)
	default:
		l.held[customer]--
	}
	l.used--
	return nil
}

// Held returns the requests in progress of one customer.
func (l *Limiter) Held(customer string) int {
	return l.held[customer]
}

// Used returns the requests in progress of all customers.
func (l *Limiter) Used() int {
	return l.used
}
