package matrix

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"catkinpoint/decl"
	"catkinpoint/head"
	"catkinpoint/wire"
)

// Keys and changes that the watcher knows.
const (
	gangKey      = "gang"
	weightChange = "weight"
	drainChange  = "drain-away"
	returnChange = "return-away"
	rivalChange  = "rival"
)

// Script is the work of one run and what callers and operators were told.
type Script struct {
	world *World
	twice bool // callers and operators do everything twice
	race  bool // a second operator changes the same objects

	mu      sync.Mutex
	group   sync.WaitGroup
	told    []*Told
	changes []*changed
	seen    map[string][]seenVersion // by entry
	// drained is the worker whose endpoint leaves, and when it was told.
	drained   string
	drainedAt time.Time
	left      time.Time // when the agent had finished
	// leftEntry is when the spare entry was told to leave.
	leftEntry time.Time
}

// changed is one accepted change.
type changed struct {
	id      string
	version int64
	at      time.Time // when its operator was told
}

// seenVersion is the version that an entry showed.
type seenVersion struct {
	at     time.Time
	entry  int64
	agents int64 // the lowest of its duties; -1 without a duty
}

// Times of the script, after its start.
const (
	cancelAt    = 2 * time.Second
	fillAt      = 8 * time.Second
	fillers     = 9
	urgentAt    = 11 * time.Second
	urgentAgain = 17 * time.Second // while changes are made
	publishAt   = 14 * time.Second
	leaveAt     = 16 * time.Second
	entryLeaves = 20100 * time.Millisecond
	outOfDC     = 9 * time.Second
	trickleEnd  = 32 * time.Second
	trickleGap  = 700 * time.Millisecond
	watchGap    = 500 * time.Millisecond
	// drainPatience is above the run time of all work.
	drainPatience = time.Minute
)

// play gives the whole work to the system and returns when all callers and
// operators have their answers.
func (s *Script) play(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	watching := new(sync.WaitGroup)
	for i := range entryCount {
		watching.Go(func() { s.watchVersion(ctx, i) })
	}
	s.submit(ctx, 0, Told{Title: "gang", Query: "customer=clubs&job_class=reconstruction&key=" + gangKey + "&p.run_ms=9000", Tasks: 4, Once: true, First: 2})
	s.submit(ctx, 0, Told{Title: "order", Query: "customer=clubs&job_class=order&key=order&p.run_ms=3000", Tasks: 1, Once: true})
	s.submit(ctx, 0, Told{Title: "scan", Query: "customer=league&job_class=scan&p.run_ms=2000", Tasks: 1, Insist: true, First: 1})
	s.submit(ctx, 0, Told{Title: "detached", Query: "customer=league&job_class=order&key=later&detach=true&p.run_ms=2500", Tasks: 1, Once: true, First: 2})
	s.submit(ctx, 0, Told{Title: "cancelled", Query: "customer=clubs&job_class=order&key=stop&timeout=40s&p.run_ms=30000", Tasks: 1, Once: true})
	s.group.Go(func() { s.cancelOne(ctx) })
	for i := range fillers {
		s.submit(ctx, fillAt, Told{Title: "filler", Query: "customer=clubs&job_class=simulation&p.run_ms=8000", Tasks: 1, Insist: true, First: i % 2})
	}
	s.group.Go(func() {
		time.Sleep(urgentAt)
		s.world.mu.Lock()
		s.world.watch.urgent = true
		s.world.mu.Unlock()
	})
	for _, at := range []time.Duration{urgentAt, urgentAgain} {
		s.submit(ctx, at, Told{Title: "urgent", Query: "customer=league&job_class=alarm&p.run_ms=2000", Tasks: 1, Insist: true})
	}
	for at := time.Duration(0); at < trickleEnd; at += trickleGap {
		s.submit(ctx, at, Told{Title: "short", Query: "customer=league&job_class=scan&p.run_ms=300", Tasks: 1, Insist: true, First: int(at / trickleGap)})
	}
	for i := range 4 {
		s.submit(ctx, entryLeaves-time.Second, Told{Title: fmt.Sprintf("late gang %d", i), Query: fmt.Sprintf("customer=clubs&job_class=reconstruction&key=late-%d&p.run_ms=2500", i), Tasks: 4, Once: true, First: 2})
	}
	s.group.Go(func() { s.operate(ctx) })
	s.group.Go(func() { s.drainEndpoint(ctx) })
	s.group.Go(func() { s.leaveEntry() })
	s.group.Wait()
	time.Sleep(10 * time.Second) // what runs on shows in the records
	stop()
	watching.Wait()
}

// submit lets a caller ask at the given time, and under the fault "the same
// twice" a second one with the same key.
func (s *Script) submit(ctx context.Context, after time.Duration, t Told) {
	copies := 1
	if s.twice && t.Once {
		copies = 2
	}
	for i := range copies {
		told := t
		told.First += i
		s.mu.Lock()
		told.Body = fmt.Appendf(nil, "%s of %s;", t.Title, t.Query)
		if t.Query == "" || !t.Once {
			told.Body = fmt.Appendf(told.Body, "%d;", len(s.told))
		}
		s.told = append(s.told, &told)
		s.mu.Unlock()
		s.group.Go(func() {
			time.Sleep(after)
			s.world.ask(ctx, &told)
		})
	}
}

// cancelOne cancels the long job by its id, which the same key gives.
func (s *Script) cancelOne(ctx context.Context) {
	time.Sleep(cancelAt)
	id := s.world.jobWithKey("stop")
	if id == "" {
		return
	}
	s.world.cancel(ctx, id, 1)
	if s.twice {
		s.world.cancel(ctx, id, 0)
	}
}

// jobWithKey finds the id of a caller's job, which its caller has not been told yet.
func (w *World) jobWithKey(key string) string {
	items, err := w.System.Store.WithCaller(observer).List(context.Background(), "job/")
	if err != nil {
		return ""
	}
	for _, item := range items {
		record := new(wire.JobRecord)
		if w.read(item.Key, record) && record.GetJob().GetKey() == key {
			return record.GetJob().GetId()
		}
	}
	return ""
}

// operate makes the changes of the operators, one after another.
func (s *Script) operate(ctx context.Context) {
	time.Sleep(publishAt)
	s.change(ctx, weightChange, func(o *wire.Object) bool {
		if o.GetKind() != "customer" || o.GetName() != "clubs" {
			return false
		}
		o.GetCustomer().Weight = 2
		return true
	})
	s.change(ctx, drainChange, inService(false))
	time.Sleep(outOfDC)
	s.change(ctx, returnChange, inService(true))
}

func inService(in bool) func(*wire.Object) bool {
	return func(o *wire.Object) bool {
		if o.GetKind() != "data_centre" || o.GetName() != away {
			return false
		}
		o.GetDataCentre().InService = in
		return true
	}
}

// change publishes until an operator is told a version. Each try is made by
// another operator process with the same change id.
func (s *Script) change(ctx context.Context, id string, edit func(*wire.Object) bool) {
	if s.race {
		s.group.Go(func() { s.rival(ctx, id, edit) })
	}
	var change *wire.Change
	for try := range 40 {
		follower := head.NewFollower(s.world.System.Store.WithCaller(fmt.Sprintf("operator-%s-%d", id, try)))
		publisher := head.NewPublisher(follower, head.Options{})
		if err := follower.Poll(ctx); err == nil {
			if change == nil {
				change = newChange(id, follower.Current(), edit)
			}
			copies := 1
			if s.twice {
				copies = 2
			}
			for range copies {
				result, err := publisher.Publish(ctx, change, false)
				if err == nil {
					s.note(&changed{id, result.Version, time.Now()})
				}
			}
			if s.has(id) {
				return
			}
		}
		var conflict *decl.ConflictError
		if s.race && try > 0 && conflict == nil {
			change = nil // a rival won; the change is based on its version
		}
		time.Sleep(callerPause)
	}
}

// rival changes the same object in another way at the same time.
func (s *Script) rival(ctx context.Context, id string, edit func(*wire.Object) bool) {
	follower := head.NewFollower(s.world.System.Store.WithCaller("operator-" + rivalChange))
	if err := follower.Poll(ctx); err != nil {
		return
	}
	change := newChange(rivalChange+id, follower.Current(), func(o *wire.Object) bool {
		if !edit(o) {
			return false
		}
		switch {
		case o.GetCustomer() != nil:
			o.GetCustomer().Weight = 3
		case o.GetDataCentre() != nil:
			o.GetDataCentre().InService = !o.GetDataCentre().GetInService()
			o.GetDataCentre().WorkersPerRack = 4
		}
		return true
	})
	result, err := head.NewPublisher(follower, head.Options{}).Publish(ctx, change, false)
	if err == nil {
		s.note(&changed{change.GetId(), result.Version, time.Now()})
	}
}

func newChange(id string, base *head.Snapshot, edit func(*wire.Object) bool) *wire.Change {
	change := &wire.Change{Id: id, Author: "operator", Reason: "matrix", BaseVersion: base.Set.Version()}
	for o := range base.Set.Objects() {
		o = cloneObject(o)
		if edit(o) {
			change.Operations = append(change.Operations, &wire.Operation{Object: o, BaseRevision: o.GetRevision()})
		}
	}
	return change
}

func (s *Script) note(c *changed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, c)
}

func (s *Script) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.changes, func(c *changed) bool { return c.id == id })
}

// drainEndpoint takes one endpoint out of service gracefully.
func (s *Script) drainEndpoint(ctx context.Context) {
	time.Sleep(leaveAt)
	// Placement prefers the first of equally full workers, so that one would get
	// new work if it were not drained.
	for _, name := range []string{home + "-00", home + "-01", home + "-02"} {
		if name != s.world.victim() && name != s.world.otherVictim() {
			s.drained = name
			break
		}
	}
	s.drainedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, drainPatience)
	defer cancel()
	if s.twice {
		again := make(chan struct{})
		defer func() { <-again }()
		go func() {
			defer close(again)
			_ = s.world.System.Process(s.drained).Agent.Drain(ctx) // judged by the other call
		}()
	}
	if err := s.world.System.Process(s.drained).Drain(ctx); err == nil {
		s.left = time.Now()
	}
}

// leaveEntry stops the spare entry gracefully.
func (s *Script) leaveEntry() {
	time.Sleep(entryLeaves)
	s.leftEntry = time.Now()
	select {
	case <-s.world.System.Process(s.world.spare()).Stop():
	case <-time.After(15 * time.Second):
	}
}

// watchVersion asks an entry for its configuration version again and again.
func (s *Script) watchVersion(ctx context.Context, number int) {
	name := fmt.Sprintf("entry-%d", number)
	for ctx.Err() == nil {
		answer, err := s.world.client(ctx, http.MethodGet, s.world.System.Entries[number], "/v1/status", nil)
		var status struct {
			ID      string `json:"id"`
			Version int64  `json:"version"`
			Duties  []struct {
				Holder       string `json:"holder"`
				AgentVersion int64  `json:"lowest_agent_version"`
			} `json:"duties"`
		}
		if err == nil && json.Unmarshal(answer.Body, &status) == nil {
			v := seenVersion{time.Now(), status.Version, -1}
			for _, d := range status.Duties {
				if d.Holder == name && (v.agents < 0 || d.AgentVersion < v.agents) {
					v.agents = d.AgentVersion
				}
			}
			s.mu.Lock()
			s.seen[name] = append(s.seen[name], v)
			s.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchGap):
		}
	}
}
