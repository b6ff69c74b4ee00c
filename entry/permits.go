package entry

import (
	"context"
	"sync"
	"time"

	"catkinpoint/decl"
	"catkinpoint/permit"
	"catkinpoint/wire"
)

// issuer makes permits from the last read of the configuration head.
type issuer struct {
	entry *Entry
	mu    sync.Mutex
	// witnessed is the last time at which entries of every region said that
	// they could not reach the store either.
	witnessed time.Time
}

func newIssuer(e *Entry) *issuer { return &issuer{entry: e} }

// permit returns the newest permit of the data centre.
func (i *issuer) permit(dc string) permit.Permit {
	current := i.entry.follower.Current()
	p := permit.Permit{DataCentre: dc, Version: current.Set.Version(), ReadAt: current.ReadAt}
	if declared, ok := decl.Lookup[*wire.DataCentre](current.Set, dc); ok {
		p.InService = declared.GetInService()
		p.Draining = declared.GetDrainingEndpoints()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.witnessed.After(p.ReadAt) {
		p.ReadAt = i.witnessed
	}
	return p
}

// storeFailed extends the permits under the witness policy if live entries of
// every region cannot reach the store, and none knows a newer configuration.
func (i *issuer) storeFailed(ctx context.Context) {
	if i.entry.opts.PermitPolicy != Witness {
		return
	}
	asked := time.Now()
	v := i.entry.view.Load()
	answers := i.entry.askAll(ctx, v.entries)
	if !i.allCutOff(v, answers) {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.witnessed = asked
}

func (i *issuer) allCutOff(v *view, answers map[string]*wire.StatusResponse) bool {
	set := i.entry.follower.Current().Set
	answered := make(map[string]bool) // by region
	for _, registration := range v.entries {
		status, ok := answers[registration.GetId()]
		if !ok {
			continue
		}
		if status.GetStoreReachable() || status.GetVersion() > set.Version() {
			return false
		}
		answered[registration.GetRegion()] = true
	}
	for _, dc := range decl.All[*wire.DataCentre](set) {
		if !answered[dc.GetRegion()] {
			return false
		}
	}
	return set.Version() > 0
}
