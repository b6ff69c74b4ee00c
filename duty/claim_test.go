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

// muteOnce is a store that leaves one renewal unanswered.
type muteOnce struct {
	store.TxnKV
	mute atomic.Bool
}

func (m *muteOnce) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	if m.mute.CompareAndSwap(true, false) {
		<-ctx.Done()
		return ctx.Err()
	}
	return m.TxnKV.KeepAlive(ctx, lease)
}

// A renewal whose answer does not come is repeated in time: the holder stays
// valid and does not lose the duty.
func TestClaimOutlivesOneLostRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		kv := &muteOnce{TxnKV: fakekv.New()}
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
			kv.mute.Store(true)
			for range 20 {
				time.Sleep(50 * time.Millisecond)
				if !claim.Valid() {
					t.Fatal("the claim was not valid for a while")
				}
			}
		}
		cancel()
		<-done
	})
}
