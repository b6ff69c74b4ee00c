package fakekv

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"catkinpoint/store"
)

// Counts are the calls that arrived since the start, refused ones included.
type Counts struct {
	Reads   int64            `json:"reads"`
	Writes  int64            `json:"writes"`
	Refused int64            `json:"refused"`
	ByOp    map[string]int64 `json:"by_op"`
	// Waiting is the number of watches that wait now.
	Waiting int64 `json:"waiting"`
}

// Server is the stand-in service as one caller sees it in the same process.
type Server struct {
	*shared
	caller string
}

var _ store.KV = (*Server)(nil)

type shared struct {
	mu     sync.Mutex
	state  *state
	faults map[string]*faultState
	counts map[string]*Counts
	gate   Gate
}

// Call is one call as a Gate sees it.
type Call struct {
	Caller string
	Op     string
	Key    string // or the prefix of a list
	// Took is set when the call has taken effect and is about to be answered.
	Took bool
}

// Gate is called before each call, and again before its answer if it took
// effect. It may block, and an error takes the place of the answer.
type Gate func(ctx context.Context, call Call) error

// SetGate makes all calls pass gate; nil removes it.
func (s *Server) SetGate(gate Gate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = gate
}

// pass lets the gate hold the call back or fail it.
func (s *Server) pass(ctx context.Context, call Call) error {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	if gate == nil {
		return nil
	}
	call.Caller = s.caller
	return gate(ctx, call)
}

// New returns an empty service without faults, seen by a caller without name.
func New() *Server {
	return &Server{shared: &shared{
		state:  newState(),
		faults: map[string]*faultState{},
		counts: map[string]*Counts{Everyone: newCounts()},
	}}
}

func newCounts() *Counts {
	return &Counts{ByOp: map[string]int64{}}
}

// WithCaller returns the same service as the named caller sees it.
func (s *Server) WithCaller(name string) *Server {
	return &Server{shared: s.shared, caller: name}
}

// SetFaults replaces the faults of one caller, or those of Everyone, which
// apply in addition.
func (s *Server) SetFaults(caller string, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[caller] = newFaultState(f)
	s.state.wake()
}

// ClearFaults removes the faults of all callers.
func (s *Server) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.faults)
	s.state.wake()
}

// Faults returns the faults in force, by caller.
func (s *Server) Faults() map[string]Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]Faults{}
	for caller, f := range s.faults {
		all[caller] = f.Faults
	}
	return all
}

// LapseLeases ends now the leases that the caller, or Everyone, was granted,
// and returns their number.
func (s *Server) LapseLeases(caller string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.state.leasesOf(caller)
	for _, id := range ids {
		_ = s.state.end(id)
	}
	return len(ids)
}

// Counts returns the calls of one caller, or of Everyone.
func (s *Server) Counts(caller string) Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, ok := s.counts[caller]
	if !ok {
		return *newCounts()
	}
	copied := *counts
	copied.ByOp = maps.Clone(counts.ByOp)
	return copied
}

// faultsFor returns the faults that apply to this caller.
func (s *Server) faultsFor() []*faultState {
	list := []*faultState{}
	if f, ok := s.faults[Everyone]; ok {
		list = append(list, f)
	}
	if f, ok := s.faults[s.caller]; ok && s.caller != Everyone {
		list = append(list, f)
	}
	return list
}

func (s *Server) down() bool {
	for _, f := range s.faultsFor() {
		if f.Down {
			return true
		}
	}
	return false
}

func (s *Server) slow() time.Duration {
	longest := time.Duration(0)
	for _, f := range s.faultsFor() {
		longest = max(longest, f.Slow)
	}
	return longest
}

func (s *Server) loses(key string, tookEffect bool) bool {
	lost := false
	for _, f := range s.faultsFor() {
		lost = f.loses(key, tookEffect) || lost
	}
	return lost
}

// eachCount applies f to the counts of this caller and of Everyone.
func (s *Server) eachCount(f func(*Counts)) {
	f(s.counts[Everyone])
	if s.caller == Everyone {
		return
	}
	if s.counts[s.caller] == nil {
		s.counts[s.caller] = newCounts()
	}
	f(s.counts[s.caller])
}

// arrive counts a call and returns its delay, or ErrUnavailable.
func (s *Server) arrive(op string, write bool) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	down := s.down()
	s.eachCount(func(c *Counts) {
		c.ByOp[op]++
		if write {
			c.Writes++
		} else {
			c.Reads++
		}
		if down {
			c.Refused++
		}
	})
	if down {
		return 0, store.ErrUnavailable
	}
	return s.slow(), nil
}

// read carries out f under the lock, after the delay of the faults.
func (s *Server) read(ctx context.Context, op, key string, f func()) error {
	if err := s.pass(ctx, Call{Op: op, Key: key}); err != nil {
		return fail(op, key, fmt.Errorf("%w: %w", store.ErrUnavailable, err))
	}
	delay, err := s.arrive(op, false)
	if err != nil {
		return fail(op, key, err)
	}
	if err := sleep(ctx, delay); err != nil {
		return fail(op, key, fmt.Errorf("%w: %w", store.ErrUnavailable, err))
	}
	s.mu.Lock()
	f()
	s.mu.Unlock()
	if err := s.pass(ctx, Call{Op: op, Key: key, Took: true}); err != nil {
		return fail(op, key, fmt.Errorf("%w: %w", store.ErrUnavailable, err))
	}
	return nil
}

// write carries out f under the lock, after the delay of the faults. If the
// caller gives up meanwhile, f is carried out nevertheless.
func (s *Server) write(ctx context.Context, op, key string, f func() error) error {
	if err := s.pass(ctx, Call{Op: op, Key: key}); err != nil {
		return fail(op, key, fmt.Errorf("%w: %w", store.ErrUnavailable, err))
	}
	delay, err := s.arrive(op, true)
	if err != nil {
		return fail(op, key, err)
	}
	start := time.Now()
	if err := sleep(ctx, delay); err != nil {
		time.AfterFunc(delay-time.Since(start), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_ = f()
		})
		return fail(op, key, fmt.Errorf("%w: %w", store.ErrUnknown, err))
	}
	s.mu.Lock()
	err = f()
	lost := s.loses(key, err == nil)
	s.mu.Unlock()
	if err != nil && !lost {
		return fail(op, key, err)
	}
	if err := s.pass(ctx, Call{Op: op, Key: key, Took: err == nil}); err != nil {
		return fail(op, key, fmt.Errorf("%w: %w", store.ErrUnknown, err))
	}
	if lost {
		return fail(op, key, fmt.Errorf("%w: answer lost", store.ErrUnknown))
	}
	return nil
}

func fail(op, key string, err error) error {
	return store.Error.Wrap(fmt.Errorf("%s %q: %w", op, key, err))
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
