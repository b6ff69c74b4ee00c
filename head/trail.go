package head

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"catkinpoint/decl"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// maxSummaries is the number of cached summaries above which the cache is
// cleared before the next search; at 27,000 changes a day that is less than twice
// a day.
const maxSummaries = 16384

// entrySummary holds the fields of an audit entry that publishers search.
type entrySummary struct {
	changeID string
	deleted  []decl.Key // objects that the change deleted
}

// auditTrail appends to the stored audit trail and searches it. It caches a
// summary of each entry; entries never change, so each is read once.
type auditTrail struct {
	kv            store.KV
	summaries     map[int64]entrySummary // by version
	copiedVersion int64                  // highest version whose entry is known to be stored
}

func newAuditTrail(kv store.KV) *auditTrail {
	return &auditTrail{kv: kv, summaries: map[int64]entrySummary{}}
}

func (t *auditTrail) addSummary(e *wire.AuditEntry) {
	summary := entrySummary{changeID: e.GetChange().GetId()}
	for _, op := range e.GetChange().GetOperations() {
		if op.GetDelete() {
			summary.deleted = append(summary.deleted, decl.KeyOf(op.GetObject()))
		}
	}
	t.summaries[e.GetVersion()] = summary
}

// loadSummaries caches the summaries of the entries after version base up to the
// head. It reads consecutive entries that are not cached together.
func (t *auditTrail) loadSummaries(ctx context.Context, base int64, h *wire.Head) error {
	if len(t.summaries) > maxSummaries {
		clear(t.summaries)
	}
	if h.GetVersion() > base {
		t.addSummary(h.GetLastChange())
	}
	for low := base + 1; low < h.GetVersion(); low++ {
		if _, known := t.summaries[low]; known {
			continue
		}
		high := low
		for high+1 < h.GetVersion() {
			if _, known := t.summaries[high+1]; known {
				break
			}
			high++
		}
		raw, err := readEntries(ctx, t.kv, low, high)
		if err != nil {
			return err
		}
		for _, b := range raw {
			e := &wire.AuditEntry{}
			if err := unmarshal(b, e); err != nil {
				return err
			}
			t.addSummary(e)
		}
		low = high
	}
	return nil
}

// versionOfChange returns the version after base that the change with the id
// made, or 0. The summaries after base must be loaded.
func (t *auditTrail) versionOfChange(base int64, h *wire.Head, id string) int64 {
	for v := h.GetVersion(); v > base; v-- {
		if t.summaries[v].changeID == id {
			return v
		}
	}
	return 0
}

// versionOfDeletion returns the newest version after base that deleted the
// object, or 0. The summaries after base must be loaded.
func (t *auditTrail) versionOfDeletion(base int64, h *wire.Head, key decl.Key) int64 {
	for v := h.GetVersion(); v > base; v-- {
		for _, deleted := range t.summaries[v].deleted {
			if deleted == key {
				return v
			}
		}
	}
	return 0
}

// readEntry returns the audit entry of a version that is not newer than the head.
func (t *auditTrail) readEntry(ctx context.Context, h *wire.Head, version int64) (*wire.AuditEntry, error) {
	if version == h.GetVersion() {
		return h.GetLastChange(), nil
	}
	raw, err := readEntries(ctx, t.kv, version, version)
	if err != nil {
		return nil, err
	}
	e := &wire.AuditEntry{}
	return e, unmarshal(raw[0], e)
}

// copyHeadEntry copies the entry of the head to the stored trail if it is not
// there. If the response to the write is lost, or the key exists, it reads the
// entry back and fails if the entry differs.
func (t *auditTrail) copyHeadEntry(ctx context.Context, h *wire.Head) error {
	version := h.GetVersion()
	if version <= t.copiedVersion {
		return nil
	}
	b, err := marshal(h.GetLastChange())
	if err != nil {
		return err
	}
	_, err = t.kv.Put(ctx, auditKey(version), b, 0, 0)
	if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
		return Error.Wrap(fmt.Errorf("write audit entry %d: %w", version, err))
	}
	if err != nil {
		item, err := t.kv.Get(ctx, auditKey(version))
		if err != nil {
			return Error.Wrap(fmt.Errorf("read audit entry %d back: %w", version, err))
		}
		if !bytes.Equal(item.Value, b) {
			return Error.New("audit entry %d differs from the one in the head", version)
		}
	}
	t.copiedVersion = version
	return nil
}
