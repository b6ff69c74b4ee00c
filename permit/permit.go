package permit

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"catkinpoint/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("permit")

var (
	// ErrExpired means that the permit is older than allowed, or that there is none.
	ErrExpired = Error.New("no permit of the allowed age")
	// ErrOutOfService means that the data centre was taken out of service.
	ErrOutOfService = Error.New("data centre is out of service")
	// ErrDraining means that the endpoint is in graceful shutdown.
	ErrDraining = Error.New("endpoint is in graceful shutdown")
)

// Permit is the state of a data centre as of a time on the local clock.
type Permit struct {
	DataCentre string
	InService  bool
	// Version is the version of the configuration that was read.
	Version int64
	// ReadAt is a time on the local clock, not later than the moment at which the
	// read of the configuration head took effect.
	ReadAt time.Time
	// Draining lists the workers whose endpoint is in graceful shutdown.
	Draining []string
}

// FromWire converts a received permit. sent is a time before the request for it
// was sent; the permit's age on arrival is counted back from there.
func FromWire(p *wire.Permit, sent time.Time) Permit {
	return Permit{
		DataCentre: p.GetDataCentre(),
		InService:  p.GetInService(),
		Version:    p.GetVersion(),
		ReadAt:     sent.Add(-time.Duration(p.GetAgeMs()) * time.Millisecond),
		Draining:   p.GetDrainingEndpoints(),
	}
}

// ToWire returns the permit with its age at now, rounded up.
func (p Permit) ToWire(now time.Time) *wire.Permit {
	age := now.Sub(p.ReadAt) + time.Millisecond - 1
	return &wire.Permit{
		DataCentre:        p.DataCentre,
		InService:         p.InService,
		Version:           p.Version,
		AgeMs:             age.Milliseconds(),
		DrainingEndpoints: p.Draining,
	}
}

// Newer reports whether p replaces old. Versions never decrease, so the higher
// version is the newer one; of the same version it is the later read.
func (p Permit) Newer(old Permit) bool {
	if p.Version != old.Version {
		return p.Version > old.Version
	}
	return p.ReadAt.After(old.ReadAt)
}

// Remaining returns the time until the permit is older than maxAge. It is negative
// once the permit has expired.
func (p Permit) Remaining(now time.Time, maxAge time.Duration) time.Duration {
	return p.ReadAt.Add(maxAge).Sub(now)
}

// Check returns nil if a task may start on the worker at now, and otherwise an
// error that wraps ErrExpired, ErrOutOfService or ErrDraining.
func (p Permit) Check(worker string, now time.Time, maxAge time.Duration) error {
	switch {
	case p.Remaining(now, maxAge) <= 0:
		return fmt.Errorf("permit for %s: %w", worker, ErrExpired)
	case !p.InService:
		return fmt.Errorf("permit for %s: %w", worker, ErrOutOfService)
	case slices.Contains(p.Draining, worker):
		return fmt.Errorf("permit for %s: %w", worker, ErrDraining)
	}
	return nil
}
