package entry

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"catkinpoint/conf"
	"catkinpoint/link"
	"catkinpoint/place"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("entry")

// DefaultShutdownTimeout lets requests for long jobs finish after a planned stop.
const DefaultShutdownTimeout = 24 * time.Hour

// DefaultShutdownDelay is long enough for three failed checks of a balancer that asks
// /healthz each second.
const DefaultShutdownDelay = 3 * time.Second

// PermitPolicy selects whether permits are renewed while the store cannot be read.
type PermitPolicy string

// The permit policies.
const (
	// Strict lets permits expire, so starts pause during an outage of the store.
	Strict PermitPolicy = "strict"
	// Witness renews permits while live entries of every region report that they
	// cannot reach the store either. A configuration change that took effect just
	// before the outage goes unnoticed then.
	Witness PermitPolicy = "witness"
)

// Options are the settings of an entry.
type Options struct {
	ID                   string
	DataCentre           string
	Region               string
	RPCAddress           netip.AddrPort
	HTTPAddress          netip.AddrPort
	Store                store.KV
	HeadPeriod           time.Duration // between two reads of the configuration head
	LeaseTTL             time.Duration // of the registration and the claims
	MembershipPeriod     time.Duration // between two reads of registrations, claims and duties
	PermitPolicy         PermitPolicy
	QueueLimit           int // largest number of requests in this process
	MaxBodyBytes         int64
	CallerMemoryMB       int64         // for all that callers make the process hold; 0 means the default of package intake
	RegionBytesPerSecond float64       // budget for job bodies sent to other regions
	Retention            time.Duration // of records and results of ended jobs
	// ShutdownTimeout bounds the wait for requests in progress after a planned stop.
	ShutdownTimeout time.Duration
	// ShutdownDelay is how long an entry that shuts down still accepts connections
	// while its health check fails.
	ShutdownDelay time.Duration
	// NewPolicy returns the placement policy of a new scheduler.
	NewPolicy func() place.Policy
	// Dial opens connections to other processes; nil means TCP.
	Dial link.Dialer
}

// FromSettings returns the options that validated settings describe. Store and
// NewPolicy are left to the caller.
func FromSettings(node *wire.Node, settings *wire.Entry) Options {
	o := Options{
		ID:                   node.GetId(),
		DataCentre:           node.GetDataCentre(),
		Region:               node.GetRegion(),
		PermitPolicy:         PermitPolicy(settings.GetPermitPolicy()),
		QueueLimit:           int(settings.GetQueueLimit()),
		MaxBodyBytes:         settings.GetMaxBodyBytes(),
		CallerMemoryMB:       settings.GetCallerMemoryMb(),
		RegionBytesPerSecond: float64(settings.GetRegionLinkBytesPerSecond()),

		ShutdownTimeout: DefaultShutdownTimeout,
		ShutdownDelay:   DefaultShutdownDelay,
	}
	o.RPCAddress = conf.Address(node.GetRpcAddress())
	o.HTTPAddress = conf.Address(node.GetHttpAddress())
	o.HeadPeriod = conf.Duration(settings.GetHeadPeriod())
	o.LeaseTTL = conf.Duration(settings.GetLeaseTtl())
	o.MembershipPeriod = conf.Duration(settings.GetMembershipPeriod())
	o.Retention = conf.Duration(settings.GetRetention())
	return o
}
