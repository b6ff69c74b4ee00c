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
	Address      netip.AddrPort // at which the scheduler and other agents call this one
	Entries      []netip.AddrPort
	Endpoint     netip.AddrPort
	Accelerators int           // of the worker
	Slots        int           // largest number of tasks that are prepared or running
	Connections  int           // largest number of open connections to the endpoint
	ReportPeriod time.Duration // between two reports to the scheduler
	TaskLease    time.Duration // for which the endpoint runs a task without a renewal
	PermitAge    time.Duration // above which a permit is not valid
	Timers       gang.Timers
	// Dial opens connections to processes and to the endpoint; nil means TCP.
	Dial link.Dialer
}

// FromSettings converts settings, which must be valid, to options.
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
	o.Timers.PreparedTimeout = conf.Duration(settings.GetPrepareTtl())
	o.Timers.BarrierTimeout = conf.Duration(settings.GetBarrierTimeout())
	return o
}
