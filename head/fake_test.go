package head

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"catkinpoint/store"
)

// fakeKV is a store in memory whose calls take time and fail at random.
type fakeKV struct {
	mu       sync.Mutex
	rng      *rand.Rand
	items    map[string]store.Item
	revision int64
	down     bool
	// Share of calls that are refused, and share of puts whose response is
	// lost; 0 to 1.
	refuseShare, loseShare float64
	calls                  map[string]int // by operation and first element of the key
}

func newFakeKV(seed uint64) *fakeKV {
	return &fakeKV{rng: rand.New(rand.NewPCG(seed, 1)), items: map[string]store.Item{}, calls: map[string]int{}}
}

// call counts a call, takes up to 4 ms and refuses the call with the probability
// refuseShare, or always while the store is down.
func (f *fakeKV) call(ctx context.Context, name, key string) error {
	f.mu.Lock()
	f.calls[name+" "+strings.SplitAfter(key, "/")[0]]++
	wait := time.Duration(f.rng.IntN(4000)) * time.Microsecond
	refused := f.down || f.rng.Float64() < f.refuseShare
	f.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return store.ErrUnavailable
	}
	if refused {
		return store.ErrUnavailable
	}
	return nil
}

func (f *fakeKV) Get(ctx context.Context, key string) (store.Item, error) {
	if err := f.call(ctx, "get", key); err != nil {
		return store.Item{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	item, ok := f.items[key]
	if !ok {
		return store.Item{}, store.ErrNotFound
	}
	return item, nil
}

// Put loses the response with the probability loseShare. The write then has
// taken effect, never does, or does after Put has returned ErrUnknown.
func (f *fakeKV) Put(ctx context.Context, key string, value []byte, revision int64, _ store.LeaseID) (int64, error) {
	if err := f.call(ctx, "put", key); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng.Float64() >= f.loseShare {
		return f.write(key, value, revision)
	}
	switch f.rng.IntN(3) {
	case 0:
		f.write(key, value, revision)
	case 1:
		time.AfterFunc(time.Duration(f.rng.IntN(100))*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.write(key, value, revision)
		})
	}
	return 0, store.ErrUnknown
}

func (f *fakeKV) write(key string, value []byte, revision int64) (int64, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	if revision != store.AnyRevision && f.items[key].Revision != revision {
		return 0, store.ErrConflict
	}
	f.revision++
	f.items[key] = store.Item{Key: key, Value: value, Revision: f.revision}
	return f.revision, nil
}

func (f *fakeKV) Delete(ctx context.Context, key string, revision int64) error {
	if err := f.call(ctx, "delete", key); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision != store.AnyRevision && f.items[key].Revision != revision {
		return store.ErrConflict
	}
	delete(f.items, key)
	return nil
}

func (f *fakeKV) List(ctx context.Context, prefix string) ([]store.Item, error) {
	if err := f.call(ctx, "list", prefix); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []store.Item
	for key, item := range f.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

func (f *fakeKV) Watch(context.Context, string, int64, time.Duration) ([]store.Item, int64, error) {
	return nil, 0, store.ErrUnavailable
}

func (f *fakeKV) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	return 0, store.ErrUnavailable
}
func (f *fakeKV) KeepAlive(context.Context, store.LeaseID) error { return store.ErrUnavailable }
func (f *fakeKV) Revoke(context.Context, store.LeaseID) error    { return store.ErrUnavailable }
