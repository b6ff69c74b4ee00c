package admit

import (
	"maps"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of EgressOptions. The rate, in bytes per second, is about half of a
// 30 Mbit/s link, which other traffic shares.
const (
	DefaultEgressRate  = 2_000_000
	DefaultEgressBurst = time.Second
)

// EgressOptions are the limits of an Egress; zero values mean the defaults.
type EgressOptions struct {
	// Local is the region of this process; traffic within it is free and is not
	// counted.
	Local string
	// Rate is the limit for all other regions together, in bytes per second.
	Rate int
	// Burst limits what may be sent at once after a pause: Rate times Burst bytes.
	Burst time.Duration
}

// Egress counts and limits the bytes that a process sends to other regions over
// the paid link. It is not safe for concurrent use.
type Egress struct {
	local   string
	limiter *rate.Limiter
	sent    map[string]int64 // bytes by destination region
	refused map[string]int64 // bytes by destination region
}

// NewEgress returns an Egress with its full burst available.
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

// Reserve counts bytes sent to a region and returns how long to wait before
// sending them. If that is longer than maxDelay, it returns a *Refusal and
// counts the bytes as refused only. A message larger than the burst waits until
// the rate has covered the excess.
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

// Count charges bytes to a region without delay or refusal. It is meant for
// control traffic, which must not be held back; later calls of Reserve wait
// until the rate has covered it.
func (e *Egress) Count(now time.Time, region string, bytes int) {
	if region == e.local {
		return
	}
	e.sent[region] += int64(bytes)
	// rate.Limiter refuses a single reservation above its burst.
	burst := e.limiter.Burst()
	for ; bytes > 0; bytes -= burst {
		e.limiter.ReserveN(now, min(bytes, burst))
	}
}

// Sent returns the bytes sent so far, by destination region.
func (e *Egress) Sent() map[string]int64 {
	return maps.Clone(e.sent)
}

// Refused returns the bytes refused so far, by destination region.
func (e *Egress) Refused() map[string]int64 {
	return maps.Clone(e.refused)
}
