package decl

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// Limits of the exact search. Above maxSearchShapes or maxSearchBins a state of
// the search is too large to be copied many thousand times. maxSearchSteps
// bounds the check of a whole set to a fraction of a second; it limits steps
// instead of time so that every process reaches the same result.
const (
	maxSearchShapes = 256
	maxSearchBins   = 96
	maxSearchSteps  = 40_000
)

// solveResult says whether all demands of a problem can be met together.
type solveResult int

const (
	// undecided means that neither an assignment nor a proof that there is none was found.
	undecided solveResult = iota
	// feasible means that an assignment was found.
	feasible
	// infeasible means that there is no assignment.
	infeasible
)

// solver solves the problems of one check, which share its limits.
type solver struct {
	stepsLeft     int // steps that the exact search may still take
	unmetReported int // guarantees reported so far as not met together with others
}

// solve first looks for a shortage, which proves that there is no assignment.
// It then tries greedy placement with different orders of demands and sites,
// which decides nearly all sets, and runs the exact search last.
func (v *solver) solve(p *assignmentProblem) (assignment, solveResult) {
	bySize := p.sortedDemands()
	bySites := slices.Clone(bySize)
	slices.SortStableFunc(bySites, func(a, b demand) int {
		return cmp.Or(cmp.Compare(p.placementOrder(a), p.placementOrder(b)), cmp.Compare(len(a.sites), len(b.sites)))
	})
	if p.shortage() != "" {
		return nil, infeasible
	}
	for _, ordered := range [][]demand{bySize, bySites} {
		for order := range siteOrderCount {
			if placed, unmet := p.greedy(ordered, order); len(unmet) == 0 {
				return placed, feasible
			}
		}
	}
	return v.searchExact(p, bySize)
}

// searchExact searches for an assignment of the shapes, placed in the given
// order. It returns undecided if the problem is above the limits or the steps
// run out; otherwise its result is exact.
func (v *solver) searchExact(p *assignmentProblem, ordered []demand) (assignment, solveResult) {
	shapes, binCount := 0, 0
	for _, d := range ordered {
		shapes += d.count
	}
	for _, s := range p.sites {
		for _, r := range s.racks {
			binCount += len(r.bins)
		}
	}
	if shapes > maxSearchShapes || binCount > maxSearchBins {
		return nil, undecided
	}
	search := &exactSearch{problem: p, solver: v, visited: map[string]bool{}}
	for _, d := range ordered {
		for range d.count {
			search.shapes = append(search.shapes, d)
		}
	}
	search.chosenSites = make([]int, len(search.shapes))
	if search.visit(0, p.cloneSites()) {
		placed := assignment{}
		for i, d := range search.shapes {
			placed.add(d, search.chosenSites[i], len(p.sites))
		}
		return placed, feasible
	}
	if v.stepsLeft <= 0 {
		return nil, undecided
	}
	return nil, infeasible
}

// exactSearch is a depth-first search over the placements of the shapes in order.
type exactSearch struct {
	problem     *assignmentProblem
	solver      *solver
	shapes      []demand // the demand of each shape
	chosenSites []int    // the site index of each placed shape
	// visited holds the encoded states that were searched, so that a state is
	// not searched again after equal shapes were placed in another order.
	visited map[string]bool
}

// visit reports whether the shapes from index i on can be placed on the sites. It
// records the site of each shape in chosenSites.
func (e *exactSearch) visit(i int, sites []*site) bool {
	if i == len(e.shapes) {
		return true
	}
	if e.solver.stepsLeft <= 0 {
		return false
	}
	e.solver.stepsLeft--
	if !e.problem.needsRack(e.shapes[i]) {
		flattenAll(sites)
	}
	key := encodeState(i, sites)
	if e.visited[key] {
		return false
	}
	e.visited[key] = true
	d := e.shapes[i]
	for _, siteIndex := range d.sites {
		s := sites[siteIndex]
		if s.workerSize == 0 || d.adjacency == AdjacentWorker && d.size > s.workerSize {
			continue
		}
		e.chosenSites[i] = siteIndex
		for _, next := range s.successors(d) {
			after := cloneWithSite(sites, siteIndex, next)
			if e.visit(i+1, after) {
				return true
			}
		}
	}
	return false
}

// cloneWithSite returns a copy of the sites with one site replaced. The other
// sites are copied too, because flattenAll and encodeState change them in place.
func cloneWithSite(sites []*site, siteIndex int, replacement *site) []*site {
	after := make([]*site, len(sites))
	for i, s := range sites {
		if i == siteIndex {
			after[i] = replacement
			continue
		}
		after[i] = s.clone()
	}
	return after
}

// successors returns a copy of the site for each distinct placement of the shape.
func (s *site) successors(d demand) []*site {
	var found []*site
	if s.racks == nil {
		for _, b := range d.placements(s, s.flat) {
			next := s.clone()
			next.flat = b
			found = append(found, next)
		}
		return found
	}
	for i := range s.racks {
		for _, b := range d.placements(s, s.racks[i].bins) {
			next := s.clone()
			next.takeRack(i)
			next.addRack(b, 1)
			found = append(found, next)
		}
	}
	return found
}

// placements returns a copy of the workers for each distinct placement of the
// shape, starting with the fullest bin. Placements differ only in the bin of the
// rest, because whole workers are always taken from the bin of unused workers.
func (d demand) placements(s *site, b bins) []bins {
	_, rest := d.parts(s)
	choices := len(b)
	if rest == 0 {
		choices = 1
	}
	var found []bins
	for i := range choices {
		if rest > 0 && (b[i].free < rest || b[i].slots < 1) {
			continue
		}
		next, ok := d.place(s, slices.Clone(b), func(int) int { return i })
		if ok {
			found = append(found, next)
		}
	}
	return found
}

// encodeState returns a key that is the same for equal states. It sorts the
// racks of the sites, because their order makes no difference.
func encodeState(i int, sites []*site) string {
	key := binary.AppendUvarint(nil, uint64(i))
	for _, s := range sites {
		slices.SortFunc(s.racks, func(x, y rackGroup) int {
			return cmp.Or(compareBins(x.bins, y.bins), cmp.Compare(x.count, y.count))
		})
		key = binary.AppendUvarint(key, uint64(len(s.racks)))
		for _, r := range s.racks {
			key = binary.AppendUvarint(key, uint64(r.count))
			key = appendBins(key, r.bins)
		}
		key = appendBins(key, s.flat)
	}
	return string(key)
}

func appendBins(key []byte, b bins) []byte {
	key = binary.AppendUvarint(key, uint64(len(b)))
	for _, x := range b {
		key = binary.AppendUvarint(key, uint64(x.free))
		key = binary.AppendUvarint(key, uint64(x.slots))
		key = binary.AppendUvarint(key, uint64(x.workers))
	}
	return key
}
