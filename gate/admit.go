package gate

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/guard"
	"catkinpoint/link"
	"catkinpoint/store"
)

const (
	// admissionTimeout bounds the question whether a job is admitted. A refusal is to reach
	// its caller within 0.2 s.
	admissionTimeout = 150 * time.Millisecond
	// maxShortageAge is how long a shortage that the scheduler has told of makes this gate ask.
	// Refusals rest on the answers alone. With a job every few seconds at each gate, the gates
	// hear of a shortage that seldom.
	maxShortageAge = 10 * time.Second
)

// knownShortage is what the scheduler has last said about a shortage.
type knownShortage struct {
	mu         sync.Mutex
	last       *flow.Shortage
	receivedAt time.Duration
}

// set records what the scheduler has said; nil is ignored.
func (k *knownShortage) set(s *flow.Shortage) {
	if s == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.last, k.receivedAt = s, clock.Monotonic()
}

// refusing reports whether the scheduler of an epoch has said lately that it may refuse jobs.
func (k *knownShortage) refusing(epoch int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.last.GetRefusing() && k.last.GetEpoch() == epoch && clock.Monotonic()-k.receivedAt <= maxShortageAge
}

// refusal returns the answer to a submission that the scheduler does not admit, or to the
// repetition of an accepted one, and nil if the job is to be stored. Nothing of the job may
// have been stored by this call. If the scheduler or the store does not answer in time, or the
// claim has changed, the job is to be stored.
func (g *Gate) refusal(ctx context.Context, job *flow.Job) *Answer {
	if !g.opts.Settings.RefuseLate {
		return nil
	}
	claim := g.view.currentClaim()
	scheduler := g.scheduler.Load()
	switch {
	case claim == nil:
		return nil
	case scheduler != nil && !scheduler.Shortage().GetRefusing():
		return nil
	case scheduler == nil && !g.shortage.refusing(claim.GetEpoch()):
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, admissionTimeout)
	defer cancel()
	stored := make(chan storedJob, 1)
	go func() { stored <- g.readStored(ctx, job.GetId()) }()
	answer, err := g.askAdmission(ctx, scheduler, claim, job)
	if err == nil && !answer.GetAdmitted() && answer.GetShortage().GetEpoch() != claim.GetEpoch() {
		err = fmt.Errorf("answer under epoch %d, known is %d", answer.GetShortage().GetEpoch(), claim.GetEpoch())
	}
	if err != nil {
		klog.InfoS("gate: admission not known, job is stored", "job", job.GetId(), "holder", claim.GetHolder(), "err", err)
		return nil
	}
	g.shortage.set(answer.GetShortage())
	if answer.GetAdmitted() {
		return nil
	}
	// The scheduler may not know yet of a job that an earlier call has stored.
	select {
	case found := <-stored:
		switch {
		case found.err != nil:
			klog.InfoS("gate: id of refused job not checked, job is stored", "job", job.GetId(), "err", found.err)
			return nil
		case found.job != nil:
			repeat := answerRepeat(found.job, job)
			return &repeat
		}
	case <-ctx.Done():
		klog.InfoS("gate: id of refused job not checked, job is stored", "job", job.GetId(), "err", ctx.Err())
		return nil
	}
	return &Answer{Verdict: Busy, Reason: answer.GetReason(), RetryAfter: time.Duration(answer.GetRetryAfterMs()) * time.Millisecond}
}

// storedJob is the record of a job, nil if there is none, or the error of reading it.
type storedJob struct {
	job *flow.Job
	err error
}

func (g *Gate) readStored(ctx context.Context, id string) storedJob {
	item, err := g.opts.KV.Get(ctx, duty.JobKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return storedJob{}
	}
	if err != nil {
		return storedJob{err: fmt.Errorf("reading job: %w", err)}
	}
	job := &flow.Job{}
	if err := proto.Unmarshal(item.Value, job); err != nil {
		return storedJob{err: fmt.Errorf("decoding job: %w", err)}
	}
	return storedJob{job: job}
}

// askAdmission asks the scheduler, in this process or at the holder of the claim, until ctx
// ends.
func (g *Gate) askAdmission(ctx context.Context, scheduler *duty.Scheduler, claim *flow.Claim, job *flow.Job) (*flow.AdmissionAnswer, error) {
	type result struct {
		answer *flow.AdmissionAnswer
		err    error
	}
	results := make(chan result, 1)
	go func() {
		var r result
		if scheduler != nil {
			r.answer, r.err = scheduler.Admit(ctx, job)
		} else {
			r.answer, r.err = g.askHolder(ctx, claim, job)
		}
		results <- r
	}()
	select {
	case r := <-results:
		return r.answer, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("asking for admission: %w", ctx.Err())
	}
}

func (g *Gate) askHolder(ctx context.Context, claim *flow.Claim, job *flow.Job) (*flow.AdmissionAnswer, error) {
	if g.opts.AskAdmission == nil {
		return nil, errors.New("no way to ask the holder")
	}
	addr, err := netip.ParseAddrPort(claim.GetAddress())
	if err != nil {
		return nil, fmt.Errorf("address of the holder: %w", err)
	}
	return g.opts.AskAdmission(ctx, addr, &flow.AdmissionRequest{Job: job})
}

// Admit answers another gate that asks whether a job is admitted. It fails with
// duty.ErrNotHolder if this gate does not hold the claim.
func (c RPCHandlers) Admit(request *flow.AdmissionRequest, answer *flow.AdmissionAnswer) error {
	return guard.Call("question for admission", func() error {
		s := c.gate.scheduler.Load()
		if s == nil {
			return duty.ErrNotHolder
		}
		ctx, cancel := context.WithTimeout(context.Background(), admissionTimeout)
		defer cancel()
		decision, err := s.Admit(ctx, request.GetJob())
		if err != nil {
			return fmt.Errorf("admission of %s: %w", request.GetJob().GetId(), err)
		}
		proto.Merge(answer, decision)
		return nil
	})
}

// HolderLink asks the holder of the claim over one link that stays open, as a question has
// less time than it takes to open one to a distant gate.
type HolderLink struct {
	mu   sync.Mutex
	addr netip.AddrPort
	conn *link.Conn
	// dials is the number of links that were dialed, and connNumber which of them conn is.
	dials, connNumber int64
}

// AskAdmission asks the holder at an address whether a job is admitted.
func (h *HolderLink) AskAdmission(ctx context.Context, addr netip.AddrPort, request *flow.AdmissionRequest) (*flow.AdmissionAnswer, error) {
	conn, err := h.connTo(ctx, addr)
	if err != nil {
		return nil, err
	}
	answer := &flow.AdmissionAnswer{}
	if err := conn.Call(ctx, RPCName+".Admit", request, answer); err != nil {
		return nil, fmt.Errorf("asking for admission: %w", err)
	}
	return answer, nil
}

// connTo returns the link to an address. It opens one unless the last is to that address and
// has not ended. A link that is opened too late for this question serves the next.
func (h *HolderLink) connTo(ctx context.Context, addr netip.AddrPort) (*link.Conn, error) {
	if conn := h.openConn(addr); conn != nil {
		return conn, nil
	}
	h.mu.Lock()
	h.dials++
	n := h.dials
	h.mu.Unlock()
	opened := make(chan error, 1)
	go func() {
		dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), forwardTimeout)
		defer cancel()
		conn, err := link.Dial(dialCtx, nil, addr)
		if err == nil {
			h.replace(n, addr, conn)
		}
		opened <- err
	}()
	select {
	case err := <-opened:
		if err != nil {
			return nil, fmt.Errorf("dialing the holder: %w", err)
		}
	case <-ctx.Done():
		return nil, fmt.Errorf("dialing the holder: %w", ctx.Err())
	}
	if conn := h.openConn(addr); conn != nil {
		return conn, nil
	}
	return nil, errors.New("the link to the holder has ended")
}

// openConn returns the open link to an address, or nil.
func (h *HolderLink) openConn(addr netip.AddrPort) *link.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.openConnLocked(addr)
}

// openConnLocked is openConn for a caller that holds the lock.
func (h *HolderLink) openConnLocked(addr netip.AddrPort) *link.Conn {
	if h.conn == nil || h.addr != addr {
		return nil
	}
	select {
	case <-h.conn.Done():
		return nil
	default:
		return h.conn
	}
}

// replace makes conn, which was dialed as the nth link, the link to an address and closes the
// one before. It closes conn instead if another question has opened a link to the address
// meanwhile, or one that was dialed later: the holder has changed.
func (h *HolderLink) replace(n int64, addr netip.AddrPort, conn *link.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n < h.connNumber || h.openConnLocked(addr) != nil {
		conn.Close()
		return
	}
	if h.conn != nil {
		h.conn.Close()
	}
	h.addr, h.conn, h.connNumber = addr, conn, n
}
