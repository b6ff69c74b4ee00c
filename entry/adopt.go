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
	// sweepPeriod is the time between two removals of records past the retention.
	sweepPeriod = time.Minute
	// headSweepPeriod is the time between two removals of unused parts of the
	// configuration. Each lists all parts, so it runs rarely; at 27,000 changes a
	// day about 1,100 parts accumulate in an hour.
	headSweepPeriod = time.Hour
	// adoptionGrace is how long an entry may lack its registration before its jobs
	// are adopted: after an outage of the store, entries that still run register
	// again one after another.
	adoptionGrace = 3 * time.Second
)

// adoptionState holds what adoptJobs keeps from one refresh to the next.
type adoptionState struct {
	// presentBootIDs holds the boot ids of this entry and of those registered at
	// the last refresh; nil before the first one.
	presentBootIDs map[string]bool
	// scanDue is when the job records are to be read because an entry has gone;
	// zero if no scan is due.
	scanDue time.Time
	// maybeAdopted holds the ids of jobs whose record may name this entry already,
	// because the answer to the write that adopts them was lost.
	maybeAdopted map[string]bool
}

// adoptJobs takes over the accepted jobs of entries that are not registered any
// more. It reads the records only when an entry has gone, and once after the start,
// each time after adoptionGrace.
func (e *Entry) adoptJobs(ctx context.Context, v *clusterView) {
	present := map[string]bool{e.bootID: true}
	for _, registration := range v.entries {
		present[registration.GetBootId()] = true
	}
	entryGone := e.adoption.presentBootIDs == nil
	for bootID := range e.adoption.presentBootIDs {
		entryGone = entryGone || !present[bootID]
	}
	e.adoption.presentBootIDs = present
	if entryGone && e.adoption.scanDue.IsZero() {
		e.adoption.scanDue = time.Now().Add(adoptionGrace)
	}
	if e.adoption.scanDue.IsZero() || time.Now().Before(e.adoption.scanDue) || e.shuttingDown.Load() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, 5*storeTimeout)
	defer cancel()
	items, err := e.opts.Store.List(callCtx, sched.RecordKey(""))
	if err != nil {
		return // the next refresh tries again
	}
	e.adoption.scanDue = time.Time{}
	for _, item := range items {
		record := new(wire.JobRecord)
		if err := proto.Unmarshal(item.Value, record); err != nil {
			klog.Errorf("entry: Record %s cannot be decoded: %v.", item.Key, err)
			continue
		}
		ownerless := !present[record.GetAcceptedBy()] || e.adoption.maybeAdopted[record.GetJob().GetId()]
		if record.GetPhase() == wire.JobRecord_ACCEPTED && ownerless {
			e.adoptJob(ctx, record, item.Revision)
		}
	}
}

// adoptJob makes this entry the owner of a detached job and runs it. A job that is
// not detached is ended: its body and the connection of its caller were lost with
// the entry that accepted it.
func (e *Entry) adoptJob(ctx context.Context, record *wire.JobRecord, revision int64) {
	id := record.GetJob().GetId()
	if !record.GetJob().GetDetached() {
		_, _ = e.endRecord(ctx, id, notRunOutcome("the entry that accepted the job has gone"))
		return
	}
	body, err := e.readBlobs(ctx, id, "body", record.GetBodyParts())
	if err != nil {
		klog.Warningf("entry: Job %s cannot be adopted: %v.", id, err)
		e.adoption.scanDue = time.Now() // the next refresh tries again
		return
	}
	if e.adoption.maybeAdopted == nil {
		e.adoption.maybeAdopted = make(map[string]bool)
	}
	record.AcceptedBy = e.bootID
	data, err := proto.Marshal(record)
	if err != nil {
		klog.Errorf("entry: The record of job %s cannot be encoded: %v.", id, err)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	newRevision, err := e.opts.Store.Put(callCtx, sched.RecordKey(id), data, revision, 0)
	if err != nil {
		// If the answer was lost, the record may name this entry already.
		e.adoption.maybeAdopted[id] = errors.Is(err, store.ErrUnknown)
		e.adoption.scanDue = time.Now()
		return
	}
	delete(e.adoption.maybeAdopted, id)
	klog.Infof("entry: Adopted job %s of an entry that is not registered any more.", id)
	e.startDetached(&jobRequest{job: record.GetJob(), body: body, needsRecord: true}, &storedRecord{record: record, revision: newRevision})
}

// sweep removes records that ended longer ago than the retention, and unused
// parts of the configuration. Only the entry that holds the duty of the first data
// centre does so, on behalf of all entries.
func (e *Entry) sweep(ctx context.Context) {
	names := e.dataCentres(e.view.Load())
	if len(names) == 0 || e.host.Get(names[0]) == nil {
		return
	}
	e.sweepRecords(ctx)
	if time.Since(e.lastHeadSweep) < headSweepPeriod {
		return
	}
	e.lastHeadSweep = time.Now()
	callCtx, cancel := context.WithTimeout(ctx, 5*storeTimeout)
	defer cancel()
	if n, err := head.Sweep(callCtx, e.opts.Store); err != nil {
		klog.Warningf("entry: Unused parts of the configuration could not be removed: %v.", err)
	} else if n > 0 {
		klog.Infof("entry: Removed %d unused parts of the configuration.", n)
	}
}

// sweepRecords removes the records that ended longer ago than the retention.
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

// removeRecord deletes a record, and then the parts of its job's result and body.
func (e *Entry) removeRecord(ctx context.Context, record *wire.JobRecord, item store.Item) {
	id := record.GetJob().GetId()
	if err := e.deleteKey(ctx, item.Key, item.Revision); err != nil {
		return // the next sweep finds it again
	}
	for part := range record.GetResultParts() {
		_ = e.deleteKey(ctx, sched.BlobKey(id, "result", int(part)), store.AnyRevision)
	}
	for part := range record.GetBodyParts() {
		_ = e.deleteKey(ctx, sched.BlobKey(id, "body", int(part)), store.AnyRevision)
	}
}

func (e *Entry) deleteKey(ctx context.Context, key string, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return e.opts.Store.Delete(ctx, key, revision)
}
