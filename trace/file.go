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

// adjacencyNames holds the names of place.Adjacency values in trace files, indexed
// by value.
var adjacencyNames = []string{"worker", "rack", "data_centre"}

// Write writes the trace as INI with one line for each job.
func (t *Trace) Write(w io.Writer) error {
	f := ini.Empty()
	setKeys := func(section string, pairs ...any) {
		s := f.Section(section)
		for i := 0; i < len(pairs); i += 2 {
			s.Key(pairs[i].(string)).SetValue(fmt.Sprint(pairs[i+1]))
		}
	}
	setKeys("trace", "name", t.Name, "seed", t.Seed, "load", t.Load, "length", t.Length)
	for _, d := range t.DataCentres {
		setKeys("data_centre "+d.Name, "region", d.Region, "workers", d.Workers,
			"accelerators_per_worker", d.AcceleratorsPerWorker, "slots", d.SlotsPerWorker,
			"workers_per_rack", d.WorkersPerRack, "leaves", d.LeavesAt, "returns", d.ReturnsAt)
		for _, g := range d.Guarantees {
			setKeys("guarantee "+g.Name, "data_centre", d.Name, "customer", g.Customer,
				"accelerators", g.Accelerators, "adjacency", adjacencyNames[g.Adjacency],
				"count", g.Count, "reclaim_within", g.ReclaimWithin)
		}
	}
	for _, c := range t.Customers {
		setKeys("customer "+c.Name, "accelerator_quota", c.Quota, "weight", c.Weight)
	}
	for _, c := range t.Classes {
		setKeys("job_class "+c.Name, "tasks", c.Tasks, "accelerators", c.Accelerators,
			"adjacency", adjacencyNames[c.Adjacency], "expected_run_time", c.ExpectedRunTime,
			"idempotent", c.Idempotent, "checkpointable", c.Checkpointable, "urgent", c.Urgent,
			"stop_time", c.StopTime, "checkpoint_every", c.CheckpointInterval)
	}
	for i, fault := range t.Faults {
		setKeys(fmt.Sprintf("fault %d", i+1), "worker", fault.Worker, "from", fault.From, "until", fault.Until)
	}
	setKeys("jobs", "columns", "submitted region customer class tasks accelerators run_time stop cancelled faulty")
	for _, j := range t.Jobs {
		setKeys("jobs", j.ID, fmt.Sprint(j.Submitted, " ", j.Region, " ", j.Customer, " ", t.Classes[j.Class].Name, " ",
			j.Tasks, " ", j.Accelerators, " ", j.RunTime, " ", j.StopTime, " ", j.CancelledAt, " ", j.Faulty))
	}
	if _, err := f.WriteTo(w); err != nil {
		return Error.New("writing trace %s: %w", t.Name, err)
	}
	return nil
}

// Read reads a trace in the format of Write.
func Read(r io.Reader) (*Trace, error) {
	f, err := ini.Load(r)
	if err != nil {
		return nil, Error.New("parsing trace: %w", err)
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

// readSection adds the contents of one section to the trace. A section refers only
// to sections before it, as Write orders them.
func (t *Trace) readSection(kind, name string, s *ini.Section) error {
	d := &sectionDecoder{section: s}
	switch kind {
	case "trace":
		t.Name, t.Seed = d.text("name"), uint64(d.integer("seed"))
		t.Load, t.Length = d.float("load"), d.duration("length")
	case "data_centre":
		t.DataCentres = append(t.DataCentres, DataCentre{
			Name: name, Region: d.text("region"), Workers: d.integer("workers"),
			AcceleratorsPerWorker: d.integer("accelerators_per_worker"), SlotsPerWorker: d.integer("slots"),
			WorkersPerRack: d.integer("workers_per_rack"), LeavesAt: d.duration("leaves"), ReturnsAt: d.duration("returns"),
		})
	case "guarantee":
		for i := range t.DataCentres {
			if dc := &t.DataCentres[i]; dc.Name == d.text("data_centre") {
				dc.Guarantees = append(dc.Guarantees, place.Guarantee{
					Name: name, Customer: d.text("customer"), Accelerators: d.integer("accelerators"),
					Adjacency: d.adjacency(), Count: d.integer("count"), ReclaimWithin: d.duration("reclaim_within"),
				})
			}
		}
	case "customer":
		t.Customers = append(t.Customers, place.Customer{Name: name, Quota: d.integer("accelerator_quota"), Weight: d.float("weight")})
	case "job_class":
		t.Classes = append(t.Classes, Class{
			Name: name, Tasks: d.integer("tasks"), Accelerators: d.integer("accelerators"),
			Adjacency: d.adjacency(), ExpectedRunTime: d.duration("expected_run_time"),
			Idempotent: d.boolean("idempotent"), Checkpointable: d.boolean("checkpointable"), Urgent: d.boolean("urgent"),
			StopTime: d.duration("stop_time"), CheckpointInterval: d.duration("checkpoint_every"),
		})
	case "fault":
		t.Faults = append(t.Faults, Fault{d.text("worker"), d.duration("from"), d.duration("until")})
	case "jobs":
		for _, k := range s.Keys()[1:] { // the first key names the columns
			j, err := t.readJob(k.Name(), strings.Fields(k.String()))
			if err != nil {
				return fmt.Errorf("job %s: %w", k.Name(), err)
			}
			t.Jobs = append(t.Jobs, j)
		}
	}
	return d.err
}

// readJob parses the columns of one job.
func (t *Trace) readJob(id string, columns []string) (Job, error) {
	if len(columns) != 10 {
		return Job{}, fmt.Errorf("got %d columns, want 10", len(columns))
	}
	var err error
	duration := func(s string) time.Duration {
		v, e := time.ParseDuration(s)
		err = firstError(err, e)
		return v
	}
	integer := func(s string) int {
		v, e := strconv.Atoi(s)
		err = firstError(err, e)
		return v
	}
	j := Job{
		ID: id, Submitted: duration(columns[0]), Region: columns[1], Customer: columns[2], Class: -1,
		Tasks: integer(columns[4]), Accelerators: integer(columns[5]), RunTime: duration(columns[6]),
		StopTime: duration(columns[7]), CancelledAt: duration(columns[8]), Faulty: columns[9] == "true",
	}
	for i := range t.Classes {
		if t.Classes[i].Name == columns[3] {
			j.Class = i
		}
	}
	if j.Class < 0 {
		err = firstError(err, fmt.Errorf("unknown class %q", columns[3]))
	}
	return j, err
}

// firstError returns the first of the errors that is not nil.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// sectionDecoder reads the values of a section's keys. err is the first error of
// all reads.
type sectionDecoder struct {
	section *ini.Section
	err     error
}

func (d *sectionDecoder) text(key string) string {
	return d.section.Key(key).String()
}

func (d *sectionDecoder) integer(key string) int {
	v, err := d.section.Key(key).Int()
	d.err = firstError(d.err, err)
	return v
}

func (d *sectionDecoder) float(key string) float64 {
	v, err := d.section.Key(key).Float64()
	d.err = firstError(d.err, err)
	return v
}

func (d *sectionDecoder) duration(key string) time.Duration {
	v, err := d.section.Key(key).Duration()
	d.err = firstError(d.err, err)
	return v
}

func (d *sectionDecoder) boolean(key string) bool {
	v, err := d.section.Key(key).Bool()
	d.err = firstError(d.err, err)
	return v
}

func (d *sectionDecoder) adjacency() place.Adjacency {
	for i, name := range adjacencyNames {
		if name == d.text("adjacency") {
			return place.Adjacency(i)
		}
	}
	d.err = firstError(d.err, fmt.Errorf("unknown adjacency %q", d.text("adjacency")))
	return 0
}
