package agent

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"catkinpoint/conf"
	"catkinpoint/gang"
	"catkinpoint/link"
	"catkinpoint/wire"
)

// Error is the class of all errors of this package.
var Error = errs.Class("agent")

// Options are the settings of an agent.
type Options struct {
	Worker       string
	Rack         string
	DataCentre   string
	Service      string
	Address      netip.AddrPort // for the scheduler and other agents
	Entries      []netip.AddrPort
	Endpoint     netip.AddrPort
	Accelerators int
	Slots        int
	Connections  int
	ReportPeriod time.Duration
	TaskLease    time.Duration
	PermitAge    time.Duration
	Timers       gang.Timers
	// Dial opens connections to processes and to the endpoint; nil means TCP.
	Dial link.Dialer
}

// FromSettings returns the options that checked settings describe.
func FromSettings(node *wire.Node, settings *wire.Agent) Options {
	o := Options{
		Worker:       settings.GetWorker(),
		Rack:         settings.GetRack(),
		DataCentre:   node.GetDataCentre(),
		Service:      settings.GetService(),
		Accelerators: int(settings.GetAccelerators()),
		Slots:        int(settings.GetSlots()),
		Connections:  int(settings.GetConnections()),
		Timers:       gang.DefaultTimers(),
	}
	o.Address = conf.Address(node.GetRpcAddress())
	o.Endpoint = conf.Address(settings.GetEndpointAddress())
	for _, text := range settings.GetEntryAddresses() {
		o.Entries = append(o.Entries, conf.Address(text))
	}
	o.ReportPeriod = conf.Duration(settings.GetReportPeriod())
	o.TaskLease = conf.Duration(settings.GetTaskLease())
	o.PermitAge = conf.Duration(settings.GetPermitAge())
	o.Timers.PrepareTTL = conf.Duration(settings.GetPrepareTtl())
	o.Timers.BarrierTimeout = conf.Duration(settings.GetBarrierTimeout())
	return o
}
