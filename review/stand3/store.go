package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or an event of its deletion.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// txn is the body of a transaction.
type txn struct {
	ExpectedRev []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expected_rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// store is the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*leaseState
	changed chan struct{}
	// loseWrite, if set, says of a transaction that it gets no answer, and after which time it
	// is carried out, if its conditions hold then.
	loseWrite func(t txn) (late time.Duration, lose bool)
	writes    int // transactions that arrived
}

type leaseState struct {
	ttl   time.Duration
	until time.Time
}

func newStore() *store {
	s := &store{rev: 1, items: map[string]item{}, leases: map[int64]*leaseState{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.until) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// endLease ends a lease and removes its keys. The caller holds the lock.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			delete(s.items, key)
			s.note(item{Key: key, Rev: s.rev, Deleted: true})
		}
	}
}

func (s *store) note(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// commit carries out a transaction and returns the status and body of its answer.
func (s *store) commit(t txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	current := []item{}
	for _, e := range t.ExpectedRev {
		i, ok := s.items[e.Key]
		if i.Rev != e.Rev {
			failed = true
		}
		if !ok {
			i = item{Key: e.Key}
		}
		current = append(current, i)
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.rev++
	for _, p := range t.Puts {
		i := item{Key: p.Key, Value: p.Value, Rev: s.rev, Created: s.rev, Lease: p.Lease}
		if old, ok := s.items[p.Key]; ok {
			i.Created = old.Created
		}
		s.items[p.Key] = i
		s.note(i)
	}
	for _, key := range t.Deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.note(item{Key: key, Rev: s.rev, Deleted: true})
		}
	}
	return http.StatusOK, map[string]any{"rev": s.rev}
}

// put writes a key as the operator.
func (s *store) put(key string, value any) {
	data, _ := json.Marshal(value)
	var t txn
	t.Puts = append(t.Puts, struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	}{key, data, 0})
	s.commit(t)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

const (
	pageItems = 500
	pageBytes = 1 << 20
)

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		rev := s.rev
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{"store_revision": rev})
			return
		}
		answer(w, http.StatusOK, struct {
			item
			Revision int64 `json:"store_revision"`
		}{i, rev})
	case path == "/-/kv-range":
		items, more, rev := s.page(q.Get("prefix"), q.Get("after"))
		answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": rev})
	case path == "/-/kv-watch":
		s.watch(w, r)
	case path == "/-/kv-txn":
		s.serveTxn(w, r)
	case path == "/-/kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 || body.TTL > 600000 {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		s.mu.Lock()
		s.rev++
		id, ttl := s.rev, time.Duration(body.TTL)*time.Millisecond
		s.leases[id] = &leaseState{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTL})
	case strings.HasPrefix(path, "/-/kv-keep/"), strings.HasPrefix(path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil && strings.HasPrefix(path, "/-/kv-keep/") {
			l.until = time.Now().Add(l.ttl)
		} else if l != nil {
			s.endLease(id)
		}
		s.mu.Unlock()
		if l == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		answer(w, http.StatusOK, map[string]any{})
	default:
		answer(w, http.StatusNotFound, map[string]any{})
	}
}

// page returns a page of the keys under a prefix.
func (s *store) page(prefix, after string) ([]item, bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, bytes := []item{}, 0
	for _, key := range keys {
		if len(items) == pageItems || bytes >= pageBytes {
			return items, true, s.rev
		}
		items = append(items, s.items[key])
		bytes += len(s.items[key].Value)
	}
	return items, false, s.rev
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		n := sort.Search(len(s.history), func(n int) bool { return s.history[n].Rev > after })
		for _, e := range s.history[n:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.ExpectedRev)+len(t.Puts)+len(t.Deletes) > 32 {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	lose := s.loseWrite
	s.writes++
	s.mu.Unlock()
	if lose != nil {
		if late, ok := lose(t); ok {
			time.AfterFunc(late, func() { s.commit(t) })
			<-r.Context().Done() // a channel on which an answer is lost returns nothing further
			panic(http.ErrAbortHandler)
		}
	}
	time.Sleep(4 * time.Millisecond)
	status, body := s.commit(t)
	answer(w, status, body)
}

// countWrites returns how many transactions have arrived.
func (s *store) countWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}
