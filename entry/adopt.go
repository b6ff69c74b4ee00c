package entry

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/head"
	"catkinpoint/sched"
	"catkinpoint/store"
	"catkinpoint/wire"
)

const (
	// sweepPeriod is the time between two removals of old records.
	sweepPeriod = time.Minute
	// headSweepPeriod is the time between two removals of unused parts of the
	// configuration. Each lists all parts, so it runs seldom; at 27,000 changes
	// a day about 1,100 parts come together in an hour.
	headSweepPeriod = time.Hour
	// adoptionGrace is how long an entry may lack its registration: after an
	// outage of the store living entries register again one after another.
	adoptionGrace = 3 * time.Second
)

// adoption remembers which entries were there at the last refresh.
type adoption struct {
	known map[string]bool // by boot id
	// due is when the records are read, after an entry has gone; zero for never.
	due time.Time
	// begun lists jobs whose record may name this entry already, because the
	// answer to the adopting write was lost.
	begun map[string]bool
}

// adoptJobs takes over the accepted jobs of entries that have gone. It reads
// the records only when an entry has gone, and once after the start.
func (e *Entry) adoptJobs(ctx context.Context, v *view) {
	present := map[string]bool{e.bootID: true}
	for _, registration := range v.entries {
		present[registration.GetBootId()] = true
	}
	gone := e.adopted.known == nil
	for boot := range e.adopted.known {
		gone = gone || !present[boot]
	}
	e.adopted.known = present
	if gone && e.adopted.due.IsZero() {
		e.adopted.due = time.Now().Add(adoptionGrace)
	}
	if e.adopted.due.IsZero() || time.Now().Before(e.adopted.due) || e.leaving.Load() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, 5*storeTimeout)
	defer cancel()
	items, err := e.opts.Store.List(callCtx, sched.RecordKey(""))
	if err != nil {
		return // the next refresh tries again
	}
	e.adopted.due = time.Time{}
	for _, item := range items {
		record := new(wire.JobRecord)
		if err := proto.Unmarshal(item.Value, record); err != nil {
			klog.Errorf("entry: Record %s cannot be read: %v.", item.Key, err)
			continue
		}
		ownerless := !present[record.GetAcceptedBy()] || e.adopted.begun[record.GetJob().GetId()]
		if record.GetPhase() == wire.JobRecord_ACCEPTED && ownerless {
			e.adoptJob(ctx, record, item.Revision)
		}
	}
}

// adoptJob makes this entry carry the job, or ends it if its body went with
// the entry that accepted it; its caller's connection is gone, too.
func (e *Entry) adoptJob(ctx context.Context, record *wire.JobRecord, revision int64) {
	id := record.GetJob().GetId()
	if !record.GetJob().GetDetached() {
		_, _ = e.endNotRun(ctx, id, notRun("the entry that accepted the job has gone"))
		return
	}
	body, err := e.readBlobs(ctx, id, "body", record.GetBodyParts())
	if err != nil {
		klog.Warningf("entry: Job %s cannot be adopted: %v.", id, err)
		e.adopted.due = time.Now() // try again
		return
	}
	if e.adopted.begun == nil {
		e.adopted.begun = make(map[string]bool)
	}
	record.AcceptedBy = e.bootID
	data, err := proto.Marshal(record)
	if err != nil {
		klog.Errorf("entry: Record of %s cannot be encoded: %v.", id, err)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next, err := e.opts.Store.Put(callCtx, sched.RecordKey(id), data, revision, 0)
	if err != nil {
		// After a lost answer the record may name this entry.
		e.adopted.begun[id] = errors.Is(err, store.ErrUnknown)
		e.adopted.due = time.Now()
		return
	}
	delete(e.adopted.begun, id)
	klog.Infof("entry: Adopts job %s of an entry that has gone.", id)
	e.carryDetached(&jobRequest{job: record.GetJob(), body: body, recorded: true}, &claim{record: record, revision: next})
}

// sweep removes records that ended longer ago than the retention, and unused
// parts of the configuration. The holder of the first duty does it for all.
func (e *Entry) sweep(ctx context.Context) {
	names := e.dataCentres(e.view.Load())
	if len(names) == 0 || e.host.Get(names[0]) == nil {
		return
	}
	e.sweepRecords(ctx)
	if time.Since(e.headSwept) < headSweepPeriod {
		return
	}
	e.headSwept = time.Now()
	callCtx, cancel := context.WithTimeout(ctx, 5*storeTimeout)
	defer cancel()
	if n, err := head.Sweep(callCtx, e.opts.Store); err != nil {
		klog.Warningf("entry: Unused parts of the configuration stay: %v.", err)
	} else if n > 0 {
		klog.Infof("entry: Removed %d unused parts of the configuration.", n)
	}
}

func (e *Entry) sweepRecords(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, 5*storeTimeout)
	defer cancel()
	items, err := e.opts.Store.List(callCtx, sched.RecordKey(""))
	if err != nil {
		return // the next period tries again
	}
	oldest := time.Now().Add(-e.opts.Retention).UnixMilli()
	for _, item := range items {
		record := new(wire.JobRecord)
		if err := proto.Unmarshal(item.Value, record); err != nil {
			continue // adoptJobs reports it
		}
		if record.GetPhase() == wire.JobRecord_ENDED && record.GetUpdatedUnixMs() < oldest {
			e.removeRecord(ctx, record, item)
		}
	}
}

func (e *Entry) removeRecord(ctx context.Context, record *wire.JobRecord, item store.Item) {
	id := record.GetJob().GetId()
	if err := e.remove(ctx, item.Key, item.Revision); err != nil {
		return // the next sweep finds it again
	}
	for part := range record.GetResultParts() {
		_ = e.remove(ctx, sched.BlobKey(id, "result", int(part)), store.AnyRevision)
	}
	for part := range record.GetBodyParts() {
		_ = e.remove(ctx, sched.BlobKey(id, "body", int(part)), store.AnyRevision)
	}
}

func (e *Entry) remove(ctx context.Context, key string, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return e.opts.Store.Delete(ctx, key, revision)
}
