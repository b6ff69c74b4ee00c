package duty

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/flow"
	"catkinpoint/store"
)

// learnedKey holds the record of what the holder of the duty has learned. No gate follows it.
const learnedKey = "catkinpoint-learned"

// readLearned adds the record of what earlier holders have learned to the records of jobs, if
// the settings use it.
func (s *Scheduler) readLearned(ctx context.Context, items []store.Item) ([]store.Item, error) {
	if !s.settings.RefuseLate {
		return items, nil
	}
	item, err := s.kv.Get(ctx, learnedKey)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return items, nil
	case err != nil:
		return nil, fmt.Errorf("reading promises: %w", err)
	}
	return append(items, item), nil
}

// loadLearned restores the promises to refused callers. A record that cannot be decoded counts
// as empty.
func (st *state) loadLearned(item store.Item) {
	learned := &flow.Learned{}
	if err := proto.Unmarshal(item.Value, learned); err != nil {
		klog.ErrorS(err, "duty: learned record not decoded, counts as empty", "revision", item.Revision)
		return
	}
	st.admission.promises.Restore(learned.GetPromises())
	observePromises(st.admission.promises.Open())
	klog.InfoS("duty: promises loaded", "promises", st.admission.promises.Open())
}

// addLearned adds the promises to a transaction if they have changed. A job that is written by
// itself stays alone.
func (b *batch) addLearned(st *state) {
	a := &st.admission
	a.promisesDirty = a.promises.TakeChanged() || a.promisesDirty
	if !a.promisesDirty || len(b.writes) == 1 && b.writes[0].job.writeAlone || b.txn.Rows() >= store.MaxTxnRows {
		return
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&flow.Learned{Promises: a.promises.List()})
	if err != nil {
		klog.ErrorS(err, "duty: cannot encode learned record")
		return
	}
	b.write(learnedKey, value)
	b.learned, a.promisesDirty = true, false
}
