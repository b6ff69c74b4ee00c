package slope

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"catkinpoint/decl"
	"catkinpoint/head"
	"catkinpoint/store"
	"catkinpoint/wire"
)

// MeasurePublish measures one change of one configuration object against the number
// of objects: its publication, and the poll in which a follower finds it. Bytes
// are those of keys and values. newStore must return an empty store that answers
// without delay, so that times are processing times.
func MeasurePublish(newStore func() store.KV, options Options) ([]Series, error) {
	options = options.withDefaults()
	sizes, rounds := []int{10, 100, 300, 1000, 3000}, 100
	if options.Small {
		sizes, rounds = []int{10, 20}, 2
	}
	series := make([]Series, 9)
	for i, v := range []struct{ subject, output string }{
		{"publish", "us"},
		{"publish", "bytes read"},
		{"publish", "bytes written"},
		{"publish", "calls"},
		{"poll that finds a change", "us"},
		{"poll that finds a change", "bytes read"},
		{"poll without a change", "us"},
		{"first poll of a process", "bytes read"},
		{"poll without a change", "bytes read"},
	} {
		series[i] = Series{Subject: v.subject, Input: "objects", Output: v.output}
	}
	for _, size := range sizes {
		values, err := measurePublish(newStore(), size, rounds)
		if err != nil {
			return nil, Error.New("publishing with %d objects: %w", size, err)
		}
		for i, y := range values {
			series[i].Points = append(series[i].Points, Point{float64(size), y})
		}
	}
	return series, nil
}

// measurePublish publishes one change in each round and returns the medians over all
// rounds, in the order of the series of MeasurePublish.
func measurePublish(kv store.KV, size, rounds int) ([]float64, error) {
	ctx := context.Background()
	publisherStore, followerStore := &countedStore{KV: kv}, &countedStore{KV: kv}
	publisher := head.NewPublisher(head.NewFollower(publisherStore), head.Options{})
	objects := newObjectSet(size)
	firstChange := &wire.Change{Id: "first", Author: "slope", Reason: "first", Operations: decl.Diff(&decl.Set{}, objects, false)}
	if _, err := publisher.Publish(ctx, firstChange, false); err != nil {
		return nil, fmt.Errorf("first change: %w", err)
	}
	follower := head.NewFollower(followerStore)
	if err := follower.Poll(ctx); err != nil {
		return nil, fmt.Errorf("first poll: %w", err)
	}
	firstPollBytes := float64(followerStore.counts().bytesRead)
	values := make([][]float64, 9)
	addValue := func(i int, y float64) { values[i] = append(values[i], y) }
	revision := int64(1)
	for round := range rounds {
		change := newWeightChange(objects[len(objects)-1], revision, round)
		before := publisherStore.counts()
		start := time.Now()
		result, err := publisher.Publish(ctx, change, false)
		if err != nil {
			return nil, fmt.Errorf("change %d: %w", round, err)
		}
		addValue(0, microseconds(time.Since(start)))
		counts := publisherStore.counts().minus(before)
		addValue(1, float64(counts.bytesRead))
		addValue(2, float64(counts.bytesWritten))
		addValue(3, float64(counts.reads+counts.writes))
		revision = result.Version
		for _, i := range []int{4, 6} { // the first poll finds the change, the second none
			before = followerStore.counts()
			start = time.Now()
			if err := follower.Poll(ctx); err != nil {
				return nil, fmt.Errorf("poll %d: %w", round, err)
			}
			addValue(i, microseconds(time.Since(start)))
			bytesRead := float64(followerStore.counts().minus(before).bytesRead)
			if i == 4 {
				addValue(5, bytesRead)
			} else {
				addValue(8, bytesRead)
			}
		}
	}
	addValue(7, firstPollBytes)
	medians := make([]float64, len(values))
	for i, v := range values {
		medians[i] = median(v)
	}
	return medians, nil
}

// microseconds returns the duration as a number of microseconds.
func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// newObjectSet returns a valid set of the given size whose last object is a customer.
func newObjectSet(size int) []*wire.Object {
	const maxCustomers = 1000 // with three or four objects each
	var objects []*wire.Object
	for _, o := range NewObjects(maxCustomers, customerCount) {
		if len(objects) == size-1 {
			break
		}
		objects = append(objects, o)
	}
	customer := &wire.Customer{QueueLimit: 200, Weight: 1}
	return append(objects, &wire.Object{Kind: "customer", Name: "zulu", Body: &wire.Object_Customer{Customer: customer}})
}

// newWeightChange returns a change that gives a customer a weight that depends on the
// round, and that is based on the given revision of the set and of the object.
func newWeightChange(object *wire.Object, revision int64, round int) *wire.Change {
	changed := proto.CloneOf(object)
	changed.GetCustomer().Weight = float64(2 + round%7)
	return &wire.Change{
		Id: sampleUUID("change", round), Author: "operator@example", Reason: "more weight for a release", BaseVersion: revision,
		Operations: []*wire.Operation{{Object: changed, BaseRevision: revision}},
	}
}
