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

// item is an item of the store, or the deletion of one.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// kvStore is the platform's store.
type kvStore struct {
	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each change
	rev       int64
	items     map[string]item
	events    []item
	leases    map[int64]*lease
	lastLease int64
	renewedBy string // the machine that renewed a lease last
}

func newStore() *kvStore {
	s := &kvStore{changed: make(chan struct{}), rev: 100, items: map[string]item{}, leases: map[int64]*lease{}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// expire removes ended leases and their keys.
func (s *kvStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	removed := false
	for key, i := range s.items {
		if i.Lease == id {
			if !removed {
				s.rev++
				removed = true
			}
			s.remove(key)
		}
	}
	if removed {
		s.notify()
	}
}

func (s *kvStore) remove(key string) {
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Rev: s.rev, Deleted: true})
}

func (s *kvStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (s *kvStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, []byte(value), 0)
	s.notify()
}

func (s *kvStore) write(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, i)
}

// leader returns the machine that renewed a lease last.
func (s *kvStore) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewedBy
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// handler serves the store's calls of one machine.
func (s *kvStore) handler(machine string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		i, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			reply(w, 404, map[string]any{"store_revision": s.rev})
			return
		}
		reply(w, 200, struct {
			item
			Revision int64 `json:"store_revision"`
		}{i, s.rev})
	})
	mux.HandleFunc("GET /-/kv-range", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		list := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
				list = append(list, i)
			}
		}
		sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
		reply(w, 200, map[string]any{"items": list, "has_more": false, "store_revision": s.rev})
	})
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.commit)
	mux.HandleFunc("POST /-/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			reply(w, 400, struct{}{})
			return
		}
		ttl := max(time.Second, time.Duration(body.TTL)*time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastLease++
		s.leases[s.lastLease] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, 200, map[string]int64{"lease": s.lastLease, "ttl_ms": ttl.Milliseconds()})
	})
	mux.HandleFunc("POST /-/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			reply(w, 404, struct{}{})
			return
		}
		l.expires, s.renewedBy = time.Now().Add(l.ttl), machine
		reply(w, 200, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
	})
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == nil {
			reply(w, 404, struct{}{})
			return
		}
		s.endLease(id)
		reply(w, 200, struct{}{})
	})
	return mux
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, r.URL.Query().Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			reply(w, 200, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
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
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Expected)+len(body.Puts)+len(body.Deletes) > 32 {
		reply(w, 400, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []item{}
	for _, e := range body.Expected {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		failed = failed || i.Rev != e.Rev
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, struct{}{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, struct{}{})
			return
		}
	}
	if failed {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	s.rev++
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Deletes {
		if _, ok := s.items[key]; ok {
			s.remove(key)
		}
	}
	s.notify()
	reply(w, 200, map[string]int64{"rev": s.rev})
}
