package decl

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// Limits of the exact search. Above the first two one state is too large to
// copy many thousand times; the third bounds one whole-set check to a fraction
// of a second, counted in steps so that every process judges alike.
const (
	maxSearchShapes = 256
	maxSearchBins   = 96
	maxSearchSteps  = 40_000
)

// verdict is what a solver knows about a problem.
type verdict int

const (
	// notFound means that neither an assignment nor a proof that there is none was found.
	notFound verdict = iota
	met
	impossible
)

// solver judges problems; all problems of one check share its steps.
type solver struct {
	stepsLeft int
	named     int // guarantees named as unmet so far
}

// solve tries the greedy orders first, because they decide nearly all sets,
// then necessary conditions, then the exact search.
func (v *solver) solve(p *problem) (shares, verdict) {
	bySize := p.order()
	bySites := slices.Clone(bySize)
	slices.SortStableFunc(bySites, func(a, b demand) int {
		return cmp.Or(cmp.Compare(p.rank(a), p.rank(b)), cmp.Compare(len(a.sites), len(b.sites)))
	})
	if p.shortage() != "" {
		return nil, impossible
	}
	for _, ordered := range [][]demand{bySize, bySites} {
		for choice := range siteChoices {
			if placed, unmet := p.greedy(ordered, choice); len(unmet) == 0 {
				return placed, met
			}
		}
	}
	return v.search(p, bySize)
}

// search is exact if it ends within its limits.
func (v *solver) search(p *problem, ordered []demand) (shares, verdict) {
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
		return nil, notFound
	}
	t := &tree{problem: p, solver: v, seen: map[string]bool{}}
	for _, d := range ordered {
		for range d.count {
			t.shapes = append(t.shapes, d)
		}
	}
	t.chosen = make([]int, len(t.shapes))
	if t.visit(0, p.cloneSites()) {
		placed := shares{}
		for i, d := range t.shapes {
			placed.add(d, t.chosen[i], len(p.sites))
		}
		return placed, met
	}
	if v.stepsLeft <= 0 {
		return nil, notFound
	}
	return nil, impossible
}

// tree is one depth-first search over the places of the shapes in order.
type tree struct {
	problem *problem
	solver  *solver
	shapes  []demand
	chosen  []int
	// seen holds states from which no assignment was found, so that equal
	// shapes are not tried in every order.
	seen map[string]bool
}

func (t *tree) visit(i int, sites []*site) bool {
	if i == len(t.shapes) {
		return true
	}
	if t.solver.stepsLeft <= 0 {
		return false
	}
	t.solver.stepsLeft--
	if !t.problem.needsRack(t.shapes[i]) {
		flattenAll(sites)
	}
	key := encodeState(i, sites)
	if t.seen[key] {
		return false
	}
	t.seen[key] = true
	d := t.shapes[i]
	for _, at := range d.sites {
		s := sites[at]
		if s.size == 0 || d.adjacency == AdjacentWorker && d.size > s.size {
			continue
		}
		t.chosen[i] = at
		for _, next := range s.options(d) {
			after := cloneWith(sites, at, next)
			if t.visit(i+1, after) {
				return true
			}
		}
	}
	return false
}

// cloneWith copies the sites, since flattenAll and put change them in place.
func cloneWith(sites []*site, at int, next *site) []*site {
	after := make([]*site, len(sites))
	for i, s := range sites {
		if i == at {
			after[i] = next
			continue
		}
		after[i] = s.clone()
	}
	return after
}

// options returns the site after each distinct way to place the shape.
func (s *site) options(d demand) []*site {
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
			next.split(i)
			next.addRack(b, 1)
			found = append(found, next)
		}
	}
	return found
}

// placements returns the workers after each distinct choice of the bin for the
// rest, tightest first; the whole workers leave no choice.
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
		next, ok := d.put(s, slices.Clone(b), func(int) int { return i })
		if ok {
			found = append(found, next)
		}
	}
	return found
}

// encodeState gives equal states the same key; the order of racks is made canonical.
func encodeState(i int, sites []*site) string {
	key := binary.AppendUvarint(nil, uint64(i))
	for _, s := range sites {
		slices.SortFunc(s.racks, func(x, y rack) int {
			return cmp.Or(compareBins(x.bins, y.bins), cmp.Compare(x.n, y.n))
		})
		key = binary.AppendUvarint(key, uint64(len(s.racks)))
		for _, r := range s.racks {
			key = binary.AppendUvarint(key, uint64(r.n))
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
		key = binary.AppendUvarint(key, uint64(x.n))
	}
	return key
}
