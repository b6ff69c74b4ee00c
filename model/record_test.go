package model

import (
	"fmt"
	"io"
	"strings"
	"time"

	"catkinpoint/graph"
)

// Ends of runs that the worker does not list, as its process has ended.
const (
	endCrash = "crash"
	endLeft  = "left" // the worker had announced its end
)

// Rules that a run of the model can break.
const (
	ruleTwice  = "TWICE"  // a task runs twice, or after it is done
	ruleBudget = "BUDGET" // a task runs after its attempts are used up
	ruleLost   = "LOST"   // a job is stored as ended without a cause
)

// taskRun is one run of a task on a worker of the model.
type taskRun struct {
	task    string
	run     int64
	machine int
	process string // id of the worker's process and number of its boot
	began   time.Time
	ended   time.Time // zero while it runs
	how     string    // end that the worker lists, endCrash or endLeft
	note    string    // when the end was taken note of, for the trace
	// startsAfter are starts of the task after this run has ended as done.
	startsAfter []string
	noted       bool   // observed has reached the end before the worker's lease lapsed
	lapsed      bool   // the worker's lease has lapsed since the end
	unit        string // of which this is a run: the task itself, or the gang
	gang        *gang
	timer       *time.Timer // ends the run
	stopping    bool
}

// record has all runs of a run of the model and the rules that they broke.
type record struct {
	began    time.Time
	byTask   map[string][]*taskRun
	byUnit   map[string][]*taskRun // of a gang, the runs of all members
	events   map[string][]string   // by task, for the trace
	faults   []string              // faults, as they began and ended
	broken   []string
	suspects map[string]bool // tasks of broken rules
}

func newRecord() *record {
	return &record{
		began: time.Now(), byTask: map[string][]*taskRun{}, byUnit: map[string][]*taskRun{}, events: map[string][]string{}, suspects: map[string]bool{},
	}
}

// clock returns the time since the start of the run of the model.
func (r *record) clock() string {
	return fmt.Sprintf("%7.3f", time.Since(r.began).Seconds())
}

// trace adds an event of a task to the trace.
func (r *record) trace(task, format string, args ...any) {
	r.events[task] = append(r.events[task], r.clock()+" "+task+" "+fmt.Sprintf(format, args...))
}

// fault adds a fault to the trace.
func (r *record) fault(format string, args ...any) {
	r.faults = append(r.faults, r.clock()+" "+fmt.Sprintf(format, args...))
}

func (r *record) violate(rule, task, format string, args ...any) {
	text := r.clock() + " " + rule + " " + task + " " + fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.suspects[task] = true
	r.events[task] = append(r.events[task], text)
}

// begin records the start of a run and checks it against all other runs of its task. The
// end of one member of a gang as done is an end of all members.
func (r *record) begin(n *taskRun, order string) {
	r.trace(n.task, "run %d begins on %s %s", n.run, n.process, order)
	for _, other := range r.byTask[n.task] {
		if other.ended.IsZero() {
			r.violate(ruleTwice, n.task, "run %d begins on %s while run %d is on %s", n.run, n.process, other.run, other.process)
		}
	}
	tasks := []string{n.task}
	if n.gang != nil {
		tasks = n.gang.tasks
	}
	for _, task := range tasks {
		for _, other := range r.byTask[task] {
			if other.how != graph.EndDone {
				continue
			}
			start := fmt.Sprintf("run %d begins on %s at %s, run %d of %s was done on %s at %.3f", n.run, n.process, r.clock(),
				other.run, task, other.process, other.ended.Sub(r.began).Seconds())
			if other.noted {
				r.violate(ruleTwice, n.task, "%s, taken note of at %s", start, other.note)
			}
			other.startsAfter = append(other.startsAfter, start)
		}
	}
	r.byTask[n.task] = append(r.byTask[n.task], n)
	r.byUnit[n.unit] = append(r.byUnit[n.unit], n)
}

// end records the end of a run.
func (r *record) end(n *taskRun, how string) {
	n.ended, n.how = time.Now(), how
	r.trace(n.task, "run %d ends %s on %s", n.run, how, n.process)
}

// observe records that a worker was told to forget the end of a run.
func (r *record) observe(n *taskRun, call string) {
	r.trace(n.task, "run %d (%s) observed on %s, lapsed before: %v %s", n.run, n.how, n.process, n.lapsed, call)
	if n.lapsed {
		return
	}
	n.noted, n.note = true, r.clock()
	if n.how != graph.EndDone {
		return
	}
	for _, start := range n.startsAfter {
		r.violate(ruleTwice, n.task, "%s, and taken note of now", start)
	}
}

// print writes the broken rules, the faults and the trace of the tasks concerned.
func (r *record) print(w io.Writer) {
	for _, text := range r.broken {
		fmt.Fprintln(w, text)
	}
	fmt.Fprintln(w, strings.Join(r.faults, "\n"))
	for task := range r.suspects {
		fmt.Fprintf(w, "-- %s\n%s\n", task, strings.Join(r.events[task], "\n"))
	}
}
