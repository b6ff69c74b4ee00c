package decl

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"slices"
	"sync"

	"catkinpoint/conf"
	"catkinpoint/wire"
)

// Checker checks successive sets and returns the same faults as Check. It does not
// check the guarantees again if the last set without faults had the same plan,
// that is, the same guarantees, slots and workers. Most changes, and every
// drain, leave the plan as it is. A Checker is safe for concurrent use.
type Checker struct {
	mu        sync.Mutex
	validPlan [sha256.Size]byte // hash of the plan of the last set without faults
}

// Check returns every fault of a set, as the function Check does.
func (c *Checker) Check(s *Set, inventory Inventory) conf.Faults {
	plan := hashPlan(s, inventory)
	c.mu.Lock()
	unchanged := c.validPlan == plan
	c.mu.Unlock()
	faults := check(s, inventory, unchanged)
	if len(faults) == 0 && !unchanged {
		c.mu.Lock()
		c.validPlan = plan
		c.mu.Unlock()
	}
	return faults
}

// hashPlan returns a hash of the plan, which is everything that checkGuarantees reads.
func hashPlan(s *Set, inventory Inventory) [sha256.Size]byte {
	h := sha256.New()
	for name, dc := range All[*wire.DataCentre](s) {
		mayLeave := int64(0)
		if dc.MayLeave {
			mayLeave = 1
		}
		hashFields(h, []string{"data_centre", name}, mayLeave, dc.Workers, dc.AcceleratorsPerWorker, dc.WorkersPerRack)
		for _, w := range sortedWorkers(inventory[name]) {
			hashFields(h, []string{"worker", w.Rack}, int64(w.Accelerators))
		}
		if _, announced := inventory[name]; announced {
			hashFields(h, []string{"announced"}, int64(len(inventory[name])))
		}
	}
	for name, service := range All[*wire.Service](s) {
		hashFields(h, append([]string{"service", name}, service.DataCentres...), service.Slots)
	}
	for name, g := range All[*wire.Guarantee](s) {
		hashFields(h, append([]string{"guarantee", name, g.Adjacency}, g.DataCentres...), g.Accelerators, g.Count)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// sortedWorkers returns the workers in an order that does not depend on the
// order in which they are listed.
func sortedWorkers(workers []Worker) []Worker {
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Accelerators, b.Accelerators))
	})
	return sorted
}

// hashFields adds texts and numbers to the hash with their counts and lengths, so
// that different plans never write the same bytes.
func hashFields(h hash.Hash, texts []string, numbers ...int64) {
	b := binary.AppendUvarint(nil, uint64(len(texts)))
	for _, text := range texts {
		b = binary.AppendUvarint(b, uint64(len(text)))
		b = append(b, text...)
	}
	b = binary.AppendUvarint(b, uint64(len(numbers)))
	for _, n := range numbers {
		b = binary.AppendVarint(b, n)
	}
	h.Write(b)
}
