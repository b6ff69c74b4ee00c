package duty

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/stand/fakekv"
	"catkinpoint/store"
)

// renewalDropper is a store that leaves the next renewal of a lease unanswered once
// dropNext is set.
type renewalDropper struct {
	store.TxnKV
	dropNext atomic.Bool
}

func (m *renewalDropper) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	if m.dropNext.CompareAndSwap(true, false) {
		<-ctx.Done()
		return ctx.Err()
	}
	return m.TxnKV.KeepAlive(ctx, lease)
}

// Guards against losing the duty to a single lost renewal: a renewal that gets no
// answer must time out and be retried while the claim is still valid.
func TestClaimSurvivesLostRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		kv := &renewalDropper{TxnKV: fakekv.New()}
		vacant := make(chan struct{}, 1)
		vacant <- struct{}{}
		held := make(chan *Claim, 1)
		c := &Candidate{KV: kv, Name: "g", TTL: time.Second, Vacant: vacant, Serve: func(ctx context.Context, claim *Claim) {
			held <- claim
			<-ctx.Done()
		}}
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.Run(ctx)
		}()
		claim := <-held
		for range 5 {
			time.Sleep(time.Second)
			kv.dropNext.Store(true)
			for range 20 {
				time.Sleep(50 * time.Millisecond)
				if !claim.Valid() {
					t.Fatal("the claim became invalid after one lost renewal")
				}
			}
		}
		cancel()
		<-done
	})
}
