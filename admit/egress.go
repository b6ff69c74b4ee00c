package admit

import (
	"maps"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of EgressOptions: about half of a 30 Mbit/s link, which other
// traffic shares.
const (
	DefaultEgressRate  = 2_000_000
	DefaultEgressBurst = time.Second
)

// EgressOptions are the bounds of an Egress; zero values stand for the defaults.
type EgressOptions struct {
	// Local is the region of this process; traffic within it is free.
	Local string
	// Rate is the budget for all other regions together, bytes a second.
	Rate int
	// Burst is the time whose budget may be sent at once after a pause.
	Burst time.Duration
}

// Egress counts and bounds the bytes that a process sends to other regions over
// the paid link; it has one owner.
type Egress struct {
	local   string
	limiter *rate.Limiter
	sent    map[string]int64
	refused map[string]int64
}

// NewEgress returns an egress with a full burst.
func NewEgress(options EgressOptions) *Egress {
	setDefault(&options.Rate, DefaultEgressRate)
	setDefault(&options.Burst, DefaultEgressBurst)
	burst := max(1, int(float64(options.Rate)*options.Burst.Seconds()))
	return &Egress{
		local:   options.Local,
		limiter: rate.NewLimiter(rate.Limit(options.Rate), burst),
		sent:    make(map[string]int64),
		refused: make(map[string]int64),
	}
}

// Reserve counts bytes to a region and returns how long to wait before sending
// them. It returns a *Refusal, and counts nothing as sent, if that is longer
// than maxDelay; a message larger than the burst waits for its whole excess.
func (e *Egress) Reserve(now time.Time, region string, bytes int, maxDelay time.Duration) (time.Duration, error) {
	if region == e.local {
		return 0, nil
	}
	missing := float64(bytes) - e.limiter.TokensAt(now)
	delay := time.Duration(max(0, missing) / float64(e.limiter.Limit()) * float64(time.Second))
	if delay > maxDelay {
		e.refused[region] += int64(bytes)
		return 0, &Refusal{Reason: RateExceeded, Wait: delay, RetryAfter: retryAfter(delay - maxDelay)}
	}
	e.Count(now, region, bytes)
	return delay, nil
}

// Count charges bytes to a region without a limit. It is meant for control
// traffic, which must pass; later calls of Reserve wait for it.
func (e *Egress) Count(now time.Time, region string, bytes int) {
	if region == e.local {
		return
	}
	e.sent[region] += int64(bytes)
	// The limiter refuses single reservations above its burst.
	burst := e.limiter.Burst()
	for ; bytes > 0; bytes -= burst {
		e.limiter.ReserveN(now, min(bytes, burst))
	}
}

// Sent returns the bytes counted so far by destination region.
func (e *Egress) Sent() map[string]int64 {
	return maps.Clone(e.sent)
}

// Refused returns the bytes refused so far by destination region.
func (e *Egress) Refused() map[string]int64 {
	return maps.Clone(e.refused)
}
