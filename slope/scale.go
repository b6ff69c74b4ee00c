package slope

import (
	"time"

	"catkinpoint/wire"
)

// StartProcess starts a process that runs ServeEntry for a number of workers.
type StartProcess func(workers int) (Process, error)

// sampleGang divides the tasks of all rigs, and is near the mean of 50.
const sampleGang = 52

// fleetOutputs are the quantities of one rig.
var fleetOutputs = []struct {
	output string
	value  func(fleetSize, sample) float64
}{
	{"entry process, CPU ms a second", func(_ fleetSize, s sample) float64 { return 1000 * s.entry.Seconds() / s.period.Seconds() }},
	{"entry process, reachable heap bytes", func(_ fleetSize, s sample) float64 { return float64(s.state.Heap) }},
	{"entry process, runtime memory bytes", func(_ fleetSize, s sample) float64 { return float64(s.state.Memory) }},
	{"all agents, bytes out a second", func(_ fleetSize, s sample) float64 { return perSecond(s.total().Out, s.period) }},
	{"all agents, bytes in a second", func(_ fleetSize, s sample) float64 { return perSecond(s.total().In, s.period) }},
	{"entry process, store reads a second", func(_ fleetSize, s sample) float64 { return perSecond(s.reads, s.period) }},
	{"one agent, bytes out a second", func(f fleetSize, s sample) float64 { return perSecond(s.total().Out, s.period) / float64(f.workers) }},
	{"one agent, bytes in a second", func(f fleetSize, s sample) float64 { return perSecond(s.total().In, s.period) / float64(f.workers) }},
	{"one agent, messages out a second", func(f fleetSize, s sample) float64 { return perSecond(s.total().Writes, s.period) / float64(f.workers) }},
	{"one agent with its stand-in endpoint, CPU ms a second", func(f fleetSize, s sample) float64 {
		return 1000 * s.agents.Seconds() / s.period.Seconds() / float64(f.workers)
	}},
	{"one agent with its stand-in endpoint, reachable heap bytes", func(f fleetSize, s sample) float64 { return float64(s.ownHeap) / float64(f.workers) }},
}

// fleetSize has the running tasks of each worker, the tasks of each job, and the
// jobs that wait because each needs all workers whole. Placement packs the
// tasks, so the running ones are a mean.
type fleetSize struct{ workers, tasks, gang, waiting int }

// value is the size that the input names.
func (f fleetSize) value(input string) float64 {
	switch input {
	case "tasks on each":
		return float64(f.tasks)
	case "waiting jobs":
		return float64(f.waiting)
	}
	return float64(f.workers)
}

// MeasureFleet measures idle intervals of rigs: against the number of agents
// with 13 running tasks each, alone or in gangs, and against the tasks of each
// of 160 agents. The
// second result has the time from the start of all agents at once, and from a
// lapse of the duty, until the scheduler has heard of all workers again.
func MeasureFleet(start StartProcess, options Options) (idle, bursts []Series, err error) {
	byAgents := []fleetSize{{40, sampleTasks, 1, 0}, {160, sampleTasks, 1, 0}, {320, sampleTasks, 1, 0}, {sampleWorkers, sampleTasks, 1, 0}}
	byTasks := []fleetSize{{160, 0, 1, 0}, {160, 4, 1, 0}, {160, 8, 1, 0}, {160, sampleTasks, 1, 0}}
	byGangs := []fleetSize{{40, sampleTasks, sampleGang, 0}, {80, sampleTasks, sampleGang, 0}, {160, sampleTasks, sampleGang, 0}, {320, sampleTasks, sampleGang, 0}}
	period := 10 * time.Second
	input := "agents"
	if options.Small {
		byAgents, byTasks, byGangs, period, input = []fleetSize{{3, 1, 1, 0}}, nil, nil, time.Second, ""
	}
	for _, group := range []struct {
		subject, input string
		sizes          []fleetSize
	}{
		{"agents with 13 tasks each", input, byAgents},
		{"160 agents", "tasks on each", byTasks},
		{"agents with 13 tasks each, in gangs of 52", "agents", byGangs},
	} {
		series := make([]Series, len(fleetOutputs))
		for i, o := range fleetOutputs {
			series[i] = Series{Subject: group.subject, Input: group.input, Output: o.output}
		}
		burst := newBurstSeries(group.subject, group.input)
		for _, size := range group.sizes {
			x := size.value(group.input)
			s, b, err := measureRig(start, size, 0, period)
			if err != nil {
				return nil, nil, Error.New("%d agents with %d tasks: %w", size.workers, size.tasks, err)
			}
			for i, o := range fleetOutputs {
				series[i].Points = append(series[i].Points, Point{x, o.value(size, s)})
			}
			for i := range burst {
				burst[i].Points = append(burst[i].Points, Point{x, b[i]})
			}
		}
		if len(group.sizes) > 0 {
			idle, bursts = append(idle, series...), append(bursts, burst...)
		}
	}
	return idle, bursts, nil
}

// MeasureWaiting measures rigs of 620 agents with 13 tasks each whose scheduler
// has jobs that wait. The reports are spread over the second.
func MeasureWaiting(start StartProcess, options Options) ([]Series, error) {
	sizes, period, input := []int{0, 1, 10, 100}, 10*time.Second, "waiting jobs"
	agents, tasks := sampleWorkers, sampleTasks
	if options.Small {
		sizes, period, input, agents, tasks = []int{2}, time.Second, "", 2, 1
	}
	cpu := Series{Subject: "620 agents with 13 tasks each", Input: input, Output: "entry process, CPU ms a second"}
	for _, waiting := range sizes {
		s, _, err := measureRig(start, fleetSize{agents, tasks, 1, waiting}, time.Second, period)
		if err != nil {
			return nil, Error.New("%d waiting jobs: %w", waiting, err)
		}
		cpu.Points = append(cpu.Points, Point{float64(waiting), 1000 * s.entry.Seconds() / s.period.Seconds()})
	}
	return []Series{cpu}, nil
}

func newBurstSeries(subject, input string) []Series {
	var list []Series
	for _, output := range []string{
		"all agents start: ms until all are heard",
		"all agents start: entry process, CPU ms",
		"duty lapses: ms until all are heard",
		"duty lapses: entry process, CPU ms",
		"duty lapses: bytes out of and into all agents",
		"duty lapses: store reads",
	} {
		list = append(list, Series{Subject: subject, Input: input, Output: output})
	}
	return list
}

// measureRig runs one rig; the bursts are in the order of newBurstSeries.
func measureRig(start StartProcess, size fleetSize, spread, period time.Duration) (sample, []float64, error) {
	process, err := start(size.workers)
	if err != nil {
		return sample{}, nil, err
	}
	r, err := NewRig(process, size.workers, spread)
	if err != nil {
		return sample{}, nil, err
	}
	s, b, err := r.run(size, period)
	if closeErr := r.Close(); err == nil {
		err = closeErr
	}
	return s, b, err
}

func (r *Rig) run(size fleetSize, period time.Duration) (sample, []float64, error) {
	if err := r.Submit(size.workers*size.tasks/size.gang, size.gang, 1); err != nil {
		return sample{}, nil, err
	}
	if err := r.submitWaiting(size.waiting); err != nil {
		return sample{}, nil, err
	}
	time.Sleep(period / 5) // the burst of starts ends
	s, err := r.measure(period)
	if err != nil {
		return sample{}, nil, err
	}
	lapse, err := r.lapse(size)
	return s, append(r.startBurst[:], lapse...), err
}

// lapse ends the duty and waits until the next scheduler has all workers and
// their tasks.
func (r *Rig) lapse(size fleetSize) ([]float64, error) {
	epoch := r.status().GetEpoch()
	before, err := r.ask(commandState)
	if err != nil {
		return nil, err
	}
	counts, began := sample{counts: r.fleet.counts()}.total(), time.Now()
	if _, err := r.ask(commandLapse); err != nil {
		return nil, err
	}
	if err := r.await(func(s *wire.DutyStatus) bool {
		return s.GetEpoch() > epoch && s.GetReady() && int(s.GetWorkers()) == size.workers
	}); err != nil {
		return nil, err
	}
	took := time.Since(began)
	used := sample{counts: r.fleet.counts()}.total().minus(counts)
	after, err := r.ask(commandState)
	return []float64{us(took) / 1000, us(after.CPU-before.CPU) / 1000, float64(used.In + used.Out), float64(after.Reads - before.Reads)}, err
}

// MeasureGang measures a running gang at the agent of its leader, against its
// tasks, each on a worker of its own.
func MeasureGang(start StartProcess, options Options) ([]Series, error) {
	sizes, period, input := []int{2, 8, 32, 64, 128, 256}, 10*time.Second, "tasks"
	if options.Small {
		sizes, period, input = []int{3}, time.Second, ""
	}
	series := make([]Series, 5)
	for i, output := range []string{
		"leader's agent, messages out a second", "leader's agent, bytes in a second", "leader's agent, bytes out a second",
		"mean of the other agents, bytes out a second", "mean of the other agents, bytes in a second",
	} {
		series[i] = Series{Subject: "running gang", Input: input, Output: output}
	}
	for _, tasks := range sizes {
		s, err := measureGang(start, tasks, period)
		if err != nil {
			return nil, Error.New("gang of %d tasks: %w", tasks, err)
		}
		leader, others := s.busiest(), s.total()
		others = others.minus(leader)
		for i, y := range []float64{
			perSecond(leader.Writes, s.period), perSecond(leader.In, s.period), perSecond(leader.Out, s.period),
			perSecond(others.Out, s.period) / float64(tasks-1), perSecond(others.In, s.period) / float64(tasks-1),
		} {
			series[i].Points = append(series[i].Points, Point{float64(tasks), y})
		}
	}
	return series, nil
}

func measureGang(start StartProcess, tasks int, period time.Duration) (sample, error) {
	process, err := start(tasks)
	if err != nil {
		return sample{}, err
	}
	r, err := NewRig(process, tasks, time.Second)
	if err != nil {
		return sample{}, err
	}
	err = r.Submit(1, tasks, sampleAccelerators)
	time.Sleep(period / 2) // the barrier has been passed
	var s sample
	if err == nil {
		s, err = r.measure(period)
	}
	if closeErr := r.Close(); err == nil {
		err = closeErr
	}
	return s, err
}
