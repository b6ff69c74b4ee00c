package intake

import "time"

const (
	bytesPerMB = 1 << 20
	// budgetShare is the part of the memory of a process that clients may take. The rest
	// is for the process's own state and for garbage between two collections.
	budgetShare = 1.0 / 3
	// unlimitedBudget is the budget of a process without a memory limit, bytes.
	unlimitedBudget = 128 * bytesPerMB
	// leastBudget has room for one largest body and a few dozen ordinary requests, bytes.
	leastBudget = 8 * bytesPerMB
	// reservedDescriptors are kept for files (200 by the platform's pages), for the
	// process's own links, and for listeners with an Intake of their own.
	reservedDescriptors = 400
	// leastConnections are allowed whatever the descriptors are.
	leastConnections = 16
	// connectionBytes is what a connection costs without a request: the stacks of its
	// goroutines, two buffers of 4 kB, and its structs.
	connectionBytes = 24 << 10
	// defaultSocketBytes is the default of Resources.SocketBytes.
	defaultSocketBytes = 16 << 10
	// servingFactor is what the kernel may hold of a connection that is not read while
	// its request is served, in socket sizes, which the kernel doubles: the receive
	// buffer, and half of the send buffer, as answers are much shorter than that.
	servingFactor = 3
	// defaultBodyFactor is the default of Resources.BodyFactor. It is for a JSON body: the
	// buffer, the decoded job, its copy, its encoded forms, and what the buffer leaves
	// while it grows.
	defaultBodyFactor = 8
	// backlog is the number of connections that wait to be accepted. The kernel may hold
	// a receive buffer for each of them, 4 MB in sum.
	backlog = 128
	// headerFactor is the memory that a byte of headers takes at most: a header of three
	// bytes becomes a string, a list of values and a place in a map.
	headerFactor = 20
	// MaxHeaderBytes is the largest head of a request by the platform's pages.
	MaxHeaderBytes = 16384
	// smallBytes is the size above which a body counts as large; ordinary ones are
	// smaller.
	smallBytes = 20 << 10
	// firstBytes and largeBytes are the first and the third step in which room is taken
	// for a body of unknown length; the second one is smallBytes. The third one is a byte
	// longer than the largest legal body, so that its end is seen without a fourth one.
	firstBytes = 4 << 10
	largeBytes = 256<<10 + 1
	// ordinaryBytes is what a connection with an ordinary request holds at most, besides
	// the connection and the kernel's buffers. Only those take the last quarter of the
	// budget.
	ordinaryBytes = 56 << 10
)

// Limits are the bounds of a Ledger.
type Limits struct {
	// Bytes bounds the sum of what is held.
	Bytes int64
	// Large bounds what is held for bodies above smallBytes.
	Large int64
	// Connections bounds the number of open connections.
	Connections int
	// Ordinary bounds what a connection with an ordinary request holds.
	Ordinary int64
}

// Resources are what the process has, and what its settings say.
type Resources struct {
	Name        string        // of the listeners, in log lines and metrics
	MemoryMB    int64         // of the process; 0 means no limit
	BudgetMB    int64         // for clients; 0 means a share of MemoryMB
	Connections int64         // largest number; 0 means as many as memory and descriptors allow
	Descriptors int64         // of the process; 0 means not known
	Stall       time.Duration // in which a client must make progress; 0 means 5 s
	// SocketBytes is the size of the kernel's buffers of a connection, each way; 0 means
	// 16 kB.
	SocketBytes int
	// BodyFactor is the memory that a byte of a body takes at most, from its first byte
	// to the answer; 0 means that of a JSON body, 8.
	BodyFactor int64
}

// withDefaults returns the resources with the defaults of the values that are not set.
func (r Resources) withDefaults() Resources {
	if r.Stall <= 0 {
		r.Stall = defaultStall
	}
	if r.SocketBytes <= 0 {
		r.SocketBytes = defaultSocketBytes
	}
	if r.BodyFactor <= 0 {
		r.BodyFactor = defaultBodyFactor
	}
	return r
}

// LimitsOf returns the limits of a process with the resources.
func LimitsOf(r Resources) Limits {
	budget := int64(unlimitedBudget)
	switch {
	case r.BudgetMB > 0:
		budget = r.BudgetMB * bytesPerMB
	case r.MemoryMB > 0:
		budget = int64(budgetShare * float64(r.MemoryMB*bytesPerMB))
	}
	budget = max(budget, leastBudget)
	connections := budget / 3 / connectionBytes
	if r.Descriptors > 0 {
		connections = min(connections, r.Descriptors-reservedDescriptors)
	}
	if r.Connections > 0 {
		connections = min(connections, r.Connections)
	}
	ordinary := connectionBytes + servingFactor*int64(r.withDefaults().SocketBytes) + ordinaryBytes
	return Limits{Bytes: budget, Large: budget / 3, Connections: int(max(connections, leastConnections)), Ordinary: ordinary}
}

// nextReserve returns the length for which room is taken for a body, bytes, when what was
// taken before is used up. declared is the length of the body, or negative if that is not
// known.
func nextReserve(taken, declared int64) int64 {
	switch {
	case taken == 0 && declared >= 0:
		return min(declared, largeBytes)
	case taken < firstBytes:
		return firstBytes
	case taken < smallBytes:
		return smallBytes
	case taken < largeBytes:
		return largeBytes
	}
	return 2 * taken
}
