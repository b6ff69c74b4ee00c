package head

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"catkinpoint/store"
	"catkinpoint/wire"
)

// auditBlockSize is the number of entries that one list call reads: those whose
// keys differ in the last two digits only.
const auditBlockSize = 100

// maxSingleReads is the number of entries up to which reading each by its key
// costs less than a list call.
const maxSingleReads = 3

// ReadAudit returns the audit entries of the versions from first to last and
// verifies that each is linked by hash with the entries before and after it. If
// last is 0 or beyond the head, the version of the head is used instead.
func ReadAudit(ctx context.Context, kv store.KV, first, last int64) ([]*wire.AuditEntry, error) {
	s, err := readHead(ctx, kv)
	if err != nil {
		return nil, err
	}
	newest := s.head.GetVersion()
	first = max(first, 1)
	if last <= 0 || last > newest {
		last = newest
	}
	if first > last {
		return nil, nil
	}
	// One more entry on each side verifies the links of the first and the last.
	low, high := max(first-1, 1), min(last+1, newest)
	raw, err := readEntries(ctx, kv, low, min(high, newest-1))
	if err != nil {
		return nil, err
	}
	if high == newest {
		b, err := marshal(s.head.GetLastChange())
		if err != nil {
			return nil, err
		}
		raw = append(raw, b)
	}
	entries, err := verifyEntries(low, raw)
	if err != nil {
		return nil, err
	}
	return entries[first-low : last-low+1], nil
}

// verifyEntries decodes consecutive entries, the first of version low, and
// checks their versions and the hashes that link them.
func verifyEntries(low int64, raw [][]byte) ([]*wire.AuditEntry, error) {
	entries := make([]*wire.AuditEntry, len(raw))
	for i, b := range raw {
		version := low + int64(i)
		e := &wire.AuditEntry{}
		if err := unmarshal(b, e); err != nil {
			return nil, err
		}
		if e.GetVersion() != version {
			return nil, Error.New("audit entry %d says that it is version %d", version, e.GetVersion())
		}
		if version == 1 && len(e.GetPreviousHash()) > 0 {
			return nil, Error.New("audit entry 1 refers to an entry before it")
		}
		if i > 0 && !slices.Equal(e.GetPreviousHash(), hashOf(raw[i-1])) {
			return nil, Error.New("audit entry %d does not match the hash in entry %d", version-1, version)
		}
		entries[i] = e
	}
	return entries, nil
}

// readEntries returns the stored bytes of the entries from low to high. It fails if
// one is missing.
func readEntries(ctx context.Context, kv store.KV, low, high int64) ([][]byte, error) {
	if low > high {
		return nil, nil
	}
	raw := make([][]byte, high-low+1)
	if len(raw) <= maxSingleReads {
		for i := range raw {
			item, err := kv.Get(ctx, auditKey(low+int64(i)))
			if errors.Is(err, store.ErrNotFound) {
				continue
			}
			if err != nil {
				return nil, Error.Wrap(fmt.Errorf("read audit entry %d: %w", low+int64(i), err))
			}
			raw[i] = item.Value
		}
		return raw, checkComplete(low, raw)
	}
	for block := low / auditBlockSize; block <= high/auditBlockSize; block++ {
		prefix := strings.TrimSuffix(auditKey(block*auditBlockSize), "00")
		items, err := kv.List(ctx, prefix)
		if err != nil {
			return nil, Error.Wrap(fmt.Errorf("list audit entries: %w", err))
		}
		for _, item := range items {
			version, err := strconv.ParseInt(strings.TrimPrefix(item.Key, auditPrefix), 10, 64)
			if err == nil && version >= low && version <= high {
				raw[version-low] = item.Value
			}
		}
	}
	return raw, checkComplete(low, raw)
}

// checkComplete fails if an entry is missing; raw begins with version low.
func checkComplete(low int64, raw [][]byte) error {
	for i, b := range raw {
		if b == nil {
			return Error.New("audit entry %d is missing", low+int64(i))
		}
	}
	return nil
}
