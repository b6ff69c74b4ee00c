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

// maxNotes is the number of remembered entries above which all are forgotten
// before the next search; at 27,000 changes a day that is twice a day.
const maxNotes = 16384

// note is what a publisher remembers of one audit entry.
type note struct {
	changeID string
	deleted  []decl.Key
}

// trail remembers audit entries, which never change, so that each is read once.
type trail struct {
	kv     store.KV
	notes  map[int64]note
	copied int64 // highest version whose entry is known to be in the trail
}

func newTrail(kv store.KV) *trail {
	return &trail{kv: kv, notes: map[int64]note{}}
}

func (t *trail) remember(e *wire.AuditEntry) {
	n := note{changeID: e.GetChange().GetId()}
	for _, op := range e.GetChange().GetOperations() {
		if op.GetDelete() {
			n.deleted = append(n.deleted, decl.KeyOf(op.GetObject()))
		}
	}
	t.notes[e.GetVersion()] = n
}

// learn makes the entries after base up to the head known.
func (t *trail) learn(ctx context.Context, base int64, h *wire.Head) error {
	if len(t.notes) > maxNotes {
		clear(t.notes)
	}
	if h.GetVersion() > base {
		t.remember(h.GetLastChange())
	}
	for low := base + 1; low < h.GetVersion(); low++ {
		if _, known := t.notes[low]; known {
			continue
		}
		high := low
		for high+1 < h.GetVersion() {
			if _, known := t.notes[high+1]; known {
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
			t.remember(e)
		}
		low = high
	}
	return nil
}

// find returns the version after base that a change with the id has made, or 0.
func (t *trail) find(base int64, h *wire.Head, id string) int64 {
	for v := h.GetVersion(); v > base; v-- {
		if t.notes[v].changeID == id {
			return v
		}
	}
	return 0
}

// deleter returns the version after base that has deleted the object, or 0.
func (t *trail) deleter(base int64, h *wire.Head, key decl.Key) int64 {
	for v := h.GetVersion(); v > base; v-- {
		for _, deleted := range t.notes[v].deleted {
			if deleted == key {
				return v
			}
		}
	}
	return 0
}

// entry reads the entry of a version up to the head.
func (t *trail) entry(ctx context.Context, h *wire.Head, version int64) (*wire.AuditEntry, error) {
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

// copyLast copies the entry of the head to the trail if it is not there. A
// lost answer is resolved by reading the entry back.
func (t *trail) copyLast(ctx context.Context, h *wire.Head) error {
	version := h.GetVersion()
	if version <= t.copied {
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
	t.copied = version
	return nil
}
