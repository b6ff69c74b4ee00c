package matrix

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"catkinpoint/decl"
	"catkinpoint/entry"
	"catkinpoint/head"
	"catkinpoint/local"
	"catkinpoint/stand/fakeep"
	"catkinpoint/stand/fakekv"
	"catkinpoint/stand/pipe"
	"catkinpoint/wire"
)

// outageRun is a run with a steady load of short requests and an outage of the
// store.
type outageRun struct {
	policy entry.PermitPolicy
	// drain takes drainedDC out of service just before the outage.
	drain bool

	downAt, upAt time.Time      // start and end of the outage
	starts       []fakeep.Event // start events in keila
	done         int            // number of requests that were answered with done
}

const (
	outageBegin   = 10 * time.Second // after the load starts
	outageEnd     = 40 * time.Second // after the load starts
	loadDuration  = 60 * time.Second
	requestPeriod = 50 * time.Millisecond
	maxPermitAge  = 3 * time.Second // up to which a permit allows starts
	// outageWorkersPerDC is the number of workers in each data centre. Those of keila
	// are the first; entry-0, which gets all requests, is in keila too.
	outageWorkersPerDC = 2
)

// run starts a system, sends the load through the outage, and collects the starts
// in keila. It must run in a testing/synctest bubble.
func (r *outageRun) run(t *testing.T) {
	network := pipe.NewNetwork(func(string, string) time.Duration { return time.Millisecond })
	system, err := local.Start(t.Context(), local.Options{
		Entries:      3,
		Workers:      outageWorkersPerDC,
		Declarations: local.Declarations,
		PermitPolicy: r.policy,
		Net:          func(process string) local.Network { return network.Host(process) },
	})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	start := time.Now()
	time.AfterFunc(outageBegin, func() {
		if r.drain {
			publishDrain(t, system)
		}
		r.downAt = time.Now()
		system.Store.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
	})
	time.AfterFunc(outageEnd, func() {
		r.upAt = time.Now()
		system.Store.ClearFaults()
	})
	client := &http.Client{Transport: &http.Transport{DialContext: network.Host(callers).Dial, DisableKeepAlives: true}}
	var group sync.WaitGroup
	var mu sync.Mutex
	for time.Since(start) < loadDuration {
		group.Go(func() {
			if requestFate(t.Context(), client, system) == "done" {
				mu.Lock()
				defer mu.Unlock()
				r.done++
			}
		})
		time.Sleep(requestPeriod)
	}
	group.Wait()
	for _, endpoint := range system.Endpoints[:outageWorkersPerDC] {
		for _, e := range endpoint.Record() {
			if e.Kind == fakeep.KindStart {
				r.starts = append(r.starts, e)
			}
		}
	}
	network.Close()
	if err := system.Stop(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(handlerEndWait)
}

// requestFate submits a short idempotent job with a deadline of 2 s and returns its
// fate, or "" if there is no answer.
func requestFate(ctx context.Context, client *http.Client, system *local.System) string {
	target := fmt.Sprintf("http://%s/v1/jobs?customer=clubs&job_class=scan&timeout=2s&p.run_ms=100", system.Entries[0])
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader([]byte("x")))
	if err != nil {
		return ""
	}
	response, err := client.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the fate counts
	return response.Header.Get(entry.FateHeader)
}

// publishDrain publishes that drainedDC is out of service.
func publishDrain(t *testing.T, system *local.System) {
	kv := system.Store.WithCaller(observer)
	follower := head.NewFollower(kv)
	if err := follower.Poll(t.Context()); err != nil {
		t.Error(err)
		return
	}
	set := follower.Current().Set
	key := decl.Key{Kind: "data_centre", Name: drainedDC}
	object := cloneObject(set.Get(key))
	object.GetDataCentre().InService = false
	change := &wire.Change{
		Id: "drain", Author: "test", Reason: "test", BaseVersion: set.Version(),
		Operations: []*wire.Operation{{Object: object, BaseRevision: set.Revision(key)}},
	}
	if _, err := head.NewPublisher(follower, head.Options{}).Publish(t.Context(), change, false); err != nil {
		t.Error(err)
	}
}

// startsBetween returns the number of starts after from and before to.
func (r *outageRun) startsBetween(from, to time.Time) int {
	n := 0
	for _, e := range r.starts {
		if e.Time.After(from) && e.Time.Before(to) {
			n++
		}
	}
	return n
}

// Guards against starts on expired permits during a store outage, and measures what
// the strict policy costs. The witness policy continues to start tasks, but also in
// a data centre that was taken out of service just before the outage, which is why
// it is not the default.
func TestOutagePolicies(t *testing.T) {
	tests := []struct {
		policy         entry.PermitPolicy
		drain          bool
		startsContinue bool // tasks start in the outage after the permits from before it have expired
	}{
		{entry.Strict, false, false},
		{entry.Strict, true, false},
		{entry.Witness, false, true},
		{entry.Witness, true, true},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%s,drain=%t", test.policy, test.drain), func(t *testing.T) {
			r := &outageRun{policy: test.policy, drain: test.drain}
			synctest.Test(t, r.run)
			lateStarts := r.startsBetween(r.downAt.Add(maxPermitAge), r.upAt)
			t.Logf("%d of %d requests done, %d starts, %d of them more than %s into the outage of %s",
				r.done, int(loadDuration/requestPeriod), len(r.starts), lateStarts, maxPermitAge, r.upAt.Sub(r.downAt))
			if (lateStarts > 0) != test.startsContinue {
				t.Errorf("%d starts in the outage after the permits from before it expired, want some: %t", lateStarts, test.startsContinue)
			}
		})
	}
}
