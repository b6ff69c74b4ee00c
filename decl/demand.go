package decl

import (
	"cmp"
	"slices"

	"catkinpoint/wire"
)

// demand is a guarantee as the solver sees it: a number of equal shapes and the
// sites on which they can be placed.
type demand struct {
	name      string // of the guarantee
	size      int    // accelerators of one shape
	adjacency string
	count     int   // number of shapes
	sites     []int // indexes into assignmentProblem.sites, preferred first
}

// assignmentProblem is the problem of assigning every shape of every demand to a site.
//
// A shape that is larger than the largest worker of its site takes whole
// workers of that size and one part of a worker for the rest, as in package
// place. Every part of a shape occupies a slot of its worker.
type assignmentProblem struct {
	sites   []*site
	demands []demand
}

// newProblem returns the problem of the guarantees of a set and its data
// centres, without the data centres for which excluded returns true.
func newProblem(s *Set, inventory Inventory, excluded func(name string) bool) *assignmentProblem {
	p := &assignmentProblem{}
	siteIndexes := map[string]int{}
	for name, dc := range All[*wire.DataCentre](s) {
		if excluded(name) {
			continue
		}
		siteIndexes[name] = len(p.sites)
		p.sites = append(p.sites, newSite(name, dc, inventory, minSlots(s, name)))
	}
	for name, g := range All[*wire.Guarantee](s) {
		d := demand{name: name, size: int(g.Accelerators), adjacency: g.Adjacency, count: int(g.Count)}
		for _, dc := range g.DataCentres {
			if i, ok := siteIndexes[dc]; ok {
				d.sites = append(d.sites, i)
			}
		}
		p.demands = append(p.demands, d)
	}
	return p
}

// minSlots returns the smallest number of slots of all services that run in a
// data centre, because a guarantee does not name the service whose workers meet it.
func minSlots(s *Set, dataCentre string) int {
	slots := noSlotLimit
	for _, service := range All[*wire.Service](s) {
		if len(service.DataCentres) == 0 || slices.Contains(service.DataCentres, dataCentre) {
			slots = min(slots, int(service.Slots))
		}
	}
	return slots
}

// needsRack reports whether a shape needs several workers of one rack on any of
// its sites.
func (p *assignmentProblem) needsRack(d demand) bool {
	return d.adjacency == AdjacentRack && slices.ContainsFunc(d.sites, func(i int) bool { return d.size > p.sites[i].workerSize })
}

// placementOrder is a sort key that orders the demands that need racks before the others.
func (p *assignmentProblem) placementOrder(d demand) int {
	if p.needsRack(d) {
		return 0
	}
	return 1
}

// parts returns how a shape is divided on a site: the number of whole workers
// and the accelerators of the rest.
func (d demand) parts(s *site) (whole, rest int) {
	if d.size <= s.workerSize {
		return 0, d.size
	}
	return d.size / s.workerSize, d.size % s.workerSize
}

// fitsEmptySite reports whether one shape fits on s, which must be empty.
func (d demand) fitsEmptySite(s *site) bool {
	if s.workerSize == 0 || d.adjacency == AdjacentWorker && d.size > s.workerSize {
		return false
	}
	empty := s.clone()
	if d.adjacency == AdjacentRack {
		return slices.ContainsFunc(empty.racks, func(r rackGroup) bool { return d.fits(empty, r.bins) })
	}
	empty.flatten()
	return d.fits(empty, empty.flat)
}

// fits reports whether the workers of b have room for one shape. It does not
// change b.
func (d demand) fits(s *site, b bins) bool {
	_, ok := d.place(s, slices.Clone(b), b.bestFit)
	return ok
}

// place places one shape on the workers of b, which it changes, and returns
// the workers with what is left free, or false if the shape does not fit.
// pickBin returns the index of the bin for the rest, or -1; it is called before
// the whole workers are taken.
func (d demand) place(s *site, b bins, pickBin func(rest int) int) (bins, bool) {
	whole, rest := d.parts(s)
	if rest > 0 {
		i := pickBin(rest)
		if i < 0 {
			return b, false
		}
		b = b.occupy(i, rest, 1)
	}
	if whole > 0 {
		i := b.wholeWorkers(s.workerSize)
		if i < 0 || b[i].workers < whole {
			return b, false
		}
		b = b.occupy(i, s.workerSize, whole)
	}
	return b, true
}

// sortedDemands returns the demands in the order in which they are placed:
// those that need racks first, because the sites are flattened after them, then
// the largest shapes, then those with the fewest sites. The other sort keys make
// the order independent of that of p.demands.
func (p *assignmentProblem) sortedDemands() []demand {
	ordered := slices.Clone(p.demands)
	slices.SortStableFunc(ordered, func(a, b demand) int {
		return cmp.Or(
			cmp.Compare(p.placementOrder(a), p.placementOrder(b)),
			cmp.Compare(b.size, a.size),
			cmp.Compare(len(a.sites), len(b.sites)),
			cmp.Compare(a.adjacency, b.adjacency),
			slices.Compare(a.sites, b.sites),
			cmp.Compare(a.name, b.name),
		)
	})
	return ordered
}

func (p *assignmentProblem) cloneSites() []*site {
	sites := make([]*site, len(p.sites))
	for i, s := range p.sites {
		sites[i] = s.clone()
	}
	return sites
}
