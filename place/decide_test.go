package place_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"catkinpoint/place"

	"github.com/cockroachdb/datadriven"
)

// TestDecide guards against decisions that break a rule of placement, each
// case of which is written out as a small data centre.
func TestDecide(t *testing.T) {
	datadriven.Walk(t, "testdata/decide", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s := parseState(t, d.Input)
			var p place.Policy = place.New(place.Options{})
			if d.Cmd == "first_fit" {
				p = place.FirstFit{}
			}
			var out strings.Builder
			for _, a := range p.Decide(s, start) {
				fmt.Fprintln(&out, describe(a))
			}
			if err := place.Reclaimable(s); err != nil {
				fmt.Fprintln(&out, err)
			}
			return out.String()
		})
	})
}

// parseState reads one object in each line as "kind name key=value ...".
func parseState(t *testing.T, text string) *place.State {
	s := &place.State{InService: true, CapacityShare: 1}
	for _, line := range strings.Split(text, "\n") {
		f := strings.Fields(line)
		if f[0] == "out_of_service" {
			s.InService = false
			continue
		}
		k := keys{t: t, values: make(map[string]string)}
		for _, pair := range f[2:] {
			name, value, _ := strings.Cut(pair, "=")
			k.values[name] = value
		}
		switch f[0] {
		case "share":
			s.CapacityShare = float64(k.parse(f[1])) / 100
		case "planned":
			s.Planned = place.Planned{Workers: k.parse(f[1]), Accelerators: 8, Slots: 8, WorkersPerRack: 3}
		case "worker":
			s.Workers = append(s.Workers, place.Worker{
				Name: f[1], Rack: k.values["rack"], Accelerators: 8, Slots: 8,
				Ready: !k.has("silent"), SetAside: k.has("set_aside"), Probing: k.has("probing"),
			})
		case "customer":
			s.Customers = append(s.Customers, place.Customer{Name: f[1], Weight: 1, Quota: k.number("quota")})
		case "guarantee":
			s.Guarantees = append(s.Guarantees, place.Guarantee{
				Name: f[1], Customer: k.values["customer"], Accelerators: k.number("accelerators"),
				Adjacency: place.Adjacency(k.number("adjacency")), Count: 1, ReclaimWithin: 30 * time.Second,
			})
		case "job":
			s.Queue = append(s.Queue, k.job(f[1]))
		case "reservation":
			s.Reservation = &place.Reservation{JobID: f[1], Workers: strings.Split(k.values["on"], ","), Start: start.Add(k.span("start"))}
		case "running":
			s.Running = append(s.Running, place.Running{
				Job: k.job(f[1]), Workers: strings.Split(k.values["on"], ","), Stopping: k.has("stopping"),
				Started: start.Add(-k.span("ran")), Checkpointed: k.span("checkpointed"),
			})
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	return s
}

type keys struct {
	t      *testing.T
	values map[string]string
}

func (k keys) has(name string) bool {
	_, ok := k.values[name]
	return ok
}

func (k keys) parse(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		k.t.Fatal(err)
	}
	return n
}

func (k keys) number(name string) int {
	if !k.has(name) {
		return 0
	}
	return k.parse(k.values[name])
}

func (k keys) span(name string) time.Duration {
	return time.Duration(k.number(name)) * time.Second
}

func (k keys) job(id string) place.Job {
	j := place.Job{
		ID: id, Customer: k.values["customer"], Tasks: max(1, k.number("tasks")), Accelerators: k.number("accelerators"),
		Adjacency: place.Adjacency(k.number("adjacency")), Idempotent: k.has("idempotent"), Checkpointable: k.has("stop"),
		StopTime: k.span("stop"), Urgent: k.has("urgent"), Expected: k.span("expected"), Submitted: start.Add(-k.span("waited")),
	}
	if k.has("avoid") {
		j.Avoid = strings.Split(k.values["avoid"], ",")
	}
	return j
}
