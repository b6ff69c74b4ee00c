package decl

import (
	"cmp"
	"slices"

	"catkinpoint/wire"
)

// noSlotLimit is the number of slots of a worker if no service limits it.
const noSlotLimit = 1 << 20

// bin is a group of workers with the same number of free accelerators and slots.
type bin struct {
	free    int // free accelerators of each worker
	slots   int // free slots of each worker; a part of a shape occupies one slot
	workers int // number of workers in the group
}

// bins holds a set of workers, grouped by free accelerators and slots. It is
// sorted by free, then slots, without duplicates, so that equal workers are
// tried only once and equal states compare equal.
type bins []bin

// find returns the index of the bin with the given free accelerators and slots
// and true, or the index at which to insert it and false.
func (b bins) find(free, slots int) (int, bool) {
	return slices.BinarySearchFunc(b, bin{free: free, slots: slots}, func(x, y bin) int {
		return cmp.Or(cmp.Compare(x.free, y.free), cmp.Compare(x.slots, y.slots))
	})
}

// addWorkers adds workers with the given free accelerators and slots.
func (b bins) addWorkers(free, slots, workers int) bins {
	i, found := b.find(free, slots)
	if found {
		b[i].workers += workers
		return b
	}
	return slices.Insert(b, i, bin{free, slots, workers})
}

// occupy places a part of size accelerators on each of several workers of bin i.
func (b bins) occupy(i, size, workers int) bins {
	from := b[i]
	if from.workers == workers {
		b = slices.Delete(b, i, i+1)
	} else {
		b[i].workers -= workers
	}
	return b.addWorkers(from.free-size, from.slots-1, workers)
}

// bestFit returns the index of the bin with the fewest free accelerators that
// has room for a part of size accelerators, or -1.
func (b bins) bestFit(size int) int {
	for i, x := range b {
		if x.free >= size && x.slots > 0 {
			return i
		}
	}
	return -1
}

// wholeWorkers returns the index of the bin of unused workers with size
// accelerators, or -1. The size must be that of the largest worker of the site.
func (b bins) wholeWorkers(size int) int {
	i := len(b) - 1
	if i < 0 || b[i].free < size || b[i].slots < 1 {
		return -1
	}
	return i
}

func (b bins) freeAccelerators() int {
	total := 0
	for _, x := range b {
		total += x.free * x.workers
	}
	return total
}

// rackGroup is a group of racks with equal bins.
type rackGroup struct {
	bins  bins // workers of each rack
	count int  // number of racks in the group
}

// site is the free capacity of one data centre. Before flatten the workers are
// grouped by rack in racks; afterwards all of them are in flat.
type site struct {
	name       string
	workerSize int // accelerators of the largest worker; 0 if no worker has any
	racks      []rackGroup
	flat       bins
}

// newSite returns the site of an empty data centre whose workers have the given
// number of slots. It uses the announced workers if the inventory has the data
// centre, and the planned workers otherwise.
func newSite(name string, dc *wire.DataCentre, inventory Inventory, slots int) *site {
	s := &site{name: name}
	if workers, ok := inventory[name]; ok {
		byRack := map[string]bins{}
		for _, w := range workers {
			s.workerSize = max(s.workerSize, w.Accelerators)
			byRack[w.Rack] = byRack[w.Rack].addWorkers(w.Accelerators, slots, 1)
		}
		for _, b := range byRack {
			s.addRack(b, 1)
		}
		slices.SortFunc(s.racks, func(x, y rackGroup) int { return compareBins(x.bins, y.bins) })
		return s
	}
	if dc.GetWorkers() <= 0 || dc.GetWorkersPerRack() <= 0 || dc.GetAcceleratorsPerWorker() <= 0 {
		return s
	}
	s.workerSize = int(dc.AcceleratorsPerWorker)
	full, rest := int(dc.Workers/dc.WorkersPerRack), int(dc.Workers%dc.WorkersPerRack)
	if full > 0 {
		s.addRack(bins{{s.workerSize, slots, int(dc.WorkersPerRack)}}, full)
	}
	if rest > 0 {
		s.addRack(bins{{s.workerSize, slots, rest}}, 1)
	}
	return s
}

func compareBins(x, y bins) int {
	return slices.CompareFunc(x, y, func(a, b bin) int {
		return cmp.Or(cmp.Compare(a.free, b.free), cmp.Compare(a.slots, b.slots), cmp.Compare(a.workers, b.workers))
	})
}

// addRack adds count racks with the given bins.
func (s *site) addRack(b bins, count int) {
	for i := range s.racks {
		if slices.Equal(s.racks[i].bins, b) {
			s.racks[i].count += count
			return
		}
	}
	s.racks = append(s.racks, rackGroup{b, count})
}

// takeRack removes one rack from group i and returns a copy of its bins; the
// caller changes the bins and adds the rack again with addRack.
func (s *site) takeRack(i int) bins {
	b := slices.Clone(s.racks[i].bins)
	s.racks[i].count--
	if s.racks[i].count == 0 {
		s.racks = slices.Delete(s.racks, i, i+1)
	}
	return b
}

// flatten moves the workers of all racks to flat. It is called once every shape
// that must lie in one rack has been placed.
func (s *site) flatten() {
	for _, r := range s.racks {
		for _, b := range r.bins {
			s.flat = s.flat.addWorkers(b.free, b.slots, b.workers*r.count)
		}
	}
	s.racks = nil
}

func (s *site) freeAccelerators() int {
	total := s.flat.freeAccelerators()
	for _, r := range s.racks {
		total += r.bins.freeAccelerators() * r.count
	}
	return total
}

func (s *site) clone() *site {
	c := &site{name: s.name, workerSize: s.workerSize, flat: slices.Clone(s.flat)}
	if s.racks != nil {
		c.racks = make([]rackGroup, len(s.racks))
		for i, r := range s.racks {
			c.racks[i] = rackGroup{slices.Clone(r.bins), r.count}
		}
	}
	return c
}
