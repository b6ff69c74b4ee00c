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

// TestDecide guards against decisions that break a rule of placement. Each case
// in testdata/decide is a small data centre with the actions expected for it.
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

// parseState reads one object of the state from each line, which has the form
// "kind name key=value ...".
func parseState(t *testing.T, text string) *place.State {
	s := &place.State{InService: true, CapacityShare: 1}
	for _, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if fields[0] == "out_of_service" {
			s.InService = false
			continue
		}
		attrs := attributes{t: t, values: make(map[string]string)}
		for _, pair := range fields[2:] {
			name, value, _ := strings.Cut(pair, "=")
			attrs.values[name] = value
		}
		switch fields[0] {
		case "share":
			s.CapacityShare = float64(attrs.parseInt(fields[1])) / 100
		case "planned":
			s.Planned = place.Planned{Workers: attrs.parseInt(fields[1]), Accelerators: 8, Slots: 8, WorkersPerRack: 3}
		case "worker":
			s.Workers = append(s.Workers, place.Worker{
				Name: fields[1], Rack: attrs.values["rack"], Accelerators: 8, Slots: 8,
				Ready: !attrs.isSet("silent"), SetAside: attrs.isSet("set_aside"), Probing: attrs.isSet("probing"),
			})
		case "customer":
			s.Customers = append(s.Customers, place.Customer{Name: fields[1], Weight: 1, Quota: attrs.number("quota")})
		case "guarantee":
			s.Guarantees = append(s.Guarantees, place.Guarantee{
				Name: fields[1], Customer: attrs.values["customer"], Accelerators: attrs.number("accelerators"),
				Adjacency: place.Adjacency(attrs.number("adjacency")), Count: 1, ReclaimWithin: 30 * time.Second,
			})
		case "job":
			s.Queue = append(s.Queue, attrs.job(fields[1]))
		case "reservation":
			s.Reservation = &place.Reservation{JobID: fields[1], Workers: strings.Split(attrs.values["on"], ","), Start: start.Add(attrs.seconds("start"))}
		case "running":
			s.Running = append(s.Running, place.Running{
				Job: attrs.job(fields[1]), Workers: strings.Split(attrs.values["on"], ","), Stopping: attrs.isSet("stopping"),
				Started: start.Add(-attrs.seconds("ran")), CheckpointedWork: attrs.seconds("checkpointed"),
			})
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	return s
}

// attributes holds the key=value pairs of one line.
type attributes struct {
	t      *testing.T
	values map[string]string
}

func (a attributes) isSet(name string) bool {
	_, ok := a.values[name]
	return ok
}

func (a attributes) parseInt(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		a.t.Fatal(err)
	}
	return n
}

func (a attributes) number(name string) int {
	if !a.isSet(name) {
		return 0
	}
	return a.parseInt(a.values[name])
}

func (a attributes) seconds(name string) time.Duration {
	return time.Duration(a.number(name)) * time.Second
}

func (a attributes) job(id string) place.Job {
	j := place.Job{
		ID: id, Customer: a.values["customer"], Tasks: max(1, a.number("tasks")), Accelerators: a.number("accelerators"),
		Adjacency: place.Adjacency(a.number("adjacency")), Idempotent: a.isSet("idempotent"), Checkpointable: a.isSet("stop"),
		StopTime: a.seconds("stop"), Urgent: a.isSet("urgent"), ExpectedRunTime: a.seconds("expected"), Submitted: start.Add(-a.seconds("waited")),
	}
	if a.isSet("avoid") {
		j.Avoid = strings.Split(a.values["avoid"], ",")
	}
	return j
}
