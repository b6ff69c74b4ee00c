package decl

import (
	"slices"

	"catkinpoint/wire"
)

// Holdings returns how many shapes of each guarantee the data centre must keep
// reclaimable: those it holds now, and those that it would hold after the loss
// of any one data centre that may leave, if it has room for all of them at once.
func Holdings(s *Set, inventory Inventory, dataCentre string) map[string]int {
	now := sharesWithout(s, inventory, "", dataCentre)
	standby := now
	for name, dc := range All[*wire.DataCentre](s) {
		if dc.GetMayLeave() && dc.GetInService() && name != dataCentre {
			standby = larger(standby, sharesWithout(s, inventory, name, dataCentre))
		}
	}
	if canHoldAll(s, inventory, dataCentre, standby) {
		return standby
	}
	return now
}

// sharesWithout returns what the data centre holds while another one is out, in
// addition to those out of service.
func sharesWithout(s *Set, inventory Inventory, out, dataCentre string) map[string]int {
	p := newProblem(s, inventory, func(name string) bool {
		dc, _ := Lookup[*wire.DataCentre](s, name)
		return !dc.GetInService() || name == out
	})
	at := slices.IndexFunc(p.sites, func(site *site) bool { return site.name == dataCentre })
	if at < 0 {
		return nil
	}
	v := &solver{stepsLeft: maxSearchSteps}
	placed, result := v.solve(p)
	if result != met {
		placed, _ = p.greedy(p.order(), preferred)
	}
	held := make(map[string]int)
	for name, counts := range placed {
		if counts[at] > 0 {
			held[name] = counts[at]
		}
	}
	return held
}

func larger(a, b map[string]int) map[string]int {
	merged := make(map[string]int)
	for name, n := range a {
		merged[name] = n
	}
	for name, n := range b {
		merged[name] = max(merged[name], n)
	}
	return merged
}

// canHoldAll says whether the data centre has room for the shapes at once.
func canHoldAll(s *Set, inventory Inventory, dataCentre string, held map[string]int) bool {
	p := newProblem(s, inventory, func(name string) bool { return name != dataCentre })
	kept := p.demands[:0]
	for _, d := range p.demands {
		if d.count = held[d.name]; d.count > 0 {
			kept = append(kept, d)
		}
	}
	p.demands = kept
	v := &solver{stepsLeft: maxSearchSteps}
	_, result := v.solve(p)
	return result == met
}
