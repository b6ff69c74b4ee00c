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

// outageRun is a steady load of short requests through a store outage.
type outageRun struct {
	policy entry.PermitPolicy
	// drain takes keila out just before the outage.
	drain bool

	down, up time.Time
	starts   []fakeep.Event // in keila
	done     int
}

const (
	outageBegin = 10 * time.Second
	outageEnd   = 40 * time.Second
	outageTotal = 60 * time.Second
	loadPeriod  = 50 * time.Millisecond
	permitAge   = 3 * time.Second
	// outageWorkers is the number of workers in each data centre; keila's are the
	// first, and entry-0, which takes the load, stands there.
	outageWorkers = 2
)

// run plays the outage on a paused clock.
func (r *outageRun) run(t *testing.T) {
	network := pipe.NewNetwork(func(string, string) time.Duration { return time.Millisecond })
	system, err := local.Start(t.Context(), local.Options{
		Entries:      3,
		Workers:      outageWorkers,
		Declarations: local.Declarations,
		PermitPolicy: r.policy,
		Net:          func(process string) local.Network { return network.Host(process) },
	})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	began := time.Now()
	time.AfterFunc(outageBegin, func() {
		if r.drain {
			drainNow(t, system)
		}
		r.down = time.Now()
		system.Store.SetFaults(fakekv.AllCallers, fakekv.Faults{Down: true})
	})
	time.AfterFunc(outageEnd, func() {
		r.up = time.Now()
		system.Store.ClearFaults()
	})
	client := &http.Client{Transport: &http.Transport{DialContext: network.Host(callers).Dial, DisableKeepAlives: true}}
	var group sync.WaitGroup
	var mu sync.Mutex
	for time.Since(began) < outageTotal {
		group.Go(func() {
			if fateOf(t.Context(), client, system) == "done" {
				mu.Lock()
				defer mu.Unlock()
				r.done++
			}
		})
		time.Sleep(loadPeriod)
	}
	group.Wait()
	for _, endpoint := range system.Endpoints[:outageWorkers] {
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
	time.Sleep(handlersEnd)
}

// fateOf sends one short idempotent request with a deadline of 2 s.
func fateOf(ctx context.Context, client *http.Client, system *local.System) string {
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

// drainNow publishes that keila is out of service.
func drainNow(t *testing.T, system *local.System) {
	kv := system.Store.WithCaller(observer)
	follower := head.NewFollower(kv)
	if err := follower.Poll(t.Context()); err != nil {
		t.Error(err)
		return
	}
	set := follower.Current().Set
	key := decl.Key{Kind: "data_centre", Name: away}
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

// startsBetween counts the starts in a span of time.
func (r *outageRun) startsBetween(from, to time.Time) int {
	n := 0
	for _, e := range r.starts {
		if e.Time.After(from) && e.Time.Before(to) {
			n++
		}
	}
	return n
}

// Guards against starts without proof during a store outage, and measures what
// the strict policy costs. The witness policy goes on, but it also starts tasks
// in a data centre that was taken out just before the outage, which is why it
// is not the default.
func TestOutagePolicies(t *testing.T) {
	tests := []struct {
		policy   entry.PermitPolicy
		drain    bool
		startsOn bool // tasks start during the outage after permits have run out
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
			late := r.startsBetween(r.down.Add(permitAge), r.up)
			t.Logf("%d of %d requests done, %d starts, %d of them more than %s into the outage of %s",
				r.done, int(outageTotal/loadPeriod), len(r.starts), late, permitAge, r.up.Sub(r.down))
			if (late > 0) != test.startsOn {
				t.Errorf("%d starts during the outage, want some: %t", late, test.startsOn)
			}
		})
	}
}
