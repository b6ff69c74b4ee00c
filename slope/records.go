package slope

import (
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/decl"
	"catkinpoint/link"
	"catkinpoint/meter"
	"catkinpoint/permit"
	"catkinpoint/place"
	"catkinpoint/sched"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// MeasureRecordLoad measures the wall-clock time, the CPU time and the bytes read that a
// scheduler takes to read and apply the job records after it has taken over a data
// centre, against the number of records. No agent answers.
func MeasureRecordLoad(newStore func() store.KV, options Options) ([]Series, error) {
	sizes := []int{100, 400, 1000, 2000, 4000}
	if options.Small {
		sizes = []int{10, 20}
	}
	wall := Series{Subject: "take over records", Input: "records", Output: "ms until ready"}
	cpu := Series{Subject: "take over records", Input: "records", Output: "ms CPU"}
	read := Series{Subject: "take over records", Input: "records", Output: "bytes read"}
	for _, size := range sizes {
		kv := &countedStore{KV: newStore()}
		for _, record := range NewRecords(size) {
			data, err := proto.Marshal(record)
			if err != nil {
				return nil, Error.New("encoding record: %w", err)
			}
			if _, err := kv.Put(context.Background(), sched.RecordKey(record.GetJob().GetId()), data, 0, 0); err != nil {
				return nil, Error.New("writing record: %w", err)
			}
		}
		elapsed, cpuTime, err := measureRecordLoad(kv)
		if err != nil {
			return nil, Error.New("reading %d records: %w", size, err)
		}
		x := float64(size)
		wall.Points = append(wall.Points, Point{x, microseconds(elapsed) / 1000})
		cpu.Points = append(cpu.Points, Point{x, microseconds(cpuTime) / 1000})
		read.Points = append(read.Points, Point{x, float64(kv.counts().bytesRead)})
	}
	return []Series{wall, cpu, read}, nil
}

// measureRecordLoad runs a scheduler until it is ready and returns the wall-clock time
// and the CPU time of that.
func measureRecordLoad(kv store.KV) (wall, cpu time.Duration, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	limits := sched.DefaultLimits()
	limits.ReportWait = time.Nanosecond // readiness then depends on the records only
	set := decl.NewSet(1, NewObjects(customerCount, customerCount))
	// Calls to agents neither succeed nor fail but wait, so that they use no CPU
	// time.
	blockingDial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	pool := link.NewPool(blockingDial)
	scheduler := sched.New(sched.Options{
		DataCentre: dataCentreName(0), Epoch: sampleEpoch + 1, Store: kv, Pool: pool, Limits: limits,
		Policy: place.New(place.Options{}),
		Config: func() *decl.Set { return set },
		Permit: func() permit.Permit { return permit.Permit{DataCentre: dataCentreName(0)} },
	})
	before, err := meter.ReadUsage()
	if err != nil {
		cancel()
		return 0, 0, err
	}
	start := time.Now()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		scheduler.Run(ctx)
	}()
	defer func() {
		cancel()
		<-stopped
		pool.Close()
	}()
	for {
		status, err := scheduler.Status(ctx)
		if err != nil {
			return 0, 0, err
		}
		if status.GetReady() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	wall = time.Since(start)
	after, err := meter.ReadUsage()
	return wall, after.CPU - before.CPU, err
}

// NewRecords returns the given number of records of committed jobs of 50 tasks each,
// distributed evenly over nine data centres.
func NewRecords(count int) []*wire.JobRecord {
	records := make([]*wire.JobRecord, count)
	for i := range records {
		records[i] = newJobRecord(i, meanTasksPerJob)
	}
	return records
}

// meanTasksPerJob is the mean at the target size: 73,000 running tasks of about 1,467
// running jobs, that is, of 4,400 jobs a day that run for 8 hours each.
const meanTasksPerJob = 50

// newJobRecord returns the record of job i with the given number of tasks.
func newJobRecord(i, members int) *wire.JobRecord {
	job := newJob(i)
	job.Tasks = int32(members)
	record := &wire.JobRecord{
		Job: job, Phase: wire.JobRecord_COMMITTED, DataCentre: dataCentreName(i % dataCentreCount),
		Epoch: sampleEpoch, Attempt: 1, UpdatedUnixMs: sampleUnixMS, AcceptedBy: sampleUUID("entry", 0),
	}
	for rank := range members {
		record.Members = append(record.Members, &wire.Member{
			Rank: int32(rank), Worker: workerName(rank), AgentAddress: agentAddress(rank), BootId: sampleUUID("boot", rank),
			Accelerators: 8, Attempt: taskAttemptID(i, rank),
		})
	}
	return record
}
