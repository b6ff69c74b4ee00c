package gate

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/duty"
	"catkinpoint/flow"
	"catkinpoint/link"
	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// testHolder answers the questions of gates as a scheduler of an epoch would.
type testHolder struct {
	asked  atomic.Int32
	answer *flow.AdmissionAnswer
	err    error
	takes  time.Duration
	// before is called before the answer.
	before func()
}

func (h *testHolder) ask(ctx context.Context, _ netip.AddrPort, _ *flow.AdmissionRequest) (*flow.AdmissionAnswer, error) {
	h.asked.Add(1)
	if h.before != nil {
		h.before()
	}
	select {
	case <-time.After(h.takes):
		return h.answer, h.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// withAskingGates runs a test with gates that do not hold the claim and have heard that the
// scheduler of epoch 7 refuses jobs.
func withAskingGates(t *testing.T, count int, test func(t *testing.T, kv *fakekv.Server, gates []*Gate, holder *testHolder)) {
	withGates(t, count, func(t *testing.T, kv *fakekv.Server, gates []*Gate, _ *testPeers) {
		refusing := &flow.Shortage{Epoch: 7, Refusing: true}
		holder := &testHolder{answer: &flow.AdmissionAnswer{RetryAfterMs: 4000, Reason: "full", Shortage: refusing}}
		for _, g := range gates {
			g.Leave() // it does not take the claim
		}
		time.Sleep(2 * time.Second)
		claim, err := proto.Marshal(&flow.Claim{Epoch: 7, Holder: "other", Address: "127.0.0.1:99"})
		if err != nil {
			t.Fatal(err)
		}
		putKey(t, kv, "catkinpoint/duty", string(claim))
		for _, g := range gates {
			g.opts.Settings.RefuseLate = true
			g.opts.AskAdmission = holder.ask
			g.scheduler.Store(nil)
		}
		time.Sleep(time.Second)
		for _, g := range gates {
			g.shortage.set(refusing)
			g.leaving.Store(false) // the claim is taken
		}
		test(t, kv, gates, holder)
	})
}

// Guards against callers that are refused on old or doubtful grounds, that wait for a holder
// which does not answer, or that are told that a job was not accepted which is stored.
func TestRefusalOnArrival(t *testing.T) {
	otherEpoch := &flow.AdmissionAnswer{RetryAfterMs: 4000, Shortage: &flow.Shortage{Epoch: 6, Refusing: true}}
	storeJob := func(t *testing.T, kv *fakekv.Server, spec string) func() {
		return func() {
			job, _ := jobDecoder(spec)(0)
			sum, err := digest(job)
			if err != nil {
				t.Fatal(err)
			}
			job.Id, job.Queue, job.Customer, job.Digest = testID, "q", "c", sum
			value, err := proto.Marshal(job)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := kv.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: duty.JobKey(testID), Value: value}}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	tests := []struct {
		name   string
		change func(t *testing.T, kv *fakekv.Server, g *Gate, holder *testHolder)
		want   Verdict
		asked  bool
	}{
		{"refused", func(*testing.T, *fakekv.Server, *Gate, *testHolder) {}, Busy, true},
		{"admitted", func(_ *testing.T, _ *fakekv.Server, _ *Gate, h *testHolder) { h.answer.Admitted = true }, Done, true},
		{"off", func(_ *testing.T, _ *fakekv.Server, g *Gate, _ *testHolder) { g.opts.Settings.RefuseLate = false }, Done, false},
		{"the holder is lost before it answers", func(_ *testing.T, _ *fakekv.Server, _ *Gate, h *testHolder) { h.takes = time.Hour }, Done, true},
		{"the holder fails", func(_ *testing.T, _ *fakekv.Server, _ *Gate, h *testHolder) { h.err = errors.New("not the holder") }, Done, true},
		{"a former holder answers", func(_ *testing.T, _ *fakekv.Server, _ *Gate, h *testHolder) { h.answer = otherEpoch }, Done, true},
		{"the shortage is old", func(*testing.T, *fakekv.Server, *Gate, *testHolder) { time.Sleep(maxShortageAge + time.Millisecond) }, Done, false},
		{"the shortage is of a former holder", func(_ *testing.T, _ *fakekv.Server, g *Gate, _ *testHolder) {
			g.shortage.set(&flow.Shortage{Epoch: 6, Refusing: true})
		}, Done, false},
		{"no shortage was heard of", func(_ *testing.T, _ *fakekv.Server, g *Gate, _ *testHolder) { g.shortage.last = nil }, Done, false},
		{"an earlier call has stored the job", func(t *testing.T, kv *fakekv.Server, _ *Gate, _ *testHolder) {
			storeJob(t, kv, "a")()
			time.Sleep(100 * time.Millisecond)
		}, Done, false},
		{"an earlier call stores the job meanwhile", func(t *testing.T, kv *fakekv.Server, _ *Gate, h *testHolder) {
			h.before = storeJob(t, kv, "a")
			kv.SetFaults("g1", fakekv.Faults{Delay: 10 * time.Millisecond})
		}, Done, true},
		{"another job has the id", func(t *testing.T, kv *fakekv.Server, _ *Gate, h *testHolder) {
			h.before = storeJob(t, kv, "b")
			kv.SetFaults("g1", fakekv.Faults{Delay: 10 * time.Millisecond})
		}, Invalid, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withAskingGates(t, 1, func(t *testing.T, kv *fakekv.Server, gates []*Gate, holder *testHolder) {
				test.change(t, kv, gates[0], holder)
				start := time.Now()
				got := gates[0].Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a"))
				if got.Verdict != test.want || (holder.asked.Load() > 0) != test.asked {
					t.Errorf("verdict %v (%s), asked %d times; want %v, asked %v", got.Verdict, got.Reason, holder.asked.Load(), test.want, test.asked)
				}
				if took := time.Since(start); took > 200*time.Millisecond {
					t.Errorf("the answer took %v", took)
				}
				_, err := kv.Get(t.Context(), duty.JobKey(testID))
				if got.Verdict == Busy && (got.RetryAfter != 4*time.Second || !errors.Is(err, store.ErrNotFound)) {
					t.Errorf("refused with %v, record of the job: %v; want 4 s and none", got.RetryAfter, err)
				}
				if got.Verdict == Done && err != nil {
					t.Errorf("record of the accepted job: %v", err)
				}
			})
		})
	}
}

// Guards against promises that hold at one gate only: a caller that returns at another gate,
// or at one without the store that forwards its call, gets the holder's answer too.
func TestReturnAtAnotherGate(t *testing.T) {
	withAskingGates(t, 3, func(t *testing.T, kv *fakekv.Server, gates []*Gate, holder *testHolder) {
		kv.SetFaults("g1", fakekv.Faults{Down: true})
		kv.SetFaults("g3", fakekv.Faults{Down: true})
		if got := gates[0].Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a")); got.Verdict != Busy || got.RetryAfter != 4*time.Second {
			t.Errorf("forwarded call: %v (%s), return in %v; want it refused", got.Verdict, got.Reason, got.RetryAfter)
		}
		holder.answer.Admitted = true
		if got := gates[2].Submit(t.Context(), testCall("/q/"+testID), jobDecoder("a")); got.Verdict != Done {
			t.Errorf("return at another gate: %v (%s)", got.Verdict, got.Reason)
		}
	})
}

// Guards against questions that are never answered again once the link to the holder was lost.
func TestHolderLinkIsOpenedAgain(t *testing.T) {
	g := New(Options{Name: "g1", KV: fakekv.New(), OperatorKeys: testOperatorKeys})
	asker := &HolderLink{}
	serve := func(address string) (*link.Server, netip.AddrPort) {
		server, err := link.NewServer()
		if err == nil {
			err = server.Register(RPCName, g.RPCHandlers())
		}
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		go func() { _ = server.Serve(listener) }()
		return server, listener.Addr().(*net.TCPAddr).AddrPort()
	}
	ask := func(addr netip.AddrPort) error {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := asker.AskAdmission(ctx, addr, &flow.AdmissionRequest{Job: &flow.Job{Id: testID}})
		return err
	}
	var remote *link.RemoteError
	server, first := serve("127.0.0.1:0")
	if err := ask(first); !errors.As(err, &remote) {
		t.Errorf("question to a gate that is not the holder: %v; want its error", err)
	}
	server.Close()
	_, second := serve("127.0.0.1:0")
	if err := ask(second); !errors.As(err, &remote) {
		t.Errorf("question to another holder: %v; want its error", err)
	}
	if err := ask(first); err == nil || errors.As(err, &remote) {
		t.Errorf("question to the lost holder: %v; want an error of the link", err)
	}
}

// Guards against a link to the lost holder that is opened late and ends the link to the present
// holder, over which other questions are asked.
func TestHolderLinkIsKept(t *testing.T) {
	asker := &HolderLink{}
	dial := func() (netip.AddrPort, *link.Conn) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		addr := listener.Addr().(*net.TCPAddr).AddrPort()
		conn, err := link.Dial(t.Context(), nil, addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return addr, conn
	}
	lostAddr, lost := dial()
	addr, present := dial()
	asker.replace(2, addr, present)
	asker.replace(1, lostAddr, lost)
	if asker.openConn(addr) != present {
		t.Error("the link to the present holder was replaced by one that was dialed before it")
	}
}
