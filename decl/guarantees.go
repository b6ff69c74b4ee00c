package decl

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"catkinpoint/conf"
	"catkinpoint/wire"
)

// maxUnmetFaults bounds the guarantees that one check names as unmet beside
// others. At the target size each costs about 40 ms in runs of the solver.
const maxUnmetFaults = 16

// checkGuarantees reports guarantees that the workers cannot meet together,
// with every data centre present and with each one out that may leave.
// in_service has no part in it: it is an operating state, and a data centre
// must be able to leave at short notice whatever the plan says.
func checkGuarantees(s *Set, inventory Inventory) conf.Faults {
	outs := []string{""}
	for name, dc := range All[*wire.DataCentre](s) {
		if dc.MayLeave {
			outs = append(outs, name)
		}
	}
	var faults conf.Faults
	unmet := map[string]bool{}
	v := &solver{stepsLeft: maxSearchSteps}
	for _, out := range outs {
		if v.named > maxUnmetFaults {
			break
		}
		while := ""
		if out != "" {
			while = " while " + out + " is out of service"
		}
		p := newProblem(s, inventory, func(name string) bool { return name == out })
		faults = append(faults, v.unmetFaults(p, while, unmet)...)
	}
	return faults
}

// Warnings reports guarantees that cannot be met with the data centres that
// are out of service now. They do not prevent a change: taking a data centre
// out must work even where the plan does not cover its loss.
func Warnings(s *Set, inventory Inventory) conf.Faults {
	var out []string
	for name, dc := range All[*wire.DataCentre](s) {
		if !dc.InService {
			out = append(out, name)
		}
	}
	if len(out) == 0 {
		return nil
	}
	p := newProblem(s, inventory, func(name string) bool { return slices.Contains(out, name) })
	v := &solver{stepsLeft: maxSearchSteps}
	while := " while " + strings.Join(out, " and ") + " is out of service"
	return v.unmetFaults(p, while, map[string]bool{})
}

// Shares returns how many shapes of each guarantee each data centre in service
// holds, by data centre and guarantee, and the shapes that no data centre can
// hold, by guarantee. Equal sets and inventories give equal shares everywhere.
func Shares(s *Set, inventory Inventory) (held map[string]map[string]int, unmet map[string]int) {
	p := newProblem(s, inventory, func(name string) bool {
		dc, _ := Lookup[*wire.DataCentre](s, name)
		return !dc.GetInService()
	})
	v := &solver{stepsLeft: maxSearchSteps}
	placed, result := v.solve(p)
	if result != met {
		placed, unmet = p.greedy(p.order(), preferred)
	}
	held = map[string]map[string]int{}
	for name, counts := range placed {
		for i, n := range counts {
			if n == 0 {
				continue
			}
			dc := p.sites[i].name
			if held[dc] == nil {
				held[dc] = map[string]int{}
			}
			held[dc][name] = n
		}
	}
	return held, unmet
}

// unmetFaults names guarantees that cannot be met and adds them to known;
// those already known are left out of the problem.
func (v *solver) unmetFaults(p *problem, while string, known map[string]bool) conf.Faults {
	var faults conf.Faults
	add := func(name, key, text string) {
		known[name] = true
		faults = append(faults, conf.Fault{Section: "guarantee " + name, Key: key, Text: text})
	}
	p.demands = slices.DeleteFunc(p.demands, func(d demand) bool { return known[d.name] })
	for _, d := range p.demands {
		if !slices.ContainsFunc(d.sites, func(i int) bool { return d.canHold(p.sites[i]) }) {
			add(d.name, "accelerators", fmt.Sprintf("no data centre of the guarantee has room for %d accelerators in one %s%s", d.size, d.adjacency, while))
		}
	}
	p.demands = slices.DeleteFunc(p.demands, func(d demand) bool { return known[d.name] })
	for {
		i, result, reason := v.firstUnmet(p)
		if i < 0 {
			break
		}
		if v.named++; v.named > maxUnmetFaults {
			add(p.demands[i].name, "count", fmt.Sprintf("the check stopped after %d guarantees that cannot be met", maxUnmetFaults))
			break
		}
		d := p.demands[i]
		add(d.name, "count", unmetText(p, i, result, reason)+while)
		p.demands = slices.Delete(p.demands, i, i+1)
	}
	return faults
}

// firstUnmet returns the index of a demand that cannot be met beside those
// before it, or -1 if all can be met together.
func (v *solver) firstUnmet(p *problem) (int, verdict, string) {
	all := p.demands
	defer func() { p.demands = all }()
	_, result := v.solve(p)
	if result == met {
		return -1, met, ""
	}
	reason := p.shortage()
	fits, fails := 0, len(all)
	for fails-fits > 1 {
		middle := (fits + fails) / 2
		p.demands = all[:middle]
		_, r := v.solve(p)
		if r == met {
			fits = middle
			continue
		}
		fails, result, reason = middle, r, p.shortage()
	}
	return fails - 1, result, reason
}

func unmetText(p *problem, i int, result verdict, reason string) string {
	names := map[string]bool{}
	for _, at := range p.demands[i].sites {
		names[p.sites[at].name] = true
	}
	where := strings.Join(slices.Sorted(maps.Keys(names)), ", ")
	text := fmt.Sprintf("cannot be met together with the other guarantees in %s", where)
	switch {
	case reason != "":
		return text + ": " + reason
	case result == impossible:
		return text + ": no arrangement keeps every shape adjacent"
	default:
		return fmt.Sprintf("no arrangement was found for it and the other guarantees in %s; beyond %d shapes or %d steps the search is not exact", where, maxSearchShapes, maxSearchSteps)
	}
}

// maxSubsetSites bounds the subsets of data centres that shortage looks at.
const maxSubsetSites = 10

// shortage looks for data centres that lack accelerators for the guarantees
// that can go nowhere else, and describes the first such group.
func (p *problem) shortage() string {
	if len(p.sites) > maxSubsetSites {
		return ""
	}
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
		free[i] = s.free()
	}
	for group := 1; group < len(needs); group++ {
		need, have := 0, 0
		// Counts down through all subsets of group, the empty one last.
		for allowed := group; ; allowed = (allowed - 1) & group {
			need += needs[allowed]
			if allowed == 0 {
				break
			}
		}
		for i := range p.sites {
			have += free[i] * (group >> i & 1)
		}
		if need > have {
			return fmt.Sprintf("%d accelerators are needed in %s, with %d there", need, p.siteNames(group), have)
		}
	}
	return ""
}

func (p *problem) siteNames(group int) string {
	var names []string
	for i, s := range p.sites {
		if group&(1<<i) != 0 {
			names = append(names, s.name)
		}
	}
	return strings.Join(names, " and ")
}
