package entry

import (
	"context"

	"catkinpoint/wire"
)

// service is the net/rpc receiver of an entry.
type service struct{ entry *Entry }

// Locate returns the duty of the data centre, with the address at which an agent
// finds its scheduler; it is empty if no duty is known.
func (s *service) Locate(request *wire.LocateRequest, response *wire.LocateResponse) error {
	if scheduler := s.entry.host.Get(request.GetDataCentre()); scheduler != nil {
		// This entry holds the duty, even if the view was read before it took over.
		response.Duty = &wire.Duty{Epoch: scheduler.Epoch(), Holder: s.entry.opts.ID, Address: s.entry.opts.RPCAddress.String()}
		return nil
	}
	if d, ok := s.entry.view.Load().duties[request.GetDataCentre()]; ok {
		response.Duty = d.Duty
	}
	return nil
}

// Status returns the configuration version of this entry, the status of its duties,
// and whether it can reach the store.
func (s *service) Status(_ *wire.StatusRequest, response *wire.StatusResponse) error {
	status := s.entry.ownStatus(context.Background())
	response.Id, response.Version = status.GetId(), status.GetVersion()
	response.Duties, response.StoreReachable = status.GetDuties(), status.GetStoreReachable()
	return nil
}

// Confirm returns the registered entries that have not applied the version yet or do
// not answer, and the data centres with agents that have not applied it. It implements
// oper.Confirmer.
func (e *Entry) Confirm(ctx context.Context, version int64) ([]string, error) {
	view, err := e.readView(ctx)
	if err != nil {
		return nil, err
	}
	var missing []string
	answers := e.requestStatuses(ctx, view.entries)
	for _, registration := range view.entries {
		status, ok := answers[registration.GetId()]
		if !ok || status.GetVersion() < version {
			missing = append(missing, "entry "+registration.GetId())
		}
		for _, d := range status.GetDuties() {
			if lowest := d.GetLowestAgentVersion(); lowest >= 0 && lowest < version {
				missing = append(missing, "agents of "+d.GetDataCentre())
			}
		}
	}
	return missing, nil
}
