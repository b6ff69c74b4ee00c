package decl

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/conf"
	"catkinpoint/wire"
)

// Values of the key adjacency.
const (
	AdjacentWorker     = "worker"
	AdjacentRack       = "rack"
	AdjacentDataCentre = "data_centre"
)

var adjacencies = []string{AdjacentWorker, AdjacentRack, AdjacentDataCentre}

// checkFigures reports figures of one object that the schema options cannot express.
func (c *checker) checkFigures(key Key, body proto.Message) {
	switch m := body.(type) {
	case *wire.Customer:
		if m.Weight <= 0 {
			c.add(key, "weight", "%g is not above 0", m.Weight)
		}
	case *wire.Guarantee:
		c.checkAdjacency(key, m.Adjacency)
		c.checkAboveZero(key, "reclaim_within", m.ReclaimWithin)
	case *wire.DataCentre:
		for _, name := range m.DrainingEndpoints {
			if !namePattern.MatchString(name) {
				c.add(key, "draining_endpoints", "bad name %q: %s", name, nameRule)
			}
		}
	case *wire.JobClass:
		c.checkAdjacency(key, m.Adjacency)
		c.checkAboveZero(key, "expected_run_time", m.ExpectedRunTime)
		expected, deadline := conf.Duration(m.ExpectedRunTime), conf.Duration(m.Deadline)
		if deadline > 0 && deadline < expected {
			c.add(key, "deadline", "%s is shorter than expected_run_time %s", m.Deadline, m.ExpectedRunTime)
		}
	}
}

func (c *checker) checkAdjacency(key Key, adjacency string) {
	if !slices.Contains(adjacencies, adjacency) {
		c.add(key, "adjacency", "%s", conf.Unknown("adjacency", adjacency, adjacencies))
	}
}

func (c *checker) checkAboveZero(key Key, field, text string) {
	if d, err := time.ParseDuration(text); err == nil && d == 0 {
		c.add(key, field, "must be a duration longer than 0s")
	}
}

// checkQuotas reports customers whose guarantees exceed their quota, because
// the customer could never use them.
func (c *checker) checkQuotas() {
	guaranteed := map[string]int64{}
	for _, g := range All[*wire.Guarantee](c.set) {
		guaranteed[g.Customer] += g.Accelerators * g.Count
	}
	for name, customer := range All[*wire.Customer](c.set) {
		if customer.AcceleratorQuota > 0 && guaranteed[name] > customer.AcceleratorQuota {
			c.add(Key{"customer", name}, "accelerator_quota", "%d is below the %d accelerators of the customer's guarantees",
				customer.AcceleratorQuota, guaranteed[name])
		}
	}
}

// checkJobClasses reports job classes that no data centre of their service can
// run even when it is empty. Data centres without known workers are not judged.
func (c *checker) checkJobClasses(inventory Inventory) {
	sites := map[string]*site{}
	for name, dc := range All[*wire.DataCentre](c.set) {
		sites[name] = newSite(name, dc, inventory, noSlotLimit)
	}
	for name, class := range All[*wire.JobClass](c.set) {
		service, ok := Lookup[*wire.Service](c.set, class.Service)
		if !ok {
			continue
		}
		names := service.DataCentres
		if len(names) == 0 {
			names = c.set.Names("data_centre")
		}
		fits, judged := false, false
		for _, dc := range names {
			if s := sites[dc]; s != nil && s.size > 0 {
				judged = true
				fits = fits || s.canRun(class, service.Slots)
			}
		}
		if judged && !fits {
			c.add(Key{"job_class", name}, "accelerators", "tasks = %d with %d accelerators each fit in no %s that runs service %s",
				class.Tasks, class.Accelerators, class.Adjacency, class.Service)
		}
	}
}

// canRun reports whether the empty site has room for all tasks of a job.
func (s *site) canRun(class *wire.JobClass, slots int64) bool {
	best, total := int64(0), int64(0)
	for _, r := range s.racks {
		inRack := int64(0)
		for _, b := range r.bins {
			onWorker := slots
			if class.Accelerators > 0 {
				onWorker = min(slots, int64(b.free)/class.Accelerators)
			}
			inRack += onWorker * int64(b.n)
			if class.Adjacency == AdjacentWorker {
				best = max(best, onWorker)
			}
		}
		total += inRack * int64(r.n)
		if class.Adjacency == AdjacentRack {
			best = max(best, inRack)
		}
	}
	if class.Adjacency == AdjacentDataCentre {
		best = total
	}
	return best >= class.Tasks
}
