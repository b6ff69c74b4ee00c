package graph

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"catkinpoint/flow"
)

// gangRun returns a job with a gang of the given number of members, of which run 1 is active.
func gangRun(members, maxAttempts int32) *Job {
	j := New(&flow.Job{Id: "a", MaxAttempts: maxAttempts, Steps: []*flow.Step{{Count: members, Gang: true}}}, nil)
	u := j.Ready(0)[0]
	j.Assign(u, testPlaces(u))
	return j
}

// Guards against a failed run of a gang that counts again under the next holder, which
// knows only what is stored and hears of another member.
func TestFailureOfGangRunCountsOnceAcrossHolders(t *testing.T) {
	j := gangRun(3, 4)
	for index := range int32(3) {
		j.End(Ref{Index: index}, 1, EndFailed, "")
		value, err := EncodeWork(j.Record())
		if err != nil {
			t.Fatal(err)
		}
		work, err := DecodeWork(value)
		if err != nil {
			t.Fatal(err)
		}
		j = New(j.Spec, work)
	}
	if got := j.MaxFailures(); got != 1 {
		t.Errorf("%d failures after one failed run", got)
	}
}

// Guards against a failed run of a gang that counts twice because its members are in two
// pages and only that of another member was stored: the worker lists the end again.
func TestFailureOfGangInPartlyStoredPagesCountsOnce(t *testing.T) {
	for _, stored := range []int64{0, 1} {
		t.Run(fmt.Sprint("page ", stored), func(t *testing.T) {
			j := gangRun(2, 2)
			j.SplitPages(1)
			j.MarkStarted(Ref{Index: 0}, 1)
			pages := []*flow.Page{proto.CloneOf(j.PageRecord(0)), proto.CloneOf(j.PageRecord(1))}
			head := j.HeadRecord(nil)
			j.End(Ref{Index: 0}, 1, EndFailed, "")
			pages[stored] = j.PageRecord(stored)
			next, err := Load(j.Spec, head, pages)
			if err != nil {
				t.Fatal(err)
			}
			next.End(Ref{Index: 0}, 1, EndFailed, "")
			if got := next.MaxFailures(); got != 1 {
				t.Errorf("%d failures after one failed run", got)
			}
		})
	}
}

// Guards against a gang that is given up although no more than one worker has crashed under
// any of its tasks.
func TestCrashesUnderDifferentMembersDoNotEndGang(t *testing.T) {
	j := New(&flow.Job{Id: "a", Steps: []*flow.Step{{Count: 3, Gang: true}}}, nil)
	for index := range int32(3) {
		j.AddCrash(Ref{Index: index}, Crash{Run: int64(index + 1), UnixMS: 1000 * int64(index+1), Suspicion: flow.Suspicion_PROBABLE})
		if j.Advance(9000); j.Ended() {
			t.Fatalf("phase %v after %d crashes, each under another member", j.Phase, index+1)
		}
	}
}
