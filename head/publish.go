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
	// maxTries bounds the tries under contention. Eight publishers that never
	// pause each win one try in eight, so one of them fails 32 in 1.4% of cases.
	maxTries = 32
	// maxFailures bounds the tries that fail because the store does not
	// answer, so that a caller learns of an outage soon.
	maxFailures = 5
	firstPause  = 10 * time.Millisecond
	longestTime = 15 * time.Second
	longPause   = 500 * time.Millisecond
	// maxBehind bounds the audit entries that are searched for a change id.
	maxBehind = 10_000
)

var (
	// ErrContention means that other changes won every try; the change was not applied.
	ErrContention = Error.New("too many changes at once, not applied")
	// ErrStale means that the change's base version is too old to search for
	// the change id after it; this call did not apply the change.
	ErrStale = Error.New("base version is more than %d versions old", maxBehind)
)

// Options of a publisher.
type Options struct {
	// Inventory gives the announced workers for the whole-set check; nil means that the planned ones count.
	Inventory func() decl.Inventory
}

// Result of a publication.
type Result struct {
	// Version that holds the change, or would hold it.
	Version int64
	// Repeated is set if an earlier call had published the change.
	Repeated bool
	// Warnings do not prevent the change; see decl.Warnings.
	Warnings conf.Faults
}

// Publisher publishes changes for one process, one at a time.
type Publisher struct {
	kv      store.KV
	cache   *partCache
	options Options
	trail   *trail
	checker decl.Checker
	turn    chan struct{}
}

// NewPublisher returns a publisher that shares the loaded parts of a follower.
func NewPublisher(f *Follower, options Options) *Publisher {
	return &Publisher{
		kv:      f.kv,
		cache:   &f.cache,
		options: options,
		trail:   newTrail(f.kv),
		turn:    make(chan struct{}, 1),
	}
}

// Publish merges a change into the published set, checks the whole set and
// advances the head. Publishing a change again by its id gives the version that
// it made. The error is conf.Faults for an invalid change or set, a
// *decl.ConflictError, ErrStale or ErrContention; errors that are
// store.ErrUnknown leave open whether the change was applied, and all others
// prove that it was not. With dryRun it does everything but write.
func (p *Publisher) Publish(ctx context.Context, change *wire.Change, dryRun bool) (Result, error) {
	select {
	case p.turn <- struct{}{}:
		defer func() { <-p.turn }()
	case <-ctx.Done():
		return Result{}, unavailable(ctx.Err())
	}
	pub := &publication{Publisher: p, change: change, dryRun: dryRun}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = longPause
	result, err := backoff.Retry(ctx, func() (Result, error) { return pub.try(ctx) },
		backoff.WithBackOff(pause), backoff.WithMaxTries(maxTries), backoff.WithMaxElapsedTime(longestTime))
	if err == nil {
		return result, nil
	}
	return Result{}, pub.classify(err)
}

// unavailable words an error that proves that nothing was applied.
func unavailable(err error) error {
	return Error.Wrap(fmt.Errorf("not applied: %w: %w", store.ErrUnavailable, err))
}

// publication is one change on its way.
type publication struct {
	*Publisher
	change *wire.Change
	dryRun bool
	// pending is set while a write of the head may have taken effect or may
	// still do so; it was conditional on pendingRevision.
	pending         bool
	pendingRevision int64
	// uncertain is set once an answer was lost, so that the change found later
	// counts as this call's own.
	uncertain bool
	failures  int
}

// classify turns the last error of a publication into its outcome.
func (p *publication) classify(err error) error {
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		err = permanent.Unwrap()
	}
	var faults conf.Faults
	var conflict *decl.ConflictError
	switch {
	case p.pending:
		return Error.Wrap(fmt.Errorf("change %s may have been applied, repeat it with the same id: %w: %w", p.change.GetId(), store.ErrUnknown, err))
	case errors.As(err, &faults), errors.As(err, &conflict), errors.Is(err, ErrStale), errors.Is(err, ErrContention):
		return err
	case errors.Is(err, store.ErrUnavailable):
		return Error.Wrap(fmt.Errorf("not applied: %w", err))
	default:
		// A lost answer for a part or an audit entry says nothing about the head.
		return unavailable(errors.New(err.Error()))
	}
}

// try is one pass from reading the head to advancing it. Errors marked
// permanent end the publication.
func (p *publication) try(ctx context.Context) (Result, error) {
	s, err := readHead(ctx, p.kv)
	if err != nil {
		return Result{}, p.failed(err)
	}
	if result, err := p.findPublished(ctx, s); err != nil || result.Version > 0 {
		return result, err
	}
	if p.pending && s.revision != p.pendingRevision {
		// The head moved on without the change, and the write was conditional
		// on the head it has moved from.
		p.pending = false
	}
	set, err := p.cache.load(ctx, p.kv, s.head)
	if err != nil {
		return Result{}, p.failed(err)
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

// failed counts a failure of the store. A publication that may have been
// applied goes on, because only reading can tell.
func (p *publication) failed(err error) error {
	if p.failures++; p.failures >= maxFailures && !p.pending {
		return backoff.Permanent(err)
	}
	return err
}

// findPublished looks for the change id after the change's base version.
func (p *publication) findPublished(ctx context.Context, s state) (Result, error) {
	base := p.change.GetBaseVersion()
	if base < 0 || base > s.head.GetVersion() {
		return Result{}, backoff.Permanent(conf.Faults{{Key: "base_version", Text: fmt.Sprintf("version %d was not published, the newest is %d", base, s.head.GetVersion())}})
	}
	if s.head.GetVersion()-base > maxBehind {
		return Result{}, backoff.Permanent(ErrStale)
	}
	if err := p.trail.learn(ctx, base, s.head); err != nil {
		return Result{}, p.failed(err)
	}
	version := p.trail.find(base, s.head, p.change.GetId())
	if version == 0 {
		return Result{}, nil
	}
	e, err := p.trail.entry(ctx, s.head, version)
	if err != nil {
		return Result{}, p.failed(err)
	}
	p.pending = false
	if !proto.Equal(e.GetChange(), p.change) {
		return Result{}, backoff.Permanent(conf.Faults{{Key: "id", Text: fmt.Sprintf("version %d was made by another change with the id %s", version, p.change.GetId())}})
	}
	return Result{Version: version, Repeated: !p.uncertain}, nil
}

func (p *publication) merge(set *decl.Set, h *wire.Head) (*decl.Set, conf.Faults, error) {
	next, err := decl.Merge(set, p.change)
	var conflict *decl.ConflictError
	if errors.As(err, &conflict) {
		for i, c := range conflict.Conflicts {
			if c.Deleted {
				conflict.Conflicts[i].Revision = p.trail.deleter(p.change.GetBaseVersion(), h, c.Key)
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

// write stores the audit entry of the present head and the touched parts, then
// advances the head.
func (p *publication) write(ctx context.Context, s state, next *decl.Set) error {
	value, parts, err := p.encode(s.head, next)
	if err != nil {
		return backoff.Permanent(err)
	}
	if err := p.trail.copyLast(ctx, s.head); err != nil {
		return p.failed(err)
	}
	for _, b := range parts {
		// Rewriting a part that exists renews its revision, which keeps it from being swept.
		if _, err := p.kv.Put(ctx, partKey(hashOf(b)), b, store.AnyRevision, 0); err != nil {
			return p.failed(Error.Wrap(fmt.Errorf("write part: %w", err)))
		}
	}
	_, err = p.kv.Put(ctx, headKey, value, s.revision, 0)
	switch {
	case err == nil:
		p.pending = false
		return nil
	case errors.Is(err, store.ErrConflict):
		return ErrContention
	case errors.Is(err, store.ErrUnavailable):
		return p.failed(Error.Wrap(fmt.Errorf("advance head: %w", err)))
	default:
		p.pending, p.uncertain, p.pendingRevision = true, true, s.revision
		return p.failed(Error.Wrap(fmt.Errorf("advance head: %w", err)))
	}
}

// encode returns the next head and the bytes of the parts that the change touches.
func (p *publication) encode(h *wire.Head, next *decl.Set) (value []byte, parts [][]byte, err error) {
	touched := map[int][]*wire.Object{}
	for _, op := range p.change.GetOperations() {
		touched[bucketOf(decl.KeyOf(op.GetObject()))] = nil
	}
	for o := range next.Objects() {
		bucket := bucketOf(decl.KeyOf(o))
		if objects, ok := touched[bucket]; ok {
			touched[bucket] = append(objects, o)
		}
	}
	hashes := make([][]byte, bucketCount)
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
