package decl

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/conf"
	"catkinpoint/wire"
)

// Values of the key adjacency: the unit that must contain all accelerators of a
// shape, or all tasks of a job.
const (
	AdjacentWorker     = "worker"
	AdjacentRack       = "rack"
	AdjacentDataCentre = "data_centre"
)

var adjacencies = []string{AdjacentWorker, AdjacentRack, AdjacentDataCentre}

// checkValues reports invalid values of one object that the schema options cannot
// express.
func (c *checker) checkValues(key Key, body proto.Message) {
	switch m := body.(type) {
	case *wire.Customer:
		if m.Weight <= 0 {
			c.addFault(key, "weight", "%g is not above 0", m.Weight)
		}
	case *wire.Guarantee:
		c.checkAdjacency(key, m.Adjacency)
		c.checkPositiveDuration(key, "reclaim_within", m.ReclaimWithin)
	case *wire.DataCentre:
		for _, name := range m.DrainingEndpoints {
			if !namePattern.MatchString(name) {
				c.addFault(key, "draining_endpoints", "bad name %q: %s", name, nameRule)
			}
		}
	case *wire.JobClass:
		c.checkAdjacency(key, m.Adjacency)
		c.checkPositiveDuration(key, "expected_run_time", m.ExpectedRunTime)
		expected, deadline := conf.Duration(m.ExpectedRunTime), conf.Duration(m.Deadline)
		if deadline > 0 && deadline < expected {
			c.addFault(key, "deadline", "%s is shorter than expected_run_time %s", m.Deadline, m.ExpectedRunTime)
		}
	}
}

func (c *checker) checkAdjacency(key Key, adjacency string) {
	if !slices.Contains(adjacencies, adjacency) {
		c.addFault(key, "adjacency", "%s", conf.UnknownNameText("adjacency", adjacency, adjacencies))
	}
}

// checkPositiveDuration reports a duration of zero; malformed and negative ones
// are reported by conf.Check.
func (c *checker) checkPositiveDuration(key Key, field, text string) {
	if d, err := time.ParseDuration(text); err == nil && d == 0 {
		c.addFault(key, field, "must be a duration longer than 0s")
	}
}

// checkQuotas reports customers whose guarantees exceed their quota; such a
// customer could never use all of its guarantees.
func (c *checker) checkQuotas() {
	guaranteed := map[string]int64{}
	for _, g := range All[*wire.Guarantee](c.set) {
		guaranteed[g.Customer] += g.Accelerators * g.Count
	}
	for name, customer := range All[*wire.Customer](c.set) {
		if customer.AcceleratorQuota > 0 && guaranteed[name] > customer.AcceleratorQuota {
			c.addFault(Key{"customer", name}, "accelerator_quota", "%d is below the %d accelerators of the customer's guarantees",
				customer.AcceleratorQuota, guaranteed[name])
		}
	}
}

// checkJobClasses reports job classes that no data centre of their service can
// run even when it is empty. Data centres without known workers are ignored; if
// no others are left, the job class is not reported.
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
		fits, workersKnown := false, false
		for _, dc := range names {
			if s := sites[dc]; s != nil && s.workerSize > 0 {
				workersKnown = true
				fits = fits || s.canRunJob(class, service.Slots)
			}
		}
		if workersKnown && !fits {
			c.addFault(Key{"job_class", name}, "accelerators", "tasks = %d with %d accelerators each fit in no %s that runs service %s",
				class.Tasks, class.Accelerators, class.Adjacency, class.Service)
		}
	}
}

// canRunJob reports whether s, which must be empty, has room for all tasks of a
// job of the class, with at most the given number of slots on each worker.
func (s *site) canRunJob(class *wire.JobClass, slots int64) bool {
	maxTasks, tasksInSite := int64(0), int64(0)
	for _, r := range s.racks {
		tasksInRack := int64(0)
		for _, b := range r.bins {
			tasksOnWorker := slots
			if class.Accelerators > 0 {
				tasksOnWorker = min(slots, int64(b.free)/class.Accelerators)
			}
			tasksInRack += tasksOnWorker * int64(b.workers)
			if class.Adjacency == AdjacentWorker {
				maxTasks = max(maxTasks, tasksOnWorker)
			}
		}
		tasksInSite += tasksInRack * int64(r.count)
		if class.Adjacency == AdjacentRack {
			maxTasks = max(maxTasks, tasksInRack)
		}
	}
	if class.Adjacency == AdjacentDataCentre {
		maxTasks = tasksInSite
	}
	return maxTasks >= class.Tasks
}
