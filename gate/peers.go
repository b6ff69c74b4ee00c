package gate

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"catkinpoint/clock"
	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/guard"
	"catkinpoint/store"
)

// Peers calls other gates.
type Peers interface {
	// CheckStore asks a gate whether the store answers it.
	CheckStore(ctx context.Context, gate netip.AddrPort) (bool, error)
	// Forward passes a caller's call to a gate. It returns ErrNotSent if the gate
	// certainly did not get the call.
	Forward(ctx context.Context, gate netip.AddrPort, call *flow.ForwardedCall) (*flow.ForwardedAnswer, error)
}

// ErrNotSent means that a call did not reach the other gate.
var ErrNotSent = errors.New("call not sent to the other gate")

const (
	// askedPeers is the number of other gates that are asked at once whether they reach
	// the store, as some may have lost it too.
	askedPeers = 3
	// askTimeout bounds the question, for whose outcome a caller waits, and
	// storeCheckTimeout the read of the store that answers it.
	askTimeout        = 250 * time.Millisecond
	storeCheckTimeout = 150 * time.Millisecond
	// askMemory is how long an outcome is used for further callers.
	askMemory = 300 * time.Millisecond
	// forwardShare is the fraction of a caller's budget that another gate gets to answer.
	forwardShare = 0.5
)

// peerChecks holds the last question for a gate that reaches the store.
type peerChecks struct {
	mu   sync.Mutex
	last *peerCheck
}

// peerCheck is one such question. Concurrent callers share its outcome.
type peerCheck struct {
	askedAt time.Duration
	done    chan struct{} // closed when the question is answered
	// withStore is the address of a gate that reaches the store, and zero if none is
	// known. It is valid once done is closed.
	withStore netip.AddrPort
}

// forwardCall has a gate that reaches the store answer a call which this gate has refused
// because it does not, and returns the refusal if there is no such gate.
//
// Most losses of the store hit some of the gates. A refused caller needs a new attempt,
// which may meet another of these, and has a few attempts within some seconds. Gates are
// asked before anything is sent to them: a call that is lost on the way has an unknown
// outcome, which is worse for a caller than a refusal.
func (g *Gate) forwardCall(ctx context.Context, operation flow.Operation, call Call, job *flow.Job, refusal Answer) Answer {
	peer := g.peerWithStore(ctx)
	if !peer.IsValid() {
		return refusal
	}
	budget := time.Duration(forwardShare * float64(call.Budget))
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	response, err := g.opts.Peers.Forward(ctx, peer, &flow.ForwardedCall{
		Operation: operation, Host: call.Host, Path: call.Path, Key: call.Key, BudgetMs: budget.Milliseconds(), Job: job,
	})
	if err == nil && !Verdict(response.GetVerdict()).valid() {
		err = fmt.Errorf("verdict %d is not known", response.GetVerdict())
	}
	switch {
	case err == nil:
		return Answer{
			Verdict: Verdict(response.GetVerdict()), Reason: "by another gate: " + response.GetReason(),
			RetryAfter: time.Duration(response.GetRetryAfterMs()) * time.Millisecond,
			Phase:      response.GetPhase(), ForQueue: response.GetForQueue(), Pending: int(response.GetPending()),
		}
	case errors.Is(err, ErrNotSent) || operation == flow.Operation_STATE:
		klog.InfoS("gate: call not forwarded", "gate", peer, "err", err)
		return refusal
	default:
		return Answer{Verdict: Unknown, Reason: "another gate did not answer: " + err.Error()}
	}
}

// peerWithStore returns the address of another gate that has just reached the store, or
// the zero address if none is found within askTimeout.
func (g *Gate) peerWithStore(ctx context.Context) netip.AddrPort {
	if g.opts.Peers == nil {
		return netip.AddrPort{}
	}
	addresses := g.view.otherGateAddresses(g.opts.Name, maxPeers)
	if len(addresses) == 0 {
		return netip.AddrPort{}
	}
	g.peers.mu.Lock()
	check := g.peers.last
	if check == nil || clock.Monotonic()-check.askedAt > askMemory {
		check = &peerCheck{askedAt: clock.Monotonic(), done: make(chan struct{})}
		g.peers.last = check
		go g.askPeers(context.WithoutCancel(ctx), check, addresses)
	}
	g.peers.mu.Unlock()
	select {
	case <-check.done:
		return check.withStore
	case <-ctx.Done():
		return netip.AddrPort{}
	}
}

// askPeers asks some of the gates at the given addresses and sets the outcome of check:
// the first that reaches the store, or none once all have answered.
func (g *Gate) askPeers(ctx context.Context, check *peerCheck, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	defer close(check.done)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), askedPeers)]
	answers := make(chan netip.AddrPort, len(addresses))
	for _, address := range addresses {
		go func() {
			addr, err := netip.ParseAddrPort(address)
			reached := false
			if err == nil {
				reached, err = g.opts.Peers.CheckStore(ctx, addr)
			}
			if err != nil {
				klog.InfoS("gate: other gate not asked for the store", "gate", address, "err", err)
			}
			if !reached {
				addr = netip.AddrPort{}
			}
			answers <- addr
		}()
	}
	for range addresses {
		select {
		case check.withStore = <-answers:
			if check.withStore.IsValid() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// CheckStore answers another gate that asks whether this one reaches the store. It reads
// a key, as the copies of this gate may not have noticed an outage yet.
func (c RPCHandlers) CheckStore(_ *flow.StoreCheck, answer *flow.StoreCheckAnswer) error {
	g := c.gate
	if !g.Ready() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCheckTimeout)
	defer cancel()
	_, err := g.opts.KV.Get(ctx, duty.GateKey(g.opts.Name))
	answer.Reached = err == nil || errors.Is(err, store.ErrNotFound)
	return nil
}

// Forward answers a call that another gate has passed on. It passes nothing on itself.
func (c RPCHandlers) Forward(request *flow.ForwardedCall, response *flow.ForwardedAnswer) error {
	return guard.Run("forwarded call", func() {
		call := Call{Host: request.GetHost(), Path: request.GetPath(), Key: request.GetKey(), Budget: time.Duration(request.GetBudgetMs()) * time.Millisecond}
		ctx, cancel := context.WithTimeout(context.Background(), call.Budget)
		defer cancel()
		answer := Answer{Verdict: Invalid, Reason: "unknown operation"}
		switch request.GetOperation() {
		case flow.Operation_SUBMIT:
			answer = c.gate.submit(ctx, call, func(int64) (*flow.Job, error) { return request.GetJob(), nil })
		case flow.Operation_STATE:
			answer = c.gate.state(ctx, call)
		case flow.Operation_CANCEL:
			answer = c.gate.cancel(ctx, call)
		}
		countPeerAnswer(request.GetOperation(), answer)
		response.Verdict, response.Reason, response.RetryAfterMs = int32(answer.Verdict), answer.Reason, answer.RetryAfter.Milliseconds()
		response.Phase, response.ForQueue, response.Pending = answer.Phase, answer.ForQueue, int64(answer.Pending)
	})
}
