package decl

import (
	"slices"

	"catkinpoint/wire"
)

// ReclaimableShapes returns how many shapes of each guarantee the data centre must
// keep reclaimable: on accelerators that are free, used by the guarantee's own
// customer, or borrowed by a job that stops within reclaim_within. These are the
// shapes assigned to it now and, if it has room for all of them at once, also those
// that would be assigned to it after the loss of any one data centre in service
// that may leave.
func ReclaimableShapes(s *Set, inventory Inventory, dataCentre string) map[string]int {
	current := assignedShapes(s, inventory, "", dataCentre)
	afterLoss := current
	for name, dc := range All[*wire.DataCentre](s) {
		if dc.GetMayLeave() && dc.GetInService() && name != dataCentre {
			afterLoss = maxCounts(afterLoss, assignedShapes(s, inventory, name, dataCentre))
		}
	}
	if canHoldAll(s, inventory, dataCentre, afterLoss) {
		return afterLoss
	}
	return current
}

// assignedShapes returns how many shapes of each guarantee are assigned to the data
// centre without the excluded one and those out of service. If not all guarantees
// can be met, it uses the assignment of the greedy placement.
func assignedShapes(s *Set, inventory Inventory, excluded, dataCentre string) map[string]int {
	p := newProblem(s, inventory, func(name string) bool {
		dc, _ := Lookup[*wire.DataCentre](s, name)
		return !dc.GetInService() || name == excluded
	})
	siteIndex := slices.IndexFunc(p.sites, func(site *site) bool { return site.name == dataCentre })
	if siteIndex < 0 {
		return nil
	}
	v := &solver{stepsLeft: maxSearchSteps}
	placed, result := v.solve(p)
	if result != feasible {
		placed, _ = p.greedy(p.sortedDemands(), preferredFirst)
	}
	assigned := make(map[string]int)
	for name, counts := range placed {
		if counts[siteIndex] > 0 {
			assigned[name] = counts[siteIndex]
		}
	}
	return assigned
}

// maxCounts returns the larger of the two counts of each name.
func maxCounts(a, b map[string]int) map[string]int {
	merged := make(map[string]int)
	for name, n := range a {
		merged[name] = n
	}
	for name, n := range b {
		merged[name] = max(merged[name], n)
	}
	return merged
}

// canHoldAll reports whether the data centre has room for the given number of
// shapes of each guarantee at once.
func canHoldAll(s *Set, inventory Inventory, dataCentre string, counts map[string]int) bool {
	p := newProblem(s, inventory, func(name string) bool { return name != dataCentre })
	needed := p.demands[:0]
	for _, d := range p.demands {
		if d.count = counts[d.name]; d.count > 0 {
			needed = append(needed, d)
		}
	}
	p.demands = needed
	v := &solver{stepsLeft: maxSearchSteps}
	_, result := v.solve(p)
	return result == feasible
}
