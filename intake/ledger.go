package intake

import (
	"container/list"
	"time"
)

// Phase is what a connection does.
type Phase int

// Phases.
const (
	// Idle means that a connection has sent no part of the next request.
	Idle Phase = iota
	// Heading means that it has not sent all headers, or nothing yet.
	Heading
	// Sending means that it has not sent all of the body, which is being read.
	Sending
	// Waiting means that it waits for room.
	Waiting
	// Serving means that the process works on the request.
	Serving
	// Answering means that the answer is being sent, or is still to be.
	Answering
	// Closing means that the answer was sent and the rest of the body is thrown away.
	Closing
)

const (
	// steadyRate is the rate below which a client falls behind, bytes a second. The
	// largest body within the 3 s for which a caller waits comes at 87 kB/s.
	steadyRate = 64 << 10
	// patience is how far behind a client may be while others need its room.
	patience = 250 * time.Millisecond
	// connectionPatience is how far behind a client may be while others wait for a
	// connection. Ordinary callers send their headers at once. Shorter than patience, as
	// a client needs nothing but a connection to take all of them.
	connectionPatience = 50 * time.Millisecond
	// spareShare is the part of the connections that are kept for new ones while others
	// are being closed for them.
	spareShare = 8
	// leastRate is the rate that a body needs also without shortage, bytes a second.
	leastRate = 4 << 10
)

// Holder is what one connection holds.
type Holder struct {
	phase    Phase
	since    time.Duration // beginning of the phase
	received int64         // in the phase, bytes
	small    int64         // held besides large, bytes
	large    int64         // held for a body above smallBytes, bytes
	// wantsLarge reports whether the connection waits for room for a large body.
	wantsLarge bool
	wants      int64           // bytes for which it waits, or has waited last
	dropped    bool            // is to be closed
	writing    bool            // an answer is being written
	closed     bool            // is not in Ledger.holders
	place      *list.Element   // in Ledger.holders
	close      func(idle bool) // closes the connection
}

// behind returns how far the connection is behind a steady client. It is negative if the
// connection is not to be closed for others.
func (h *Holder) behind(now time.Duration) time.Duration {
	switch h.phase {
	case Serving:
		return -1
	case Sending:
		return now - h.since - time.Duration(float64(h.received)/steadyRate*float64(time.Second))
	}
	return now - h.since
}

// sum returns the bytes that the connection holds.
func (h *Holder) sum() int64 { return connectionBytes + h.small + h.large }

// enter begins a phase.
func (h *Holder) enter(now time.Duration, phase Phase) {
	h.phase, h.since, h.received = phase, now, 0
}

// Ledger is what the clients of a process hold in sum. It answers the load of clients
// that hold as much as they can, for as long as they can: it admits what fits the limits,
// and names who is closed for others.
type Ledger struct {
	limits  Limits
	holders *list.List // of *Holder, the oldest connection first
	dropped int        // holders that are being closed
	small   int64
	large   int64
}

// NewLedger returns a ledger without holders.
func NewLedger(limits Limits) *Ledger { return &Ledger{limits: limits, holders: list.New()} }

// SetLimits puts other limits into force. Nobody is closed for them at once.
func (l *Ledger) SetLimits(limits Limits) { l.limits = limits }

// Held returns the bytes that are held in sum.
func (l *Ledger) Held() int64 {
	return int64(l.holders.Len())*connectionBytes + l.small + l.large
}

// Connections returns the number of open connections.
func (l *Ledger) Connections() int { return l.holders.Len() }

// Open admits a connection, or returns nil if there is no room. One that takes one of the
// last places has another one, which is returned too if there is one, closed for it.
func (l *Ledger) Open(now time.Duration) (h, victim *Holder) {
	if l.holders.Len()-l.dropped >= l.limits.Connections-l.limits.Connections/spareShare {
		if victim = l.forConnection(now); victim != nil {
			l.Drop(victim)
		}
	}
	if l.holders.Len() >= l.limits.Connections {
		return nil, victim
	}
	h = &Holder{phase: Heading, since: now}
	h.place = l.holders.PushBack(h)
	return h, victim
}

// Drop marks a connection as one that is being closed for others.
func (l *Ledger) Drop(h *Holder) {
	if !h.dropped {
		h.dropped = true
		l.dropped++
	}
}

// Close removes a connection and all that it holds.
func (l *Ledger) Close(h *Holder) {
	l.Release(h)
	l.holders.Remove(h.place)
	h.closed = true
	if h.dropped {
		l.dropped--
	}
}

// Release takes back all that a connection holds besides itself.
func (l *Ledger) Release(h *Holder) {
	l.small, l.large = l.small-h.small, l.large-h.large
	h.small, h.large = 0, 0
}

// Hold reports whether the connection may hold more bytes, and counts them if so. large
// says that they are for a body above smallBytes.
func (l *Ledger) Hold(h *Holder, bytes int64, large bool) bool {
	if h.closed {
		return false // what it holds would never be released
	}
	limit := l.limits.Bytes - int64(l.limits.Connections)*connectionBytes
	if h.sum()+bytes > l.limits.Ordinary {
		limit -= limit / 4
	}
	used := l.small + l.large
	fits := used+bytes <= limit
	if large {
		alone := l.large == h.large
		if alone {
			fits = fits || used-h.large <= limit/2
		} else {
			fits = fits && l.large+bytes <= l.limits.Large
		}
		if fits {
			l.large, h.large = l.large+bytes, h.large+bytes
		}
		return fits
	}
	if fits {
		l.small, h.small = l.small+bytes, h.small+bytes
	}
	return fits
}

// forConnection returns the connection that is to be closed for a new one, or nil.
func (l *Ledger) forConnection(now time.Duration) *Holder {
	var victim *Holder
	var first int
	var longest time.Duration
	for place := l.holders.Front(); place != nil; place = place.Next() {
		h := place.Value.(*Holder)
		behind, rank := h.behind(now), h.rank()
		if h.dropped || behind < 0 || rank < 3 && behind < connectionPatience || rank < 1 && behind < patience {
			continue
		}
		if victim == nil || rank > first || rank == first && behind > longest {
			victim, first, longest = h, rank, behind
		}
	}
	return victim
}

// rank orders the connections that may be closed for a new one: those that ask for nothing
// come first, and then those whose requests are further from being served.
func (h *Holder) rank() int {
	switch {
	case h.phase == Idle || h.phase == Closing:
		return 3
	case h.phase == Heading || h.phase == Waiting && h.wantsLarge:
		return 2
	case h.phase == Waiting:
		return 0
	}
	return 1
}

// waitsLike reports whether the connection waits for room as the asking one does and holds
// no more than that: it is not slower, and closing it leaves the same lack of room.
func (h *Holder) waitsLike(asking *Holder, large bool) bool {
	return asking != nil && h.phase == Waiting && h.wantsLarge == large && h.sum() <= asking.sum()
}

// ForBytes returns the connection that is to be closed so that another one may hold more
// bytes, or nil. large says that these are for a body above smallBytes. For an ordinary
// request, those that only wait for room for such a body are closed at once: a crowd of them holds as
// much in the kernel as all ordinary requests may.
func (l *Ledger) ForBytes(now time.Duration, asking *Holder, large bool) *Holder {
	var victim *Holder
	var most float64
	onlyLarge := large && l.large > l.limits.Large/2
	ordinary := !large && (asking == nil || asking.sum()+asking.wants <= l.limits.Ordinary)
	for place := l.holders.Front(); place != nil; place = place.Next() {
		h := place.Value.(*Holder)
		behind, needed := h.behind(now), patience
		if ordinary && h.phase == Waiting && h.wantsLarge {
			needed = 0
		}
		if h == asking || h.dropped || behind < needed || onlyLarge && h.large == 0 || h.waitsLike(asking, large) {
			continue
		}
		if score := behind.Seconds() * float64(h.sum()); victim == nil || score > most {
			victim, most = h, score
		}
	}
	return victim
}

// bodyDeadline returns until when the next part of a body must arrive. received counts
// the bytes that have arrived since start.
func bodyDeadline(now, start time.Duration, received int64, stall time.Duration) time.Duration {
	slowest := start + stall + time.Duration(float64(received)/leastRate*float64(time.Second))
	return min(now+stall, slowest)
}
