package decl

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"catkinpoint/conf"
	"catkinpoint/wire"
)

// maxUnmetFaults limits how many guarantees one check reports as not met together
// with others. At the target size (9 data centres, 5,600 workers, 300 customers) the
// solver takes about 40 ms to find each.
const maxUnmetFaults = 16

// checkGuarantees reports guarantees that the workers cannot meet together, with
// all data centres and without each one that has may_leave set. It ignores
// in_service, which is operational state: a data centre must be able to leave at
// short notice whatever the declarations say.
func checkGuarantees(s *Set, inventory Inventory) conf.Faults {
	outages := []string{""}
	for name, dc := range All[*wire.DataCentre](s) {
		if dc.MayLeave {
			outages = append(outages, name)
		}
	}
	var faults conf.Faults
	reported := map[string]bool{}
	v := &solver{stepsLeft: maxSearchSteps}
	for _, outage := range outages {
		if v.unmetReported > maxUnmetFaults {
			break
		}
		condition := ""
		if outage != "" {
			condition = " while " + outage + " is out of service"
		}
		p := newProblem(s, inventory, func(name string) bool { return name == outage })
		faults = append(faults, v.unmetFaults(p, condition, reported)...)
	}
	return faults
}

// Warnings reports guarantees that cannot be met with the data centres that
// are out of service now. They do not prevent a change: it must be possible to
// take a data centre out of service even if the guarantees cannot be met without it.
func Warnings(s *Set, inventory Inventory) conf.Faults {
	var outOfService []string
	for name, dc := range All[*wire.DataCentre](s) {
		if !dc.InService {
			outOfService = append(outOfService, name)
		}
	}
	if len(outOfService) == 0 {
		return nil
	}
	p := newProblem(s, inventory, func(name string) bool { return slices.Contains(outOfService, name) })
	v := &solver{stepsLeft: maxSearchSteps}
	condition := " while " + strings.Join(outOfService, " and ") + " is out of service"
	return v.unmetFaults(p, condition, map[string]bool{})
}

// AssignShapes assigns the shapes of the guarantees to the data centres in
// service. It returns the number of assigned shapes by data centre and
// guarantee, and the number of shapes without a data centre by guarantee. The
// result depends only on the arguments, so that every process gets the same one.
func AssignShapes(s *Set, inventory Inventory) (assigned map[string]map[string]int, unmet map[string]int) {
	p := newProblem(s, inventory, func(name string) bool {
		dc, _ := Lookup[*wire.DataCentre](s, name)
		return !dc.GetInService()
	})
	v := &solver{stepsLeft: maxSearchSteps}
	placed, result := v.solve(p)
	if result != feasible {
		placed, unmet = p.greedy(p.sortedDemands(), preferredFirst)
	}
	assigned = map[string]map[string]int{}
	for name, counts := range placed {
		for i, n := range counts {
			if n == 0 {
				continue
			}
			dc := p.sites[i].name
			if assigned[dc] == nil {
				assigned[dc] = map[string]int{}
			}
			assigned[dc][name] = n
		}
	}
	return assigned, unmet
}

// unmetFaults returns a fault for each guarantee that cannot be met and adds its
// name to reported. It leaves out the guarantees that are in reported already and
// stops at maxUnmetFaults. The condition names the data centres that are out of
// service, or is empty; it is appended to the texts of the faults.
func (v *solver) unmetFaults(p *assignmentProblem, condition string, reported map[string]bool) conf.Faults {
	var faults conf.Faults
	add := func(name, key, text string) {
		reported[name] = true
		faults = append(faults, conf.Fault{Section: "guarantee " + name, Key: key, Text: text})
	}
	p.demands = slices.DeleteFunc(p.demands, func(d demand) bool { return reported[d.name] })
	for _, d := range p.demands {
		if !slices.ContainsFunc(d.sites, func(i int) bool { return d.fitsEmptySite(p.sites[i]) }) {
			add(d.name, "accelerators", fmt.Sprintf("no data centre of the guarantee has room for %d accelerators in one %s%s", d.size, d.adjacency, condition))
		}
	}
	p.demands = slices.DeleteFunc(p.demands, func(d demand) bool { return reported[d.name] })
	for {
		i, result, reason := v.firstUnmet(p)
		if i < 0 {
			break
		}
		if v.unmetReported++; v.unmetReported > maxUnmetFaults {
			add(p.demands[i].name, "count", fmt.Sprintf("the check stopped after %d guarantees that cannot be met", maxUnmetFaults))
			break
		}
		d := p.demands[i]
		add(d.name, "count", unmetText(p, i, result, reason)+condition)
		p.demands = slices.Delete(p.demands, i, i+1)
	}
	return faults
}

// firstUnmet returns the index of a demand that cannot be met together with those
// before it, the result of the solver for them, and their shortage if there is
// one. The index is -1 if all demands can be met together.
func (v *solver) firstUnmet(p *assignmentProblem) (int, solveResult, string) {
	allDemands := p.demands
	defer func() { p.demands = allDemands }()
	_, result := v.solve(p)
	if result == feasible {
		return -1, feasible, ""
	}
	reason := p.shortage()
	// Bisects: the first feasibleCount demands can be met together, for the
	// first infeasibleCount no assignment was found.
	feasibleCount, infeasibleCount := 0, len(allDemands)
	for infeasibleCount-feasibleCount > 1 {
		middle := (feasibleCount + infeasibleCount) / 2
		p.demands = allDemands[:middle]
		_, r := v.solve(p)
		if r == feasible {
			feasibleCount = middle
			continue
		}
		infeasibleCount, result, reason = middle, r, p.shortage()
	}
	return infeasibleCount - 1, result, reason
}

// unmetText returns the text of the fault of demand i.
func unmetText(p *assignmentProblem, i int, result solveResult, reason string) string {
	names := map[string]bool{}
	for _, siteIndex := range p.demands[i].sites {
		names[p.sites[siteIndex].name] = true
	}
	dataCentres := strings.Join(slices.Sorted(maps.Keys(names)), ", ")
	text := fmt.Sprintf("cannot be met together with the other guarantees in %s", dataCentres)
	switch {
	case reason != "":
		return text + ": " + reason
	case result == infeasible:
		return text + ": no arrangement keeps every shape adjacent"
	default:
		return fmt.Sprintf("no arrangement was found for it and the other guarantees in %s; beyond %d shapes or %d steps the search is not exact", dataCentres, maxSearchShapes, maxSearchSteps)
	}
}

// maxSubsetSites limits the number of data centres of which shortage examines
// every subset.
const maxSubsetSites = 10

// shortage looks for a subset of the data centres that has fewer accelerators than
// the demands need that can be placed nowhere else. It describes the first one
// found. It returns "" if there is none or there are more than maxSubsetSites data
// centres.
func (p *assignmentProblem) shortage() string {
	if len(p.sites) > maxSubsetSites {
		return ""
	}
	// The accelerators needed, by the set of allowed sites; bit i is site i.
	needs := make([]int, 1<<len(p.sites))
	for _, d := range p.demands {
		allowed := 0
		for _, i := range d.sites {
			allowed |= 1 << i
		}
		needs[allowed] += d.size * d.count
	}
	free := make([]int, len(p.sites))
	for i, s := range p.sites {
		free[i] = s.freeAccelerators()
	}
	for siteSet := 1; siteSet < len(needs); siteSet++ {
		need, have := 0, 0
		// Counts down through all subsets of siteSet, the empty one last.
		for allowed := siteSet; ; allowed = (allowed - 1) & siteSet {
			need += needs[allowed]
			if allowed == 0 {
				break
			}
		}
		for i := range p.sites {
			have += free[i] * (siteSet >> i & 1)
		}
		if need > have {
			return fmt.Sprintf("%d accelerators are needed in %s, with %d there", need, p.siteNames(siteSet), have)
		}
	}
	return ""
}

// siteNames lists the names of the sites in a bit set.
func (p *assignmentProblem) siteNames(siteSet int) string {
	var names []string
	for i, s := range p.sites {
		if siteSet&(1<<i) != 0 {
			names = append(names, s.name)
		}
	}
	return strings.Join(names, " and ")
}
