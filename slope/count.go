package slope

import (
	"context"
	"sync/atomic"

	"catkinpoint/store"
)

// countedStore counts the calls and the bytes of keys and values.
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

// storeCount is a copy of the counts of a countedStore.
type storeCount struct {
	reads, writes, bytesRead, bytesWritten int64
}

func (s *countedStore) count() storeCount {
	return storeCount{s.reads.Load(), s.writes.Load(), s.bytesRead.Load(), s.bytesWritten.Load()}
}

func (c storeCount) minus(before storeCount) storeCount {
	return storeCount{
		c.reads - before.reads, c.writes - before.writes,
		c.bytesRead - before.bytesRead, c.bytesWritten - before.bytesWritten,
	}
}
