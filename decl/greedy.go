package decl

import (
	"cmp"
	"slices"
)

// shares counts the shapes of each demand by name at each site.
type shares map[string][]int

func (sh shares) add(d demand, site, sites int) {
	if sh[d.name] == nil {
		sh[d.name] = make([]int, sites)
	}
	sh[d.name][site]++
}

// siteChoice orders the sites that a shape tries.
type siteChoice int

const (
	mostFree siteChoice = iota
	preferred
	leastFree
	siteChoices
)

// greedy places the shapes one after another, each on the tightest place of
// the first site that has one. It returns the shapes that found no place by
// name; if there are none, the shares are a proof that all can be met.
func (p *problem) greedy(ordered []demand, choice siteChoice) (shares, map[string]int) {
	sites := p.cloneSites()
	placed, unmet := shares{}, map[string]int{}
	flat := false
	for _, d := range ordered {
		if !flat && !p.needsRack(d) {
			flattenAll(sites)
			flat = true
		}
		for k := range d.count {
			i := place(sites, d, choice)
			if i < 0 {
				unmet[d.name] = d.count - k // the others are equal
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

// place puts one shape on a site and returns the site's index, or -1.
func place(sites []*site, d demand, choice siteChoice) int {
	candidates := d.sites
	if choice != preferred {
		candidates = slices.Clone(d.sites)
		slices.SortStableFunc(candidates, func(a, b int) int {
			if choice == mostFree {
				a, b = b, a
			}
			return cmp.Compare(sites[a].free(), sites[b].free())
		})
	}
	for _, i := range candidates {
		if sites[i].size > 0 && sites[i].put(d) {
			return i
		}
	}
	return -1
}

// put places one shape on the tightest bins of the site.
func (s *site) put(d demand) bool {
	if d.adjacency == AdjacentWorker && d.size > s.size {
		return false
	}
	if s.racks == nil {
		b, ok := d.put(s, s.flat, s.flat.fit)
		if ok {
			s.flat = b
		}
		return ok
	}
	best, bestFree := -1, 0
	for i, r := range s.racks {
		free := r.bins.free()
		if (best < 0 || free < bestFree) && d.holds(s, r.bins) {
			best, bestFree = i, free
		}
	}
	if best < 0 {
		return false
	}
	b := s.split(best)
	b, _ = d.put(s, b, b.fit)
	s.addRack(b, 1)
	return true
}
