package decl

import (
	"cmp"
	"slices"

	"catkinpoint/wire"
)

// noSlotLimit stands for slots where no service limits them.
const noSlotLimit = 1 << 20

// bin counts workers that have the same room left.
type bin struct {
	free  int // accelerators
	slots int // parts of shapes that still fit; each part occupies a slot
	n     int // workers
}

// bins is ordered by free, then slots, without repetition, so that equal
// workers are tried once and equal states compare equal.
type bins []bin

func (b bins) find(free, slots int) (int, bool) {
	return slices.BinarySearchFunc(b, bin{free: free, slots: slots}, func(x, y bin) int {
		return cmp.Or(cmp.Compare(x.free, y.free), cmp.Compare(x.slots, y.slots))
	})
}

// add counts n more workers with the given room.
func (b bins) add(free, slots, n int) bins {
	i, found := b.find(free, slots)
	if found {
		b[i].n += n
		return b
	}
	return slices.Insert(b, i, bin{free, slots, n})
}

// use puts a part of size accelerators on k workers of bin i.
func (b bins) use(i, size, k int) bins {
	from := b[i]
	if from.n == k {
		b = slices.Delete(b, i, i+1)
	} else {
		b[i].n -= k
	}
	return b.add(from.free-size, from.slots-1, k)
}

// fit returns the bin with the least room that still holds a part, or -1.
func (b bins) fit(size int) int {
	for i, x := range b {
		if x.free >= size && x.slots > 0 {
			return i
		}
	}
	return -1
}

// whole returns the bin of unused workers of the largest size, or -1.
func (b bins) whole(size int) int {
	i := len(b) - 1
	if i < 0 || b[i].free < size || b[i].slots < 1 {
		return -1
	}
	return i
}

func (b bins) free() int {
	total := 0
	for _, x := range b {
		total += x.free * x.n
	}
	return total
}

// rack counts racks whose workers have the same room left.
type rack struct {
	bins bins
	n    int
}

// site is the room of one data centre. Until flatten it is counted by rack,
// afterwards by worker only.
type site struct {
	name  string
	size  int // accelerators of the largest worker
	racks []rack
	flat  bins
}

// newSite builds the empty site from the announced workers, or else from the planned ones.
func newSite(name string, dc *wire.DataCentre, inventory Inventory, slots int) *site {
	s := &site{name: name}
	if workers, ok := inventory[name]; ok {
		byRack := map[string]bins{}
		for _, w := range workers {
			s.size = max(s.size, w.Accelerators)
			byRack[w.Rack] = byRack[w.Rack].add(w.Accelerators, slots, 1)
		}
		for _, b := range byRack {
			s.addRack(b, 1)
		}
		slices.SortFunc(s.racks, func(x, y rack) int { return compareBins(x.bins, y.bins) })
		return s
	}
	if dc.GetWorkers() <= 0 || dc.GetWorkersPerRack() <= 0 || dc.GetAcceleratorsPerWorker() <= 0 {
		return s
	}
	s.size = int(dc.AcceleratorsPerWorker)
	full, rest := int(dc.Workers/dc.WorkersPerRack), int(dc.Workers%dc.WorkersPerRack)
	if full > 0 {
		s.addRack(bins{{s.size, slots, int(dc.WorkersPerRack)}}, full)
	}
	if rest > 0 {
		s.addRack(bins{{s.size, slots, rest}}, 1)
	}
	return s
}

func compareBins(x, y bins) int {
	return slices.CompareFunc(x, y, func(a, b bin) int {
		return cmp.Or(cmp.Compare(a.free, b.free), cmp.Compare(a.slots, b.slots), cmp.Compare(a.n, b.n))
	})
}

func (s *site) addRack(b bins, n int) {
	for i := range s.racks {
		if slices.Equal(s.racks[i].bins, b) {
			s.racks[i].n += n
			return
		}
	}
	s.racks = append(s.racks, rack{b, n})
}

// split takes one rack out of class i and returns its bins for a change; the
// caller adds the changed rack with addRack.
func (s *site) split(i int) bins {
	b := slices.Clone(s.racks[i].bins)
	s.racks[i].n--
	if s.racks[i].n == 0 {
		s.racks = slices.Delete(s.racks, i, i+1)
	}
	return b
}

// flatten forgets the racks once every shape that needs one has its place.
func (s *site) flatten() {
	for _, r := range s.racks {
		for _, b := range r.bins {
			s.flat = s.flat.add(b.free, b.slots, b.n*r.n)
		}
	}
	s.racks = nil
}

func (s *site) free() int {
	total := s.flat.free()
	for _, r := range s.racks {
		total += r.bins.free() * r.n
	}
	return total
}

func (s *site) clone() *site {
	c := &site{name: s.name, size: s.size, flat: slices.Clone(s.flat)}
	if s.racks != nil {
		c.racks = make([]rack, len(s.racks))
		for i, r := range s.racks {
			c.racks[i] = rack{slices.Clone(r.bins), r.n}
		}
	}
	return c
}
