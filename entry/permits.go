package entry

import (
	"context"
	"sync"
	"time"

	"catkinpoint/decl"
	"catkinpoint/permit"
	"catkinpoint/wire"
)

// permitIssuer issues permits from the last read of the configuration head.
type permitIssuer struct {
	entry *Entry
	mu    sync.Mutex
	// witnessedAt is when the last status requests were sent to which entries of
	// every region answered that they could not reach the store either.
	witnessedAt time.Time
}

func newPermitIssuer(e *Entry) *permitIssuer { return &permitIssuer{entry: e} }

// permit returns the permit of the data centre from the last read of the
// configuration head, dated later if witnesses allow it.
func (i *permitIssuer) permit(dc string) permit.Permit {
	current := i.entry.follower.Current()
	p := permit.Permit{DataCentre: dc, Version: current.Set.Version(), ReadAt: current.ReadAt}
	if declared, ok := decl.Lookup[*wire.DataCentre](current.Set, dc); ok {
		p.InService = declared.GetInService()
		p.Draining = declared.GetDrainingEndpoints()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.witnessedAt.After(p.ReadAt) {
		p.ReadAt = i.witnessedAt
	}
	return p
}

// extendFromWitnesses is called when the configuration head could not be read. Under
// the witness policy it extends the permits if live entries of every region cannot
// reach the store either, and none knows a newer configuration.
func (i *permitIssuer) extendFromWitnesses(ctx context.Context) {
	if i.entry.opts.PermitPolicy != Witness {
		return
	}
	askedAt := time.Now()
	v := i.entry.view.Load()
	answers := i.entry.requestStatuses(ctx, v.entries)
	if !i.allRegionsDisconnected(v, answers) {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.witnessedAt = askedAt
}

// allRegionsDisconnected reports whether an entry of every declared region has
// answered, and none that answered can reach the store or has a newer configuration
// than this entry. It is false until this entry has read a configuration.
func (i *permitIssuer) allRegionsDisconnected(v *clusterView, answers map[string]*wire.StatusResponse) bool {
	set := i.entry.follower.Current().Set
	answeredRegions := make(map[string]bool)
	for _, registration := range v.entries {
		status, ok := answers[registration.GetId()]
		if !ok {
			continue
		}
		if status.GetStoreReachable() || status.GetVersion() > set.Version() {
			return false
		}
		answeredRegions[registration.GetRegion()] = true
	}
	for _, dc := range decl.All[*wire.DataCentre](set) {
		if !answeredRegions[dc.GetRegion()] {
			return false
		}
	}
	return set.Version() > 0
}
