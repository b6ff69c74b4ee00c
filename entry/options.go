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

// DefaultLeaveGrace gives a balancer that asks /healthz each second three tries.
const DefaultLeaveGrace = 3 * time.Second

// PermitPolicy says when permits are issued while the store cannot be read.
type PermitPolicy string

// The permit policies.
const (
	// Strict lets permits run out, so starts pause during an outage.
	Strict PermitPolicy = "strict"
	// Witness goes on while live entries of every region cannot reach the store
	// either; a change that took effect just before the outage is not seen then.
	Witness PermitPolicy = "witness"
)

// Options are the settings of an entry.
type Options struct {
	ID               string
	DataCentre       string
	Region           string
	RPCAddress       netip.AddrPort
	HTTPAddress      netip.AddrPort
	Store            store.KV
	HeadPeriod       time.Duration
	LeaseTTL         time.Duration
	MembershipPeriod time.Duration
	PermitPolicy     PermitPolicy
	QueueLimit       int
	MaxBodyBytes     int64
	RegionBytes      float64 // budget for traffic to other regions, bytes a second
	Retention        time.Duration
	// ShutdownTimeout bounds the wait for requests in progress after a planned stop.
	ShutdownTimeout time.Duration
	// LeaveGrace is how long an entry that leaves still takes connections.
	LeaveGrace time.Duration
	// NewPolicy makes the placement policy of a scheduler.
	NewPolicy func() place.Policy
	// Dial opens connections to other processes; nil means TCP.
	Dial link.Dialer
}

// FromSettings returns the options that checked settings describe, without the store.
func FromSettings(node *wire.Node, settings *wire.Entry) Options {
	o := Options{
		ID:           node.GetId(),
		DataCentre:   node.GetDataCentre(),
		Region:       node.GetRegion(),
		PermitPolicy: PermitPolicy(settings.GetPermitPolicy()),
		QueueLimit:   int(settings.GetQueueLimit()),
		MaxBodyBytes: settings.GetMaxBodyBytes(),
		RegionBytes:  float64(settings.GetRegionLinkBytesPerSecond()),

		ShutdownTimeout: DefaultShutdownTimeout,
		LeaveGrace:      DefaultLeaveGrace,
	}
	o.RPCAddress = conf.Address(node.GetRpcAddress())
	o.HTTPAddress = conf.Address(node.GetHttpAddress())
	o.HeadPeriod = conf.Duration(settings.GetHeadPeriod())
	o.LeaseTTL = conf.Duration(settings.GetLeaseTtl())
	o.MembershipPeriod = conf.Duration(settings.GetMembershipPeriod())
	o.Retention = conf.Duration(settings.GetRetention())
	return o
}
