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

// MeasureRecords measures a scheduler that has just taken its duty until it has
// read and applied the job records, against their number. No agent answers.
func MeasureRecords(newStore func() store.KV, options Options) ([]Series, error) {
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
		took, used, err := loadTime(kv)
		if err != nil {
			return nil, Error.New("reading %d records: %w", size, err)
		}
		x := float64(size)
		wall.Points = append(wall.Points, Point{x, us(took) / 1000})
		cpu.Points = append(cpu.Points, Point{x, us(used) / 1000})
		read.Points = append(read.Points, Point{x, float64(kv.count().bytesRead)})
	}
	return []Series{wall, cpu, read}, nil
}

// loadTime runs a scheduler until it is ready.
func loadTime(kv store.KV) (wall, cpu time.Duration, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	limits := sched.DefaultLimits()
	limits.ReportWait = time.Nanosecond // readiness then depends on the records only
	set := decl.NewSet(1, NewObjects(sampleTeams, sampleTeams))
	// Agents are neither there nor refuse: their calls wait, which costs nothing.
	silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	pool := link.NewPool(silent)
	s := sched.New(sched.Options{
		DataCentre: dataCentre(0), Epoch: sampleEpoch + 1, Store: kv, Pool: pool, Limits: limits,
		Policy: place.New(place.Options{}),
		Config: func() *decl.Set { return set },
		Permit: func() permit.Permit { return permit.Permit{DataCentre: dataCentre(0)} },
	})
	before, err := meter.ReadUsage()
	if err != nil {
		cancel()
		return 0, 0, err
	}
	began := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	defer func() {
		cancel()
		<-ended
		pool.Close()
	}()
	for {
		status, err := s.Status(ctx)
		if err != nil {
			return 0, 0, err
		}
		if status.GetReady() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	wall = time.Since(began)
	after, err := meter.ReadUsage()
	return wall, after.CPU - before.CPU, err
}

// NewRecords returns records of committed jobs of 50 tasks, one in nine of them
// of data centre 0.
func NewRecords(count int) []*wire.JobRecord {
	records := make([]*wire.JobRecord, count)
	for i := range records {
		records[i] = recordOf(i, sampleGangTasks)
	}
	return records
}

// sampleGangTasks is the mean of 73,000 tasks of about 1,467 jobs, which are
// 4,400 jobs a day of 8 h each.
const sampleGangTasks = 50

func recordOf(i, members int) *wire.JobRecord {
	job := newJob(i)
	job.Tasks = int32(members)
	record := &wire.JobRecord{
		Job: job, Phase: wire.JobRecord_COMMITTED, DataCentre: dataCentre(i % sampleDataCentres),
		Epoch: sampleEpoch, Attempt: 1, UpdatedUnixMs: sampleUnixMS, AcceptedBy: id("entry", 0),
	}
	for rank := range members {
		record.Members = append(record.Members, &wire.Member{
			Rank: int32(rank), Worker: workerName(rank), AgentAddress: address(rank), BootId: id("boot", rank),
			Accelerators: 8, Attempt: attemptOf(i, rank),
		})
	}
	return record
}
