package decl

import (
	"cmp"
	"slices"
)

// assignment holds the number of shapes on each site, by name of the demand.
type assignment map[string][]int

// add counts one more shape of d on a site; siteCount is the number of sites.
func (a assignment) add(d demand, site, siteCount int) {
	if a[d.name] == nil {
		a[d.name] = make([]int, siteCount)
	}
	a[d.name][site]++
}

// siteOrder is the order in which the sites of a demand are tried for a shape.
type siteOrder int

const (
	mostFreeFirst  siteOrder = iota // by free accelerators, descending
	preferredFirst                  // in the guarantee's order of preference
	leastFreeFirst                  // by free accelerators, ascending
	siteOrderCount
)

// greedy places the shapes one after another, each by best fit on the first site
// that has room for it. It returns the assignment and, by name of the demand,
// the number of shapes that could not be placed. If there are none, the
// assignment proves that all demands can be met together.
func (p *assignmentProblem) greedy(ordered []demand, order siteOrder) (assignment, map[string]int) {
	sites := p.cloneSites()
	placed, unmet := assignment{}, map[string]int{}
	flattened := false
	for _, d := range ordered {
		if !flattened && !p.needsRack(d) {
			flattenAll(sites)
			flattened = true
		}
		for assigned := range d.count {
			i := placeShape(sites, d, order)
			if i < 0 {
				unmet[d.name] = d.count - assigned // the remaining shapes are equal to this one
				break
			}
			placed.add(d, i, len(sites))
		}
	}
	return placed, unmet
}

func flattenAll(sites []*site) {
	for _, s := range sites {
		s.flatten()
	}
}

// placeShape places one shape on the first site that has room for it and returns
// the index of the site, or -1.
func placeShape(sites []*site, d demand, order siteOrder) int {
	candidates := d.sites
	if order != preferredFirst {
		candidates = slices.Clone(d.sites)
		slices.SortStableFunc(candidates, func(a, b int) int {
			if order == mostFreeFirst {
				a, b = b, a
			}
			return cmp.Compare(sites[a].freeAccelerators(), sites[b].freeAccelerators())
		})
	}
	for _, i := range candidates {
		if sites[i].workerSize > 0 && sites[i].place(d) {
			return i
		}
	}
	return -1
}

// place places one shape by best fit: in the rack with the fewest free
// accelerators that has room, or after flatten on any workers. It reports whether
// the shape fits.
func (s *site) place(d demand) bool {
	if d.adjacency == AdjacentWorker && d.size > s.workerSize {
		return false
	}
	if s.racks == nil {
		b, ok := d.place(s, s.flat, s.flat.bestFit)
		if ok {
			s.flat = b
		}
		return ok
	}
	best, bestFree := -1, 0
	for i, r := range s.racks {
		free := r.bins.freeAccelerators()
		if (best < 0 || free < bestFree) && d.fits(s, r.bins) {
			best, bestFree = i, free
		}
	}
	if best < 0 {
		return false
	}
	b := s.takeRack(best)
	b, _ = d.place(s, b, b.bestFit)
	s.addRack(b, 1)
	return true
}
