package admit

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// newFilledQueue returns a queue with n items of 300 customers, a tenth of the
// items urgent, and these items.
func newFilledQueue(n int) (*queue, []Item[struct{}]) {
	q := NewQueue[struct{}](QueueOptions{Limit: 2 * n, CustomerLimit: n})
	q.SetCapacity(1000, epoch)
	items := make([]Item[struct{}], n)
	for i := range items {
		items[i] = Item[struct{}]{
			ID: strconv.Itoa(i), Customer: fmt.Sprint("team", i%300), Accelerators: 1 + i%64,
			ExpectedRunTime: time.Hour, Urgent: i%10 == 0, Deadline: epoch.AddDate(10, 0, 0),
		}
		if err := q.Push(epoch, items[i]); err != nil {
			panic(err)
		}
	}
	return q, items
}

// BenchmarkRemoveMany removes 10,000 items that are spread evenly over the queue,
// as when a customer cancels many jobs, and pushes them again outside the timing.
// The queue sizes show whether the time depends on the size.
func BenchmarkRemoveMany(b *testing.B) {
	const removals = 10_000
	for _, size := range []int{20_000, 100_000, 500_000} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			q, items := newFilledQueue(size)
			b.ReportAllocs()
			for b.Loop() {
				for i := range removals {
					if _, ok := q.Remove(items[i*(size/removals)].ID); !ok {
						b.Fatal("item lost")
					}
				}
				b.StopTimer()
				for i := range removals {
					if err := q.Push(epoch, items[i*(size/removals)]); err != nil {
						b.Fatal(err)
					}
				}
				b.StartTimer()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*removals), "ns/cancel")
		})
	}
}

func BenchmarkPushPop(b *testing.B) {
	q, _ := newFilledQueue(100_000)
	for b.Loop() {
		item, _ := q.Pop()
		if err := q.Push(epoch, item); err != nil {
			b.Fatal(err)
		}
	}

	b.ReportAllocs()
}

func BenchmarkIterate(b *testing.B) {
	for _, n := range []int{100, 100_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			q, _ := newFilledQueue(100_000)
			b.ReportAllocs()
			for b.Loop() {
				remaining := n
				for range q.All() {
					if remaining--; remaining == 0 {
						break
					}
				}
			}
		})
	}
}
