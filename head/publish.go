package head

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"catkinpoint/conf"
	"catkinpoint/decl"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// Limits of one publication.
const (
	// maxTries bounds the tries under contention. Of eight publishers that
	// retry without pauses each wins one try in eight, so that a publisher loses
	// all 32 with a probability of 1.4%.
	maxTries = 32
	// maxFailures bounds the tries that fail because of the store, so that a
	// caller learns of an outage soon.
	maxFailures = 5
	// Tries are separated by exponential backoff; none starts after maxPublishTime.
	initialBackoff = 10 * time.Millisecond
	maxPublishTime = 15 * time.Second
	maxBackoff     = 500 * time.Millisecond
	// maxVersionsBehind is the largest age in versions of a change's base
	// version. It bounds the audit entries that are searched for the change id.
	maxVersionsBehind = 10_000
)

var (
	// ErrContention means that other publishers advanced the head first in every
	// try; the change was not applied.
	ErrContention = Error.New("too many changes at once, not applied")
	// ErrStale means that the change's base version is too old to search for
	// the change id after it; this call did not apply the change.
	ErrStale = Error.New("base version is more than %d versions old", maxVersionsBehind)
)

// Options configures a Publisher; the zero value is usable.
type Options struct {
	// Inventory returns the announced workers for the check of the whole set;
	// nil means that the planned workers are used.
	Inventory func() decl.Inventory
}

// Result is the result of a publication.
type Result struct {
	// Version is the version that holds the change, or would hold it after a dry run.
	Version int64
	// AlreadyPublished is set if an earlier call had published the change.
	AlreadyPublished bool
	// Warnings are problems of the set that do not prevent the change; see
	// decl.Warnings.
	Warnings conf.Faults
}

// Publisher publishes changes for one process, one at a time.
type Publisher struct {
	kv      store.KV
	cache   *partCache
	options Options
	trail   *auditTrail
	checker decl.Checker
	// publishing is a lock that is held during a publication. It is a channel so
	// that the wait for it ends with the caller's context.
	publishing chan struct{}
}

// NewPublisher returns a publisher that shares the cache of loaded parts with f.
func NewPublisher(f *Follower, options Options) *Publisher {
	return &Publisher{
		kv:         f.kv,
		cache:      &f.cache,
		options:    options,
		trail:      newAuditTrail(f.kv),
		publishing: make(chan struct{}, 1),
	}
}

// Publish merges a change into the published set, checks the whole set and
// advances the head. If a change with the same id and content is published
// already, it returns the version that the change made.
//
// The error is conf.Faults for an invalid change or set, a *decl.ConflictError,
// ErrStale, ErrContention or a store error. An error that is store.ErrUnknown
// leaves open whether the change was applied; any other proves that this call
// did not apply it. With dryRun, Publish does everything except the writes.
func (p *Publisher) Publish(ctx context.Context, change *wire.Change, dryRun bool) (Result, error) {
	select {
	case p.publishing <- struct{}{}:
		defer func() { <-p.publishing }()
	case <-ctx.Done():
		return Result{}, notApplied(ctx.Err())
	}
	pub := &publication{Publisher: p, change: change, dryRun: dryRun}
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = initialBackoff
	policy.MaxInterval = maxBackoff
	result, err := backoff.Retry(ctx, func() (Result, error) { return pub.attempt(ctx) },
		backoff.WithBackOff(policy), backoff.WithMaxTries(maxTries), backoff.WithMaxElapsedTime(maxPublishTime))
	if err == nil {
		return result, nil
	}
	return Result{}, pub.classify(err)
}

// notApplied returns a store.ErrUnavailable with the cause err, which says that
// the change was not applied.
func notApplied(err error) error {
	return Error.Wrap(fmt.Errorf("not applied: %w: %w", store.ErrUnavailable, err))
}

// publication is the state of one call of Publish.
type publication struct {
	*Publisher
	change *wire.Change
	dryRun bool
	// writePending is set while a write of the head, conditional on the head's
	// revision pendingRevision, may have taken effect or may still do so.
	writePending    bool
	pendingRevision int64
	// responseLost is set once the response to a write of the head was lost. If
	// the change is then found in the trail, this call is taken to have
	// published it.
	responseLost  bool
	storeFailures int // tries that failed because of the store
}

// classify returns the error of Publish for the error of the last try.
func (p *publication) classify(err error) error {
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		err = permanent.Unwrap()
	}
	var faults conf.Faults
	var conflict *decl.ConflictError
	switch {
	case p.writePending:
		return Error.Wrap(fmt.Errorf("change %s may have been applied, repeat it with the same id: %w: %w", p.change.GetId(), store.ErrUnknown, err))
	case errors.As(err, &faults), errors.As(err, &conflict), errors.Is(err, ErrStale), errors.Is(err, ErrContention):
		return err
	case errors.Is(err, store.ErrUnavailable):
		return Error.Wrap(fmt.Errorf("not applied: %w", err))
	default:
		// The head was not written. The cause is kept as text only, because it
		// may be a store.ErrUnknown of the write of a part or an audit entry.
		return notApplied(errors.New(err.Error()))
	}
}

// attempt is one try, from reading the head to advancing it. A permanent error
// ends the publication; any other leads to the next try.
func (p *publication) attempt(ctx context.Context) (Result, error) {
	s, err := readHead(ctx, p.kv)
	if err != nil {
		return Result{}, p.countFailure(err)
	}
	if result, err := p.findPublished(ctx, s); err != nil || result.Version > 0 {
		return result, err
	}
	if p.writePending && s.revision != p.pendingRevision {
		// The head was written without the change. The pending write was
		// conditional on the earlier revision, so it can't take effect any more.
		p.writePending = false
	}
	set, err := p.cache.load(ctx, p.kv, s.head)
	if err != nil {
		return Result{}, p.countFailure(err)
	}
	next, warnings, err := p.merge(set, s.head)
	if err != nil {
		return Result{}, backoff.Permanent(err)
	}
	result := Result{Version: next.Version(), Warnings: warnings}
	if p.dryRun {
		return result, nil
	}
	return result, p.write(ctx, s, next)
}

// countFailure counts a try that failed because of the store, and makes the
// error permanent at the limit of maxFailures. While a write of the head is
// pending, the publication goes on, because only another read can show whether
// the change was applied.
func (p *publication) countFailure(err error) error {
	if p.storeFailures++; p.storeFailures >= maxFailures && !p.writePending {
		return backoff.Permanent(err)
	}
	return err
}

// findPublished looks for the change id in the versions after the change's base
// version. The result has version 0 if the change was not published.
func (p *publication) findPublished(ctx context.Context, s headState) (Result, error) {
	base := p.change.GetBaseVersion()
	if base < 0 || base > s.head.GetVersion() {
		return Result{}, backoff.Permanent(conf.Faults{{Key: "base_version", Text: fmt.Sprintf("version %d was not published, the newest is %d", base, s.head.GetVersion())}})
	}
	if s.head.GetVersion()-base > maxVersionsBehind {
		return Result{}, backoff.Permanent(ErrStale)
	}
	if err := p.trail.loadSummaries(ctx, base, s.head); err != nil {
		return Result{}, p.countFailure(err)
	}
	version := p.trail.versionOfChange(base, s.head, p.change.GetId())
	if version == 0 {
		return Result{}, nil
	}
	e, err := p.trail.readEntry(ctx, s.head, version)
	if err != nil {
		return Result{}, p.countFailure(err)
	}
	p.writePending = false
	if !proto.Equal(e.GetChange(), p.change) {
		return Result{}, backoff.Permanent(conf.Faults{{Key: "id", Text: fmt.Sprintf("version %d was made by another change with the id %s", version, p.change.GetId())}})
	}
	return Result{Version: version, AlreadyPublished: !p.responseLost}, nil
}

// merge applies the change to the set of head h and checks the resulting set. In
// a conflict with a deletion it fills in the version that deleted the object.
func (p *publication) merge(set *decl.Set, h *wire.Head) (*decl.Set, conf.Faults, error) {
	next, err := decl.Merge(set, p.change)
	var conflict *decl.ConflictError
	if errors.As(err, &conflict) {
		for i, c := range conflict.Conflicts {
			if c.Deleted {
				conflict.Conflicts[i].Revision = p.trail.versionOfDeletion(p.change.GetBaseVersion(), h, c.Key)
			}
		}
	}
	if err != nil {
		return nil, nil, err
	}
	var inventory decl.Inventory
	if p.options.Inventory != nil {
		inventory = p.options.Inventory()
	}
	if err := p.checker.Check(next, inventory).Err(); err != nil {
		return nil, nil, err
	}
	return next, decl.Warnings(next, inventory), nil
}

// write stores the audit entry of the current head and the changed parts, then
// advances the head.
func (p *publication) write(ctx context.Context, s headState, next *decl.Set) error {
	value, parts, err := p.encode(s.head, next)
	if err != nil {
		return backoff.Permanent(err)
	}
	if err := p.trail.copyHeadEntry(ctx, s.head); err != nil {
		return p.countFailure(err)
	}
	for _, b := range parts {
		// A part that exists is written again, because the new revision keeps a
		// concurrent Sweep from deleting it.
		if _, err := p.kv.Put(ctx, partKey(hashOf(b)), b, store.AnyRevision, 0); err != nil {
			return p.countFailure(Error.Wrap(fmt.Errorf("write part: %w", err)))
		}
	}
	_, err = p.kv.Put(ctx, headKey, value, s.revision, 0)
	switch {
	case err == nil:
		p.writePending = false
		return nil
	case errors.Is(err, store.ErrConflict):
		return ErrContention
	case errors.Is(err, store.ErrUnavailable):
		return p.countFailure(Error.Wrap(fmt.Errorf("advance head: %w", err)))
	default:
		p.writePending, p.responseLost, p.pendingRevision = true, true, s.revision
		return p.countFailure(Error.Wrap(fmt.Errorf("advance head: %w", err)))
	}
}

// encode returns the bytes of the next head and of the nonempty parts that the
// change touches.
func (p *publication) encode(h *wire.Head, next *decl.Set) (value []byte, parts [][]byte, err error) {
	touched := map[int][]*wire.Object{}
	for _, op := range p.change.GetOperations() {
		touched[partOf(decl.KeyOf(op.GetObject()))] = nil
	}
	for o := range next.Objects() {
		bucket := partOf(decl.KeyOf(o))
		if objects, ok := touched[bucket]; ok {
			touched[bucket] = append(objects, o)
		}
	}
	hashes := make([][]byte, partCount)
	copy(hashes, h.GetPartHashes())
	for bucket, objects := range touched {
		b, err := encodePart(objects)
		if err != nil {
			return nil, nil, err
		}
		if len(b) > store.MaxValueBytes {
			return nil, nil, conf.Faults{{Text: fmt.Sprintf("the objects of one part take %d bytes, above the %d of the store", len(b), store.MaxValueBytes)}}
		}
		hashes[bucket] = nil
		if len(b) > 0 {
			hashes[bucket] = hashOf(b)
			parts = append(parts, b)
		}
	}
	entry := &wire.AuditEntry{Version: next.Version(), TimeUnixMs: time.Now().UnixMilli(), Change: p.change}
	if h.GetVersion() > 0 {
		previous, err := marshal(h.GetLastChange())
		if err != nil {
			return nil, nil, err
		}
		entry.PreviousHash = hashOf(previous)
	}
	value, err = marshal(&wire.Head{Version: next.Version(), PartHashes: hashes, LastChange: entry})
	if err == nil && len(value) > store.MaxValueBytes {
		err = conf.Faults{{Text: fmt.Sprintf("the change takes %d bytes, above the %d of the store; split it", len(value), store.MaxValueBytes)}}
	}
	return value, slices.Clip(parts), err
}
