package entry

import (
	"context"

	"catkinpoint/wire"
)

// service is the net/rpc receiver of an entry.
type service struct{ entry *Entry }

// Locate tells an agent the scheduler of its data centre.
func (v *service) Locate(request *wire.LocateRequest, response *wire.LocateResponse) error {
	if held := v.entry.host.Get(request.GetDataCentre()); held != nil {
		// The duty is here, even if the store's list was not read since.
		response.Duty = &wire.Duty{Epoch: held.Epoch(), Holder: v.entry.opts.ID, Address: v.entry.opts.RPCAddress.String()}
		return nil
	}
	if d, ok := v.entry.view.Load().duties[request.GetDataCentre()]; ok {
		response.Duty = d.Duty
	}
	return nil
}

// Status tells what the entry knows.
func (v *service) Status(_ *wire.StatusRequest, response *wire.StatusResponse) error {
	status := v.entry.status(context.Background())
	response.Id, response.Version = status.GetId(), status.GetVersion()
	response.Duties, response.StoreReachable = status.GetDuties(), status.GetStoreReachable()
	return nil
}

// Confirm lists the registered entries, and the data centres whose agents, that
// have not applied the version yet. It implements oper.Confirmer.
func (e *Entry) Confirm(ctx context.Context, version int64) ([]string, error) {
	v, err := e.readView(ctx)
	if err != nil {
		return nil, err
	}
	var missing []string
	answers := e.askAll(ctx, v.entries)
	for _, registration := range v.entries {
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
