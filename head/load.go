package head

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"catkinpoint/decl"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// maxParallelReads bounds the part reads in flight, so that a cold start does not
// take a large share of the store's read rate at once.
const maxParallelReads = 8

// headState is the head as it was read, decoded and raw, with the store revision
// of its key.
type headState struct {
	head     *wire.Head
	raw      []byte
	revision int64
}

// readHead returns the published head. If nothing was published yet, its version is 0.
func readHead(ctx context.Context, kv store.KV) (headState, error) {
	item, err := kv.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return headState{head: &wire.Head{}}, nil
	}
	if err != nil {
		return headState{}, Error.Wrap(fmt.Errorf("read head: %w", err))
	}
	h := &wire.Head{}
	if err := unmarshal(item.Value, h); err != nil {
		return headState{}, err
	}
	if len(h.GetPartHashes()) != partCount || h.GetVersion() < 1 {
		return headState{}, Error.New("head has version %d and %d parts", h.GetVersion(), len(h.GetPartHashes()))
	}
	return headState{h, item.Value, item.Revision}, nil
}

// partCache keeps the most recently loaded part of each bucket.
type partCache struct {
	mu    sync.Mutex
	parts [partCount]part
}

// load builds the set of a head and reads only the parts that are not cached.
// The lock is not held during reads, so a slow publisher never delays a follower.
func (c *partCache) load(ctx context.Context, kv store.KV, h *wire.Head) (*decl.Set, error) {
	c.mu.Lock()
	parts := c.parts
	c.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for i, hash := range h.GetPartHashes() {
		if slices.Equal(parts[i].hash, hash) {
			continue
		}
		if len(hash) == 0 {
			parts[i] = part{}
			continue
		}
		group.Go(func() error {
			item, err := kv.Get(ctx, partKey(hash))
			if err != nil {
				return Error.Wrap(fmt.Errorf("read part %x: %w", hash, err))
			}
			parts[i], err = decodePart(hash, item.Value)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.parts = parts
	c.mu.Unlock()
	var objects []*wire.Object
	for _, p := range parts {
		objects = append(objects, p.objects...)
	}
	return decl.NewSet(h.GetVersion(), objects), nil
}
