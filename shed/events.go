package shed

import (
	"time"

	"catkinpoint/plan"
)

// event is room that becomes free on a worker, if worker is not negative, and the end of a
// unit of a group, if group is not negative.
type event struct {
	at     time.Duration
	worker int
	room   plan.Resources
	group  int
}

// eventHeap is a binary heap with the earliest event first. The heap of the standard library
// boxes each element, which doubles the time of a forecast.
type eventHeap []event

func (h *eventHeap) push(e event) {
	*h = append(*h, e)
	list := *h
	for i := len(list) - 1; i > 0; {
		parent := (i - 1) / 2
		if list[parent].at <= list[i].at {
			return
		}
		list[parent], list[i] = list[i], list[parent]
		i = parent
	}
}

func (h *eventHeap) pop() event {
	list := *h
	first := list[0]
	last := len(list) - 1
	list[0] = list[last]
	*h = list[:last]
	list = *h
	for i := 0; ; {
		least := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(list) && list[child].at < list[least].at {
				least = child
			}
		}
		if least == i {
			return first
		}
		list[i], list[least] = list[least], list[i]
		i = least
	}
}
