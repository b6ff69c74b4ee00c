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

// Checker checks successive sets like Check. It leaves out the search for a
// place of every guarantee if the last sound set had the same plan, which holds
// for most changes, among them every drain. It is safe for concurrent use.
type Checker struct {
	mu    sync.Mutex
	sound [sha256.Size]byte
}

// Check reports every fault of a set, as the function Check does.
func (k *Checker) Check(s *Set, inventory Inventory) conf.Faults {
	plan := hashPlan(s, inventory)
	k.mu.Lock()
	known := k.sound == plan
	k.mu.Unlock()
	faults := check(s, inventory, known)
	if len(faults) == 0 && !known {
		k.mu.Lock()
		k.sound = plan
		k.mu.Unlock()
	}
	return faults
}

// hashPlan covers everything that checkGuarantees reads.
func hashPlan(s *Set, inventory Inventory) [sha256.Size]byte {
	h := sha256.New()
	for name, dc := range All[*wire.DataCentre](s) {
		may := int64(0)
		if dc.MayLeave {
			may = 1
		}
		add(h, []string{"data_centre", name}, may, dc.Workers, dc.AcceleratorsPerWorker, dc.WorkersPerRack)
		for _, w := range sortedWorkers(inventory[name]) {
			add(h, []string{"worker", w.Rack}, int64(w.Accelerators))
		}
		if _, announced := inventory[name]; announced {
			add(h, []string{"announced"}, int64(len(inventory[name])))
		}
	}
	for name, service := range All[*wire.Service](s) {
		add(h, append([]string{"service", name}, service.DataCentres...), service.Slots)
	}
	for name, g := range All[*wire.Guarantee](s) {
		add(h, append([]string{"guarantee", name, g.Adjacency}, g.DataCentres...), g.Accelerators, g.Count)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

func sortedWorkers(workers []Worker) []Worker {
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Accelerators, b.Accelerators))
	})
	return sorted
}

// add writes texts and numbers with their counts and lengths, so that different plans
// never give the same bytes.
func add(h hash.Hash, texts []string, numbers ...int64) {
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
