package trace

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"catkinpoint/place"

	"gopkg.in/ini.v1"
)

// adjacencies are the names of place.Adjacency values in files.
var adjacencies = []string{"worker", "rack", "data_centre"}

// Write writes the trace as INI with one line for each job.
func (t *Trace) Write(w io.Writer) error {
	f := ini.Empty()
	set := func(section string, pairs ...any) {
		s := f.Section(section)
		for i := 0; i < len(pairs); i += 2 {
			s.Key(pairs[i].(string)).SetValue(fmt.Sprint(pairs[i+1]))
		}
	}
	set("trace", "name", t.Name, "seed", t.Seed, "load", t.Load, "length", t.Length)
	for _, d := range t.DataCentres {
		set("data_centre "+d.Name, "region", d.Region, "workers", d.Workers,
			"accelerators_per_worker", d.Accelerators, "slots", d.Slots,
			"workers_per_rack", d.WorkersPerRack, "leaves", d.Leaves, "returns", d.Returns)
		for _, g := range d.Guarantees {
			set("guarantee "+g.Name, "data_centre", d.Name, "customer", g.Customer,
				"accelerators", g.Accelerators, "adjacency", adjacencies[g.Adjacency],
				"count", g.Count, "reclaim_within", g.ReclaimWithin)
		}
	}
	for _, c := range t.Customers {
		set("customer "+c.Name, "accelerator_quota", c.Quota, "weight", c.Weight)
	}
	for _, c := range t.Classes {
		set("job_class "+c.Name, "tasks", c.Tasks, "accelerators", c.Accelerators,
			"adjacency", adjacencies[c.Adjacency], "expected_run_time", c.Declared,
			"idempotent", c.Idempotent, "checkpointable", c.Checkpointable, "urgent", c.Urgent,
			"stop_time", c.StopTime, "checkpoint_every", c.CheckpointEvery)
	}
	for i, b := range t.Faults {
		set(fmt.Sprintf("fault %d", i+1), "worker", b.Worker, "from", b.From, "until", b.Until)
	}
	set("jobs", "columns", "submitted region customer class tasks accelerators run_time stop cancelled faulty")
	for _, j := range t.Jobs {
		set("jobs", j.ID, fmt.Sprint(j.Submitted, " ", j.Region, " ", j.Customer, " ", t.Classes[j.Class].Name, " ",
			j.Tasks, " ", j.Accelerators, " ", j.RunTime, " ", j.Stop, " ", j.Cancelled, " ", j.Faulty))
	}
	if _, err := f.WriteTo(w); err != nil {
		return Error.New("write of trace %s: %w", t.Name, err)
	}
	return nil
}

// Read reads a trace that Write wrote.
func Read(r io.Reader) (*Trace, error) {
	f, err := ini.Load(r)
	if err != nil {
		return nil, Error.New("parse of trace: %w", err)
	}
	t := &Trace{}
	for _, s := range f.Sections() {
		kind, name, _ := strings.Cut(s.Name(), " ")
		if err := t.readSection(kind, name, s); err != nil {
			return nil, Error.New("section %q: %w", s.Name(), err)
		}
	}
	return t, nil
}

func (t *Trace) readSection(kind, name string, s *ini.Section) error {
	d := &decoder{section: s}
	switch kind {
	case "trace":
		t.Name, t.Seed = d.text("name"), uint64(d.number("seed"))
		t.Load, t.Length = d.real("load"), d.span("length")
	case "data_centre":
		t.DataCentres = append(t.DataCentres, DataCentre{
			Name: name, Region: d.text("region"), Workers: d.number("workers"),
			Accelerators: d.number("accelerators_per_worker"), Slots: d.number("slots"),
			WorkersPerRack: d.number("workers_per_rack"), Leaves: d.span("leaves"), Returns: d.span("returns"),
		})
	case "guarantee":
		for i := range t.DataCentres {
			if dc := &t.DataCentres[i]; dc.Name == d.text("data_centre") {
				dc.Guarantees = append(dc.Guarantees, place.Guarantee{
					Name: name, Customer: d.text("customer"), Accelerators: d.number("accelerators"),
					Adjacency: d.adjacency(), Count: d.number("count"), ReclaimWithin: d.span("reclaim_within"),
				})
			}
		}
	case "customer":
		t.Customers = append(t.Customers, place.Customer{Name: name, Quota: d.number("accelerator_quota"), Weight: d.real("weight")})
	case "job_class":
		t.Classes = append(t.Classes, Class{
			Name: name, Tasks: d.number("tasks"), Accelerators: d.number("accelerators"),
			Adjacency: d.adjacency(), Declared: d.span("expected_run_time"),
			Idempotent: d.flag("idempotent"), Checkpointable: d.flag("checkpointable"), Urgent: d.flag("urgent"),
			StopTime: d.span("stop_time"), CheckpointEvery: d.span("checkpoint_every"),
		})
	case "fault":
		t.Faults = append(t.Faults, Fault{d.text("worker"), d.span("from"), d.span("until")})
	case "jobs":
		for _, k := range s.Keys()[1:] {
			j, err := t.readJob(k.Name(), strings.Fields(k.String()))
			if err != nil {
				return fmt.Errorf("job %s: %w", k.Name(), err)
			}
			t.Jobs = append(t.Jobs, j)
		}
	}
	return d.err
}

func (t *Trace) readJob(id string, f []string) (Job, error) {
	if len(f) != 10 {
		return Job{}, fmt.Errorf("%d columns, want 10", len(f))
	}
	var err error
	span := func(s string) time.Duration {
		v, e := time.ParseDuration(s)
		err = firstError(err, e)
		return v
	}
	number := func(s string) int {
		v, e := strconv.Atoi(s)
		err = firstError(err, e)
		return v
	}
	j := Job{
		ID: id, Submitted: span(f[0]), Region: f[1], Customer: f[2], Class: -1,
		Tasks: number(f[4]), Accelerators: number(f[5]), RunTime: span(f[6]),
		Stop: span(f[7]), Cancelled: span(f[8]), Faulty: f[9] == "true",
	}
	for i := range t.Classes {
		if t.Classes[i].Name == f[3] {
			j.Class = i
		}
	}
	if j.Class < 0 {
		err = firstError(err, fmt.Errorf("unknown class %q", f[3]))
	}
	return j, err
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// decoder reads the keys of a section and keeps the first error.
type decoder struct {
	section *ini.Section
	err     error
}

func (d *decoder) text(key string) string {
	return d.section.Key(key).String()
}

func (d *decoder) number(key string) int {
	v, err := d.section.Key(key).Int()
	d.err = firstError(d.err, err)
	return v
}

func (d *decoder) real(key string) float64 {
	v, err := d.section.Key(key).Float64()
	d.err = firstError(d.err, err)
	return v
}

func (d *decoder) span(key string) time.Duration {
	v, err := d.section.Key(key).Duration()
	d.err = firstError(d.err, err)
	return v
}

func (d *decoder) flag(key string) bool {
	v, err := d.section.Key(key).Bool()
	d.err = firstError(d.err, err)
	return v
}

func (d *decoder) adjacency() place.Adjacency {
	for i, name := range adjacencies {
		if name == d.text("adjacency") {
			return place.Adjacency(i)
		}
	}
	d.err = firstError(d.err, fmt.Errorf("unknown adjacency %q", d.text("adjacency")))
	return 0
}
