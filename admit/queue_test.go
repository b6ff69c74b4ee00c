package admit

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

type queue = Queue[struct{}]

// parseItem parses "id customer accelerators expected [urgent] [deadline]"; the
// deadline is relative to epoch.
func parseItem(t *testing.T, line string) Item[struct{}] {
	fields := append(strings.Fields(line), "", "")
	accelerators, err1 := strconv.Atoi(fields[2])
	expected, err2 := time.ParseDuration(fields[3])
	item := Item[struct{}]{ID: fields[0], Customer: fields[1], Accelerators: accelerators, ExpectedRunTime: expected}
	rest := fields[4:]
	if rest[0] == "urgent" {
		item.Urgent, rest = true, rest[1:]
	}
	var err3 error
	if rest[0] != "" {
		var untilDeadline time.Duration
		untilDeadline, err3 = time.ParseDuration(rest[0])
		item.Deadline = epoch.Add(untilDeadline)
	}
	if err := errors.Join(err1, err2, err3); err != nil {
		t.Fatal(line, err)
	}
	return item
}

func joinIDs(items []Item[struct{}]) string {
	var out []string
	for _, item := range items {
		out = append(out, item.ID)
	}
	return strings.Join(out, " ")
}

// TestQueueScripts guards against unintended changes of the order of service, of
// refusals and of estimated waits; testdata/queue holds the expected ones.
func TestQueueScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/queue", func(t *testing.T, path string) {
		var q *queue
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			name := ""
			d.MaybeScanArgs(t, "id", &name)
			lines := strings.Split(d.Input, "\n")
			switch d.Cmd {
			case "new":
				o := QueueOptions{MinCost: time.Second, UrgentShare: -1}
				d.MaybeScanArgs(t, "limit", &o.Limit)
				d.MaybeScanArgs(t, "customer_limit", &o.CustomerLimit)
				d.MaybeScanArgs(t, "share", &o.UrgentShare)
				d.MaybeScanArgs(t, "burst", &o.UrgentBurst)
				d.MaybeScanArgs(t, "lead", &o.UrgentLead)
				q = NewQueue[struct{}](o)
			case "service":
				var accelerators int
				var free time.Duration
				d.ScanArgs(t, "accelerators", &accelerators)
				d.MaybeScanArgs(t, "free", &free)
				q.SetCapacity(accelerators, epoch.Add(free))
			case "customers":
				var customers []Customer
				for _, line := range lines {
					var c Customer
					if _, err := fmt.Sscan(line, &c.Name, &c.Weight, &c.Limit); err != nil {
						t.Fatal(err)
					}
					customers = append(customers, c)
				}
				q.SetCustomers(customers)
			case "push":
				for _, line := range lines {
					item := parseItem(t, line)
					if err := q.Push(epoch, item); err != nil {
						fmt.Fprintf(&out, "%s: %v\n", item.ID, err)
					}
				}
			case "wait":
				fmt.Fprintln(&out, q.EstimateWait(epoch, parseItem(t, d.Input)))
			case "order":
				fmt.Fprintln(&out, joinIDs(slices.Collect(q.All())))
			case "pop":
				item, ok := q.Pop()
				fmt.Fprintln(&out, item.ID, ok)
			case "take":
				_, ok := q.Take(name)
				fmt.Fprintln(&out, ok)
			case "remove":
				_, ok := q.Remove(name)
				fmt.Fprintln(&out, ok)
			case "return":
				if err := q.Requeue(parseItem(t, d.Input)); err != nil {
					fmt.Fprintln(&out, err)
				}
			case "correct":
				var difference time.Duration
				d.ScanArgs(t, "difference", &difference)
				q.AdjustCharge(name, 1, difference)
			default:
				t.Fatal("unknown command", d.Cmd)
			}
			return out.String()
		})
	})
}

// TestQueueInvariants guards against lost and repeated items, admission above the
// limits, and an iteration by All that differs from the order of Pop.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, customerLimit = 30, 12
		q := NewQueue[struct{}](QueueOptions{Limit: limit, CustomerLimit: customerLimit, UrgentBurst: 3})
		q.SetCapacity(2, epoch)
		waiting, nextID := map[string]bool{}, 0
		checkRemoved := func(item Item[struct{}], ok bool) {
			if ok != waiting[item.ID] {
				t.Fatalf("item %q: removed %v, was waiting %v", item.ID, ok, waiting[item.ID])
			}
			delete(waiting, item.ID)
		}
		drawID := func() string { return strconv.Itoa(rapid.IntRange(0, nextID).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				item := Item[struct{}]{
					ID:              strconv.Itoa(nextID),
					Customer:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
					Accelerators:    rapid.IntRange(0, 16).Draw(t, "accelerators"),
					ExpectedRunTime: time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond,
					Urgent:          rapid.Bool().Draw(t, "urgent"),
				}
				nextID++
				if q.Push(epoch, item) == nil {
					waiting[item.ID] = true
				}
			},
			"pop": func(*rapid.T) {
				item, ok := q.Pop()
				if !ok && len(waiting) > 0 {
					t.Fatal("Pop returned nothing although items wait")
				}
				if ok {
					checkRemoved(item, ok)
				}
			},
			"take": func(*rapid.T) {
				id := drawID()
				_, ok := q.Take(id)
				checkRemoved(Item[struct{}]{ID: id}, ok)
			},
			"remove": func(*rapid.T) {
				id := drawID()
				_, ok := q.Remove(id)
				checkRemoved(Item[struct{}]{ID: id}, ok)
			},
			"correct": func(*rapid.T) {
				q.AdjustCharge("a", 1, time.Duration(rapid.IntRange(-5, 5).Draw(t, "s"))*time.Second)
			},
			"weights": func(*rapid.T) {
				q.SetCustomers([]Customer{{Name: "b", Weight: rapid.Float64Range(0.1, 10).Draw(t, "weight")}})
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) || q.Len() > limit {
					t.Fatalf("length %d, want %d within the limit", q.Len(), len(waiting))
				}
				sum := 0
				for _, c := range []string{"a", "b", "c"} {
					sum += q.CustomerLen(c)
					if q.CustomerLen(c) > customerLimit {
						t.Fatalf("customer %s has %d items, above the limit", c, q.CustomerLen(c))
					}
				}
				if sum != len(waiting) {
					t.Fatalf("customers have %d items in total, want %d", sum, len(waiting))
				}
			},
		})
		var popped []Item[struct{}]
		walked := slices.Collect(q.All())
		for item, ok := q.Pop(); ok; item, ok = q.Pop() {
			popped = append(popped, item)
			checkRemoved(item, ok)
		}
		if diff := cmp.Diff(walked, popped); diff != "" || len(waiting) > 0 {
			t.Fatalf("iteration differs from Pop (-walked +popped), %d left:\n%s", len(waiting), diff)
		}
	})
}

// TestFairShareUnderFlood guards against a customer that gets more than its fair
// share by pushing many items, urgent or not.
func TestFairShareUnderFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[struct{}](QueueOptions{Limit: 1 << 20, CustomerLimit: 1 << 20, UrgentLead: time.Second})
		q.SetCapacity(4, epoch)
		weights := []float64{1, rapid.Float64Range(0.5, 4).Draw(t, "weight"), 2}
		names := []string{"flood", "b", "c"}
		totalWeight, largestCost := 0.0, 0.0
		var customers []Customer
		for i, w := range weights {
			totalWeight += w
			customers = append(customers, Customer{Name: names[i], Weight: w})
		}
		q.SetCustomers(customers)
		urgent := rapid.Bool().Draw(t, "urgent")
		nextID := 0
		push := func(customer string, count int) {
			for range count {
				item := Item[struct{}]{
					ID: strconv.Itoa(nextID), Customer: customer, Accelerators: rapid.IntRange(1, 8).Draw(t, "n"),
					ExpectedRunTime: time.Second, Urgent: urgent && customer == "flood",
				}
				nextID++
				largestCost = max(largestCost, float64(item.Accelerators))
				if err := q.Push(epoch, item); err != nil {
					t.Fatal(err)
				}
			}
		}
		for _, name := range names {
			push(name, 5)
		}
		push("flood", 100)
		served, servedTotal := map[string]float64{}, 0.0
		for range 200 {
			item, _ := q.Pop()
			served[item.Customer] += float64(item.Accelerators)
			servedTotal += float64(item.Accelerators)
			push(item.Customer, 1)
		}
		// The urgent lead of 1 s on 4 accelerators, and the items at both ends of
		// the run, may be served out of turn.
		tolerance := 4*4.0 + 4*largestCost
		for i, name := range names {
			if want := servedTotal * weights[i] / totalWeight; math.Abs(served[name]-want) > tolerance {
				t.Fatalf("%s: served %.0f of %.0f, fair share %.0f (weights %v)", name, served[name], servedTotal, want, weights)
			}
		}
	})
}
