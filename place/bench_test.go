package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"catkinpoint/place"
)

// nearlyFullState returns a data centre with almost all accelerators in use,
// guarantees for a third of them, and queued jobs of all sizes.
func nearlyFullState(workers, queued int) *place.State {
	r := rand.New(rand.NewPCG(1, 2))
	s := &place.State{InService: true, CapacityShare: 1}
	customers := max(4, workers*300/1240)
	for i := range customers {
		name := fmt.Sprintf("c%d", i)
		s.Customers = append(s.Customers, place.Customer{Name: name, Weight: 1})
		s.Guarantees = append(s.Guarantees, place.Guarantee{
			Name: "g" + name, Customer: name, Accelerators: []int{8, 16}[i%2], Adjacency: place.Adjacency(i % 2),
			Count: max(1, workers/customers/4), ReclaimWithin: 30 * time.Second,
		})
	}
	job := func(i int) place.Job {
		return place.Job{
			ID: fmt.Sprintf("j%d", i), Customer: fmt.Sprintf("c%d", r.IntN(customers)), Tasks: 1,
			Accelerators: 1, Checkpointable: r.IntN(4) > 0, Idempotent: true, StopTime: 10 * time.Second,
			ExpectedRunTime: time.Duration(1+r.IntN(7200)) * time.Second, Submitted: start,
		}
	}
	// 13 tasks run on each worker, which is about 8,000 on 620 workers.
	for i := range workers {
		name := fmt.Sprintf("w%d", i)
		s.Workers = append(s.Workers, place.Worker{Name: name, Rack: fmt.Sprintf("r%d", i/3), Accelerators: 16, Slots: 16, Ready: true})
	}
	for i := range workers * 13 {
		j := job(i)
		j.Checkpointable = true
		s.Running = append(s.Running, place.Running{Job: j, Workers: []string{fmt.Sprintf("w%d", i%workers)}, Started: start, CheckpointedWork: time.Minute})
	}
	for i := range queued {
		j := job(workers*13 + i)
		switch i % 10 {
		case 0:
			j.Tasks, j.Accelerators, j.Adjacency = 2, 8, place.SameRack
		case 1:
			j.Tasks, j.Accelerators, j.Adjacency = 16, 8, place.SameDataCentre
		case 2, 3, 4:
			j.Accelerators = 8
		case 5:
			j.Urgent = true
		}
		s.Queue = append(s.Queue, j)
	}
	return s
}

func BenchmarkDecide(b *testing.B) {
	p := place.New(place.Options{})
	for _, workers := range []int{40, 160, 620, 1240} {
		for _, queued := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("workers=%d/queued=%d", workers, queued), func(b *testing.B) {
				s := nearlyFullState(workers, queued)
				b.ReportAllocs()
				for b.Loop() {
					p.Decide(s, start.Add(time.Hour))
				}
			})
		}
	}
}

// BenchmarkUnmetGuarantee measures decisions while a guaranteed shape fits on no
// worker, as after a loss of workers. The search for an assignment then runs to
// its limit.
func BenchmarkUnmetGuarantee(b *testing.B) {
	p := place.New(place.Options{})
	s := nearlyFullState(620, 100)
	for i := range s.Running {
		s.Running[i].Job.Checkpointable = i >= 620
	}
	s.Guarantees = append(s.Guarantees, place.Guarantee{Name: "lost", Customer: "c1", Accelerators: 16, Count: 1, ReclaimWithin: time.Minute})
	b.ReportAllocs()
	for b.Loop() {
		p.Decide(s, start.Add(time.Hour))
	}
}

func BenchmarkReclaimable(b *testing.B) {
	s := nearlyFullState(620, 0)
	b.ReportAllocs()
	for b.Loop() {
		if err := place.Reclaimable(s); err != nil {
			b.Fatal(err)
		}
	}
}
