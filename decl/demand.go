package decl

import (
	"cmp"
	"slices"

	"catkinpoint/wire"
)

// demand is a guarantee: count shapes of equal size and choice of sites.
type demand struct {
	name      string
	size      int
	adjacency string
	count     int
	sites     []int // indexes of sites, preferred first
}

// problem asks for a site for every shape of every demand.
//
// A shape that is wider than the largest worker of its site consists of whole
// workers of that size and one rest, as package place maps it; every part on a
// worker occupies a slot there.
type problem struct {
	sites   []*site
	demands []demand
}

// newProblem leaves out the data centre with the name out, if there is one.
func newProblem(s *Set, inventory Inventory, isOut func(name string) bool) *problem {
	p := &problem{}
	index := map[string]int{}
	for name, dc := range All[*wire.DataCentre](s) {
		if isOut(name) {
			continue
		}
		index[name] = len(p.sites)
		p.sites = append(p.sites, newSite(name, dc, inventory, slotsOf(s, name)))
	}
	for name, g := range All[*wire.Guarantee](s) {
		d := demand{name: name, size: int(g.Accelerators), adjacency: g.Adjacency, count: int(g.Count)}
		for _, dc := range g.DataCentres {
			if i, ok := index[dc]; ok {
				d.sites = append(d.sites, i)
			}
		}
		p.demands = append(p.demands, d)
	}
	return p
}

// slotsOf returns the fewest slots of a service that runs in a data centre,
// because a guarantee does not say whose workers it is met with.
func slotsOf(s *Set, dataCentre string) int {
	slots := noSlotLimit
	for _, service := range All[*wire.Service](s) {
		if len(service.DataCentres) == 0 || slices.Contains(service.DataCentres, dataCentre) {
			slots = min(slots, int(service.Slots))
		}
	}
	return slots
}

// needsRack reports whether a shape takes several workers of one rack somewhere.
func (p *problem) needsRack(d demand) bool {
	return d.adjacency == AdjacentRack && slices.ContainsFunc(d.sites, func(i int) bool { return d.size > p.sites[i].size })
}

// rank orders demands that need racks before the others.
func (p *problem) rank(d demand) int {
	if p.needsRack(d) {
		return 0
	}
	return 1
}

// parts returns the number of whole workers and the rest of a shape at a site.
func (d demand) parts(s *site) (whole, rest int) {
	if d.size <= s.size {
		return 0, d.size
	}
	return d.size / s.size, d.size % s.size
}

// canHold reports whether a shape fits into the empty site at all.
func (d demand) canHold(s *site) bool {
	if s.size == 0 || d.adjacency == AdjacentWorker && d.size > s.size {
		return false
	}
	c := s.clone()
	if d.adjacency == AdjacentRack {
		return slices.ContainsFunc(c.racks, func(r rack) bool { return d.holds(c, r.bins) })
	}
	c.flatten()
	return d.holds(c, c.flat)
}

// holds reports whether the workers of b have room for one shape.
func (d demand) holds(s *site, b bins) bool {
	_, ok := d.put(s, slices.Clone(b), b.fit)
	return ok
}

// put places one shape on the workers of b and returns them with the room that
// is left; pick chooses the bin of the rest before the whole workers are taken.
func (d demand) put(s *site, b bins, pick func(rest int) int) (bins, bool) {
	whole, rest := d.parts(s)
	if rest > 0 {
		i := pick(rest)
		if i < 0 {
			return b, false
		}
		b = b.use(i, rest, 1)
	}
	if whole > 0 {
		i := b.whole(s.size)
		if i < 0 || b[i].n < whole {
			return b, false
		}
		b = b.use(i, s.size, whole)
	}
	return b, true
}

// order sorts the demands: those that need racks first, because the racks are
// forgotten after them, then the fewest sites and the largest shapes.
func (p *problem) order() []demand {
	ordered := slices.Clone(p.demands)
	slices.SortStableFunc(ordered, func(a, b demand) int {
		return cmp.Or(
			cmp.Compare(p.rank(a), p.rank(b)),
			cmp.Compare(b.size, a.size),
			cmp.Compare(len(a.sites), len(b.sites)),
			cmp.Compare(a.adjacency, b.adjacency),
			slices.Compare(a.sites, b.sites),
			cmp.Compare(a.name, b.name),
		)
	})
	return ordered
}

func (p *problem) cloneSites() []*site {
	sites := make([]*site, len(p.sites))
	for i, s := range p.sites {
		sites[i] = s.clone()
	}
	return sites
}
