package slope

import (
	"time"

	"catkinpoint/wire"
)

// StartProcess starts a process that runs ServeEntry for the given number of workers.
type StartProcess func(workers int) (Process, error)

// tasksPerGang is near the mean of 50 tasks and divides the number of tasks of every
// rig with gangs.
const tasksPerGang = 52

// fleetOutputs lists the quantities that are computed from the usage of one rig.
var fleetOutputs = []struct {
	output string
	value  func(fleetSize, rigUsage) float64
}{
	{"entry process, CPU ms a second", func(_ fleetSize, u rigUsage) float64 { return 1000 * u.entryCPU.Seconds() / u.period.Seconds() }},
	{"entry process, reachable heap bytes", func(_ fleetSize, u rigUsage) float64 { return float64(u.entryState.Heap) }},
	{"entry process, runtime memory bytes", func(_ fleetSize, u rigUsage) float64 { return float64(u.entryState.Memory) }},
	{"all agents, bytes out a second", func(_ fleetSize, u rigUsage) float64 { return perSecond(u.totalTraffic().BytesOut, u.period) }},
	{"all agents, bytes in a second", func(_ fleetSize, u rigUsage) float64 { return perSecond(u.totalTraffic().BytesIn, u.period) }},
	{"entry process, store reads a second", func(_ fleetSize, u rigUsage) float64 { return perSecond(u.storeReads, u.period) }},
	{"one agent, bytes out a second", func(f fleetSize, u rigUsage) float64 {
		return perSecond(u.totalTraffic().BytesOut, u.period) / float64(f.workers)
	}},
	{"one agent, bytes in a second", func(f fleetSize, u rigUsage) float64 {
		return perSecond(u.totalTraffic().BytesIn, u.period) / float64(f.workers)
	}},
	{"one agent, messages out a second", func(f fleetSize, u rigUsage) float64 {
		return perSecond(u.totalTraffic().Writes, u.period) / float64(f.workers)
	}},
	{"one agent with its stand-in endpoint, CPU ms a second", func(f fleetSize, u rigUsage) float64 {
		return 1000 * u.agentsCPU.Seconds() / u.period.Seconds() / float64(f.workers)
	}},
	{"one agent with its stand-in endpoint, reachable heap bytes", func(f fleetSize, u rigUsage) float64 { return float64(u.agentsHeap) / float64(f.workers) }},
}

// fleetSize is the size of a rig. tasksPerWorker is the mean number of running tasks;
// workers may have more or fewer, since placement packs tasks. waitingJobs is the
// number of queued jobs, each of which needs all accelerators of all workers.
type fleetSize struct{ workers, tasksPerWorker, tasksPerJob, waitingJobs int }

// inputValue returns the size in the named input.
func (f fleetSize) inputValue(input string) float64 {
	switch input {
	case "tasks on each":
		return float64(f.tasksPerWorker)
	case "waiting jobs":
		return float64(f.waitingJobs)
	}
	return float64(f.workers)
}

// MeasureFleet measures rigs whose tasks run and in which nothing changes, against the
// number of agents with 13 running tasks each, either single or in gangs, and
// against the number of tasks on each of 160 agents. bursts holds the costs from
// the start of all agents at once, and from the loss of the scheduler's lease,
// until the scheduler has reports from all workers.
func MeasureFleet(start StartProcess, options Options) (idle, bursts []Series, err error) {
	byAgents := []fleetSize{{40, tasksPerWorker, 1, 0}, {160, tasksPerWorker, 1, 0}, {320, tasksPerWorker, 1, 0}, {workersPerDataCentre, tasksPerWorker, 1, 0}}
	byTasks := []fleetSize{{160, 0, 1, 0}, {160, 4, 1, 0}, {160, 8, 1, 0}, {160, tasksPerWorker, 1, 0}}
	byGangs := []fleetSize{{40, tasksPerWorker, tasksPerGang, 0}, {80, tasksPerWorker, tasksPerGang, 0}, {160, tasksPerWorker, tasksPerGang, 0}, {320, tasksPerWorker, tasksPerGang, 0}}
	period := 10 * time.Second
	input := "agents"
	if options.Small {
		byAgents, byTasks, byGangs, period, input = []fleetSize{{3, 1, 1, 0}}, nil, nil, time.Second, ""
	}
	for _, variation := range []struct {
		subject, input string
		sizes          []fleetSize
	}{
		{"agents with 13 tasks each", input, byAgents},
		{"160 agents", "tasks on each", byTasks},
		{"agents with 13 tasks each, in gangs of 52", "agents", byGangs},
	} {
		series := make([]Series, len(fleetOutputs))
		for i, o := range fleetOutputs {
			series[i] = Series{Subject: variation.subject, Input: variation.input, Output: o.output}
		}
		burstSeries := newBurstSeries(variation.subject, variation.input)
		for _, size := range variation.sizes {
			x := size.inputValue(variation.input)
			usage, burstValues, err := measureFleetRig(start, size, 0, period)
			if err != nil {
				return nil, nil, Error.New("%d agents with %d tasks: %w", size.workers, size.tasksPerWorker, err)
			}
			for i, o := range fleetOutputs {
				series[i].Points = append(series[i].Points, Point{x, o.value(size, usage)})
			}
			for i := range burstSeries {
				burstSeries[i].Points = append(burstSeries[i].Points, Point{x, burstValues[i]})
			}
		}
		if len(variation.sizes) > 0 {
			idle, bursts = append(idle, series...), append(bursts, burstSeries...)
		}
	}
	return idle, bursts, nil
}

// MeasureWaitingJobs measures rigs of 620 agents with 13 tasks each, against the number
// of queued jobs. The agents' reports are spread evenly over each second.
func MeasureWaitingJobs(start StartProcess, options Options) ([]Series, error) {
	sizes, period, input := []int{0, 1, 10, 100}, 10*time.Second, "waiting jobs"
	agents, tasks := workersPerDataCentre, tasksPerWorker
	if options.Small {
		sizes, period, input, agents, tasks = []int{2}, time.Second, "", 2, 1
	}
	cpu := Series{Subject: "620 agents with 13 tasks each", Input: input, Output: "entry process, CPU ms a second"}
	for _, waiting := range sizes {
		usage, _, err := measureFleetRig(start, fleetSize{agents, tasks, 1, waiting}, time.Second, period)
		if err != nil {
			return nil, Error.New("%d waiting jobs: %w", waiting, err)
		}
		cpu.Points = append(cpu.Points, Point{float64(waiting), 1000 * usage.entryCPU.Seconds() / usage.period.Seconds()})
	}
	return []Series{cpu}, nil
}

// newBurstSeries returns empty series of the costs of bursts of reports.
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

// measureFleetRig runs one rig and returns its usage and the costs of its bursts, in
// the order of newBurstSeries.
func measureFleetRig(start StartProcess, size fleetSize, rampUp, period time.Duration) (rigUsage, []float64, error) {
	process, err := start(size.workers)
	if err != nil {
		return rigUsage{}, nil, err
	}
	rig, err := NewRig(process, size.workers, rampUp)
	if err != nil {
		return rigUsage{}, nil, err
	}
	usage, burstValues, err := rig.measureIdleAndTakeover(size, period)
	if closeErr := rig.Close(); err == nil {
		err = closeErr
	}
	return usage, burstValues, err
}

// measureIdleAndTakeover submits the jobs of the size, measures one period, and then
// measures a takeover.
func (r *Rig) measureIdleAndTakeover(size fleetSize, period time.Duration) (rigUsage, []float64, error) {
	if err := r.Submit(size.workers*size.tasksPerWorker/size.tasksPerJob, size.tasksPerJob, 1); err != nil {
		return rigUsage{}, nil, err
	}
	if err := r.submitWaiting(size.waitingJobs); err != nil {
		return rigUsage{}, nil, err
	}
	time.Sleep(period / 5) // until the starts of tasks no longer cause load
	usage, err := r.measureUsage(period)
	if err != nil {
		return rigUsage{}, nil, err
	}
	takeover, err := r.measureTakeover(size)
	return usage, append(r.startCosts[:], takeover...), err
}

// measureTakeover expires the lease of the entry, so that its scheduler ends, and waits
// until the next scheduler, which has a later epoch, has the reports of all workers
// and their tasks. The results are in the order of newBurstSeries, from its third
// series.
func (r *Rig) measureTakeover(size fleetSize) ([]float64, error) {
	epoch := r.dutyStatus().GetEpoch()
	before, err := r.sendCommand(commandState)
	if err != nil {
		return nil, err
	}
	trafficBefore, start := rigUsage{traffic: r.fleet.trafficCounts()}.totalTraffic(), time.Now()
	if _, err := r.sendCommand(commandLapse); err != nil {
		return nil, err
	}
	if err := r.awaitStatus(func(s *wire.DutyStatus) bool {
		return s.GetEpoch() > epoch && s.GetReady() && int(s.GetWorkers()) == size.workers
	}); err != nil {
		return nil, err
	}
	elapsed := time.Since(start)
	traffic := rigUsage{traffic: r.fleet.trafficCounts()}.totalTraffic().minus(trafficBefore)
	after, err := r.sendCommand(commandState)
	return []float64{microseconds(elapsed) / 1000, microseconds(after.CPU-before.CPU) / 1000, float64(traffic.BytesIn + traffic.BytesOut), float64(after.Reads - before.Reads)}, err
}

// MeasureGang measures the traffic of the agents of one running gang, that of the
// leader's agent and the mean of the others, against the number of tasks. Each
// task runs on a worker of its own.
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
		usage, err := measureGangRig(start, tasks, period)
		if err != nil {
			return nil, Error.New("gang of %d tasks: %w", tasks, err)
		}
		leader, others := usage.busiestAgent(), usage.totalTraffic()
		others = others.minus(leader)
		for i, y := range []float64{
			perSecond(leader.Writes, usage.period), perSecond(leader.BytesIn, usage.period), perSecond(leader.BytesOut, usage.period),
			perSecond(others.BytesOut, usage.period) / float64(tasks-1), perSecond(others.BytesIn, usage.period) / float64(tasks-1),
		} {
			series[i].Points = append(series[i].Points, Point{float64(tasks), y})
		}
	}
	return series, nil
}

// measureGangRig runs one gang and returns the usage of a period in which it runs.
func measureGangRig(start StartProcess, tasks int, period time.Duration) (rigUsage, error) {
	process, err := start(tasks)
	if err != nil {
		return rigUsage{}, err
	}
	rig, err := NewRig(process, tasks, time.Second)
	if err != nil {
		return rigUsage{}, err
	}
	err = rig.Submit(1, tasks, acceleratorsPerWorker)
	time.Sleep(period / 2) // until all members have passed the start barrier
	var usage rigUsage
	if err == nil {
		usage, err = rig.measureUsage(period)
	}
	if closeErr := rig.Close(); err == nil {
		err = closeErr
	}
	return usage, err
}
