package fakekv

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"catkinpoint/store"
)

// Counts holds the numbers of calls that arrived since the start, including
// those that an outage refused.
type Counts struct {
	Reads   int64            `json:"reads"`
	Writes  int64            `json:"writes"`
	Refused int64            `json:"refused"`
	ByOp    map[string]int64 `json:"by_op"` // by operation, such as "get"
	// Waiting is the number of watches that wait now.
	Waiting int64 `json:"waiting"`
}

// Server is one caller's access to the fake service from the same process.
type Server struct {
	*service
	caller string
}

var _ store.KV = (*Server)(nil)

// service is what the Servers of all callers share.
type service struct {
	mu          sync.Mutex
	state       *state
	faults      map[string]*faultState // by caller
	counts      map[string]*Counts     // by caller; the entry of AllCallers holds the sums
	interceptor Interceptor
}

// Call describes one call to an Interceptor.
type Call struct {
	Caller string
	Op     string
	Key    string // the prefix for list, watch and events, the first written key for commit, empty for leases
	// Applied is set when the call has taken effect and is about to be answered.
	Applied bool
}

// Interceptor is called before each call, and again, with Applied set, before the
// answer of a call that took effect. It may block, and an error that it returns
// is wrapped and replaces the answer.
type Interceptor func(ctx context.Context, call Call) error

// SetInterceptor runs interceptor on the calls of all callers; nil removes it.
func (s *Server) SetInterceptor(interceptor Interceptor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interceptor = interceptor
}

// intercept runs the interceptor, which may delay the call or make it fail.
func (s *Server) intercept(ctx context.Context, call Call) error {
	s.mu.Lock()
	interceptor := s.interceptor
	s.mu.Unlock()
	if interceptor == nil {
		return nil
	}
	call.Caller = s.caller
	return interceptor(ctx, call)
}

// New returns an empty service without faults, accessed by a caller without a name.
func New() *Server {
	return &Server{service: &service{
		state:  newState(),
		faults: map[string]*faultState{},
		counts: map[string]*Counts{AllCallers: newCounts()},
	}}
}

func newCounts() *Counts {
	return &Counts{ByOp: map[string]int64{}}
}

// WithCaller returns the named caller's access to the same service.
func (s *Server) WithCaller(name string) *Server {
	return &Server{service: s.service, caller: name}
}

// SetFaults replaces the faults of one caller. Those of AllCallers apply in
// addition to the caller's own.
func (s *Server) SetFaults(caller string, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[caller] = newFaultState(f)
	s.state.notifyWatches()
}

// ClearFaults removes the faults of all callers.
func (s *Server) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.faults)
	s.state.notifyWatches()
}

// Faults returns the current faults by caller.
func (s *Server) Faults() map[string]Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]Faults{}
	for caller, f := range s.faults {
		all[caller] = f.Faults
	}
	return all
}

// LapseLeases ends at once the leases that were granted to the caller, or to
// AllCallers, and returns their number.
func (s *Server) LapseLeases(caller string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.state.leasesOf(caller)
	for _, id := range ids {
		_ = s.state.endLease(id)
	}
	return len(ids)
}

// Counts returns the call counts of one caller, or of AllCallers.
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

// activeFaults returns the faults that apply to this caller.
func (s *Server) activeFaults() []*faultState {
	list := []*faultState{}
	if f, ok := s.faults[AllCallers]; ok {
		list = append(list, f)
	}
	if f, ok := s.faults[s.caller]; ok && s.caller != AllCallers {
		list = append(list, f)
	}
	return list
}

// isDown reports whether an outage applies to this caller.
func (s *Server) isDown() bool {
	for _, f := range s.activeFaults() {
		if f.Down {
			return true
		}
	}
	return false
}

// callDelay returns the longest delay among the faults of this caller.
func (s *Server) callDelay() time.Duration {
	longest := time.Duration(0)
	for _, f := range s.activeFaults() {
		longest = max(longest, f.Delay)
	}
	return longest
}

// losesAnswer reports whether the answer of one write is lost. It asks every
// fault, because each updates its own state.
func (s *Server) losesAnswer(key string, tookEffect bool) bool {
	lost := false
	for _, f := range s.activeFaults() {
		lost = f.losesAnswer(key, tookEffect) || lost
	}
	return lost
}

// updateCounts applies f to the counts of this caller and of AllCallers.
func (s *Server) updateCounts(f func(*Counts)) {
	f(s.counts[AllCallers])
	if s.caller == AllCallers {
		return
	}
	if s.counts[s.caller] == nil {
		s.counts[s.caller] = newCounts()
	}
	f(s.counts[s.caller])
}

// admitCall counts a call and returns its delay, or ErrUnavailable in an outage.
func (s *Server) admitCall(op string, write bool) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	down := s.isDown()
	s.updateCounts(func(c *Counts) {
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
	return s.callDelay(), nil
}

// read counts a call, waits for the delay of the faults and carries out f under the
// lock. It runs the interceptor first and after f. All its failures are
// ErrUnavailable.
func (s *Server) read(ctx context.Context, op, key string, f func()) error {
	if err := s.intercept(ctx, Call{Op: op, Key: key}); err != nil {
		return opError(op, key, fmt.Errorf("%w: %w", store.ErrUnavailable, err))
	}
	delay, err := s.admitCall(op, false)
	if err != nil {
		return opError(op, key, err)
	}
	if err := sleep(ctx, delay); err != nil {
		return opError(op, key, fmt.Errorf("%w: %w", store.ErrUnavailable, err))
	}
	s.mu.Lock()
	f()
	s.mu.Unlock()
	if err := s.intercept(ctx, Call{Op: op, Key: key, Applied: true}); err != nil {
		return opError(op, key, fmt.Errorf("%w: %w", store.ErrUnavailable, err))
	}
	return nil
}

// write is like read, for an operation that changes the state and may fail. If the
// caller gives up during the delay, f is still carried out at the end of the delay,
// and the caller gets ErrUnknown, as it does when the answer is lost.
func (s *Server) write(ctx context.Context, op, key string, f func() error) error {
	if err := s.intercept(ctx, Call{Op: op, Key: key}); err != nil {
		return opError(op, key, fmt.Errorf("%w: %w", store.ErrUnavailable, err))
	}
	delay, err := s.admitCall(op, true)
	if err != nil {
		return opError(op, key, err)
	}
	start := time.Now()
	if err := sleep(ctx, delay); err != nil {
		time.AfterFunc(delay-time.Since(start), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_ = f()
		})
		return opError(op, key, fmt.Errorf("%w: %w", store.ErrUnknown, err))
	}
	s.mu.Lock()
	err = f()
	lost := s.losesAnswer(key, err == nil)
	s.mu.Unlock()
	if err != nil && !lost {
		return opError(op, key, err)
	}
	if err := s.intercept(ctx, Call{Op: op, Key: key, Applied: err == nil}); err != nil {
		return opError(op, key, fmt.Errorf("%w: %w", store.ErrUnknown, err))
	}
	if lost {
		return opError(op, key, fmt.Errorf("%w: answer lost", store.ErrUnknown))
	}
	return nil
}

func opError(op, key string, err error) error {
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
