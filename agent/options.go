package agent

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

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

// FromSettings returns the options that the settings describe.
func FromSettings(node *wire.Node, settings *wire.Agent) (Options, error) {
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
	var group errs.Group
	parseAddr := func(text string) netip.AddrPort {
		addr, err := netip.ParseAddrPort(text)
		group.Add(err)
		return addr
	}
	parseDuration := func(text string) time.Duration {
		d, err := time.ParseDuration(text)
		group.Add(err)
		return d
	}
	o.Address = parseAddr(node.GetRpcAddress())
	o.Endpoint = parseAddr(settings.GetEndpointAddress())
	for _, text := range settings.GetEntryAddresses() {
		o.Entries = append(o.Entries, parseAddr(text))
	}
	o.ReportPeriod = parseDuration(settings.GetReportPeriod())
	o.TaskLease = parseDuration(settings.GetTaskLease())
	o.PermitAge = parseDuration(settings.GetPermitAge())
	o.Timers.PrepareTTL = parseDuration(settings.GetPrepareTtl())
	o.Timers.BarrierTimeout = parseDuration(settings.GetBarrierTimeout())
	if err := group.Err(); err != nil {
		return Options{}, fmt.Errorf("reading agent settings: %w", Error.Wrap(err))
	}
	return o, nil
}
