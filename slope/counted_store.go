package slope

import (
	"context"
	"sync/atomic"

	"catkinpoint/store"
)

// countedStore is a store that counts calls and the bytes of keys and values. Get
// and List are reads, Put is a write; other calls are not counted.
type countedStore struct {
	store.KV
	reads, writes           atomic.Int64
	bytesRead, bytesWritten atomic.Int64
}

// Get implements store.KV.
func (s *countedStore) Get(ctx context.Context, key string) (store.Item, error) {
	item, err := s.KV.Get(ctx, key)
	s.reads.Add(1)
	s.bytesRead.Add(int64(len(key) + len(item.Value)))
	return item, err
}

// List implements store.KV.
func (s *countedStore) List(ctx context.Context, prefix string) ([]store.Item, error) {
	items, err := s.KV.List(ctx, prefix)
	s.reads.Add(1)
	for _, item := range items {
		s.bytesRead.Add(int64(len(item.Key) + len(item.Value)))
	}
	return items, err
}

// Put implements store.KV.
func (s *countedStore) Put(ctx context.Context, key string, value []byte, revision int64, lease store.LeaseID) (int64, error) {
	s.writes.Add(1)
	s.bytesWritten.Add(int64(len(key) + len(value)))
	return s.KV.Put(ctx, key, value, revision, lease)
}

// storeCounts is a snapshot of the counts of a countedStore.
type storeCounts struct {
	reads, writes, bytesRead, bytesWritten int64
}

// counts returns the counts so far.
func (s *countedStore) counts() storeCounts {
	return storeCounts{s.reads.Load(), s.writes.Load(), s.bytesRead.Load(), s.bytesWritten.Load()}
}

// minus returns the counts since an earlier snapshot.
func (c storeCounts) minus(before storeCounts) storeCounts {
	return storeCounts{
		c.reads - before.reads, c.writes - before.writes,
		c.bytesRead - before.bytesRead, c.bytesWritten - before.bytesWritten,
	}
}
