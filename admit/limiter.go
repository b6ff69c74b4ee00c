package admit

// LimiterOptions are the limits of a Limiter; zero values mean the defaults.
type LimiterOptions struct {
	// Total is the maximum number of concurrent requests of the process.
	Total int
	// CustomerLimit is the maximum number of concurrent requests of a customer
	// without a limit of its own.
	CustomerLimit int
}

// Limiter limits the concurrent requests of one process, for each customer and
// in total. It is not safe for concurrent use.
type Limiter struct {
	options    LimiterOptions
	limits     map[string]int // by customer
	inProgress map[string]int // requests by customer
	total      int
}

// NewLimiter returns a limiter without requests in progress.
func NewLimiter(options LimiterOptions) *Limiter {
	setDefault(&options.Total, DefaultLimit)
	setDefault(&options.CustomerLimit, DefaultCustomerLimit)
	return &Limiter{options: options, inProgress: make(map[string]int)}
}

// SetCustomers replaces the limits of all customers. Requests in progress above
// a lowered limit continue, and new ones are refused until enough have ended.
func (l *Limiter) SetCustomers(customers []Customer) {
	l.limits = make(map[string]int, len(customers))
	for _, c := range customers {
		if c.Limit > 0 {
			l.limits[c.Name] = c.Limit
		}
	}
}

// Acquire admits one request of the customer, or returns a *Refusal. Release
// must be called when an admitted request ends.
func (l *Limiter) Acquire(customer string) error {
	limit, ok := l.limits[customer]
	if !ok {
		limit = l.options.CustomerLimit
	}
	reason := checkLimits(l.inProgress[customer], limit, l.total, l.options.Total, len(l.inProgress))
	if reason != 0 {
		return &Refusal{Reason: reason, Customer: customer, RetryAfter: minRetryAfter}
	}
	l.inProgress[customer]++
	l.total++
	return nil
}

// Release ends one request of the customer; it returns ErrNotAcquired if none is in
// progress.
func (l *Limiter) Release(customer string) error {
	switch l.inProgress[customer] {
	case 0:
		return ErrNotAcquired
	case 1:
		delete(l.inProgress, customer)
	default:
		l.inProgress[customer]--
	}
	l.total--
	return nil
}

// InProgress returns the number of requests in progress of one customer.
func (l *Limiter) InProgress(customer string) int {
	return l.inProgress[customer]
}

// TotalInProgress returns the number of requests in progress of all customers.
func (l *Limiter) TotalInProgress() int {
	return l.total
}
