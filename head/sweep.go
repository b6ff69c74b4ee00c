package head

import (
	"context"
	"errors"
	"fmt"

	"catkinpoint/store"
)

// Sweep deletes the parts that the published head does not use and returns the
// number of deleted parts.
//
// It first rewrites the head unchanged, so that a publisher that read the head
// before gets a conflict and writes its parts again. Parts written after the
// listing have a newer revision than the listed one and are not deleted.
func Sweep(ctx context.Context, kv store.KV) (int, error) {
	items, err := kv.List(ctx, partPrefix)
	if err != nil {
		return 0, Error.Wrap(fmt.Errorf("list parts: %w", err))
	}
	s, err := readHead(ctx, kv)
	if err != nil || s.head.GetVersion() == 0 {
		return 0, err
	}
	if _, err := kv.Put(ctx, headKey, s.raw, s.revision, 0); err != nil {
		return 0, Error.Wrap(fmt.Errorf("renew head: %w", err))
	}
	used := map[string]bool{}
	for _, hash := range s.head.GetPartHashes() {
		used[partKey(hash)] = true
	}
	deleted := 0
	for _, item := range items {
		if used[item.Key] {
			continue
		}
		err := kv.Delete(ctx, item.Key, item.Revision)
		switch {
		case err == nil:
			deleted++
		case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		default:
			return deleted, Error.Wrap(fmt.Errorf("delete part: %w", err))
		}
	}
	return deleted, nil
}
