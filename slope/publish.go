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

// MeasurePublish measures one change of one object against the size of the set:
// its publication, and the poll of a follower that finds it. Bytes are those of
// keys and values; the store answers at once, so times are processing only.
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
		values, err := publishCosts(newStore(), size, rounds)
		if err != nil {
			return nil, Error.New("publishing with %d objects: %w", size, err)
		}
		for i, y := range values {
			series[i].Points = append(series[i].Points, Point{float64(size), y})
		}
	}
	return series, nil
}

// publishCosts returns the medians in the order of the series.
func publishCosts(kv store.KV, size, rounds int) ([]float64, error) {
	ctx := context.Background()
	writing, reading := &countedStore{KV: kv}, &countedStore{KV: kv}
	publisher := head.NewPublisher(head.NewFollower(writing), head.Options{})
	objects := objectsOf(size)
	first := &wire.Change{Id: "first", Author: "slope", Reason: "first", Operations: decl.Diff(&decl.Set{}, objects, false)}
	if _, err := publisher.Publish(ctx, first, false); err != nil {
		return nil, fmt.Errorf("first change: %w", err)
	}
	follower := head.NewFollower(reading)
	if err := follower.Poll(ctx); err != nil {
		return nil, fmt.Errorf("first poll: %w", err)
	}
	cold := float64(reading.count().bytesRead)
	values := make([][]float64, 9)
	add := func(i int, y float64) { values[i] = append(values[i], y) }
	revision := int64(1)
	for round := range rounds {
		change := weightChange(objects[len(objects)-1], revision, round)
		before := writing.count()
		began := time.Now()
		result, err := publisher.Publish(ctx, change, false)
		if err != nil {
			return nil, fmt.Errorf("change %d: %w", round, err)
		}
		add(0, us(time.Since(began)))
		used := writing.count().minus(before)
		add(1, float64(used.bytesRead))
		add(2, float64(used.bytesWritten))
		add(3, float64(used.reads+used.writes))
		revision = result.Version
		for _, i := range []int{4, 6} { // the second poll finds no change
			before = reading.count()
			began = time.Now()
			if err := follower.Poll(ctx); err != nil {
				return nil, fmt.Errorf("poll %d: %w", round, err)
			}
			add(i, us(time.Since(began)))
			read := float64(reading.count().minus(before).bytesRead)
			if i == 4 {
				add(5, read)
			} else {
				add(8, read)
			}
		}
	}
	add(7, cold)
	medians := make([]float64, len(values))
	for i, v := range values {
		medians[i] = median(v)
	}
	return medians, nil
}

func us(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// objectsOf returns a valid set of the given size whose last object is a customer.
func objectsOf(size int) []*wire.Object {
	const most = 1000 // teams of three or four objects each
	var objects []*wire.Object
	for _, o := range NewObjects(most, sampleTeams) {
		if len(objects) == size-1 {
			break
		}
		objects = append(objects, o)
	}
	last := &wire.Customer{QueueLimit: 200, Weight: 1}
	return append(objects, &wire.Object{Kind: "customer", Name: "zulu", Body: &wire.Object_Customer{Customer: last}})
}

// weightChange puts a customer with another weight.
func weightChange(o *wire.Object, revision int64, round int) *wire.Change {
	next := proto.CloneOf(o)
	next.GetCustomer().Weight = float64(2 + round%7)
	return &wire.Change{
		Id: id("change", round), Author: "operator@example", Reason: "more weight for a release", BaseVersion: revision,
		Operations: []*wire.Operation{{Object: next, BaseRevision: revision}},
	}
}
