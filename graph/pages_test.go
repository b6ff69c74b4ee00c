package graph

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"catkinpoint/flow"
)

// pageStore holds the head and the pages of a job's progress as the store would.
type pageStore struct {
	head  []byte
	pages map[int64]*flow.Page
}

// save stores the changed pages of a job, and removes those that are done.
func (s *pageStore) save(t *rapid.T, j *Job) {
	var done []int64
	for _, page := range j.TakeChanged() {
		switch {
		case page == HeadPage:
		case j.PageDone(page):
			done = append(done, page)
		default:
			s.pages[page] = j.PageRecord(page)
		}
	}
	value, err := EncodeWork(j.HeadRecord(done))
	if err != nil {
		t.Fatal(err)
	}
	s.head = value
	for _, page := range done {
		delete(s.pages, page)
		j.ForgetPage(page)
	}
}

// load returns the job as a later holder reads it.
func (s *pageStore) load(t *rapid.T, spec *flow.Job) *Job {
	work, err := DecodeWork(s.head)
	if err != nil {
		t.Fatal(err)
	}
	var pages []*flow.Page
	for _, page := range s.pages {
		pages = append(pages, page)
	}
	j, err := Load(spec, work, pages)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// unitNames returns the first task of each unit.
func unitNames(units []Unit) []Ref {
	var refs []Ref
	for _, u := range units {
		refs = append(refs, u.Tasks[0])
	}
	return refs
}

// Guards against progress that is lost or changed by being stored in pages: a job that is
// saved and loaded at random moments has the same units ready and the same phase as one
// whose progress is one record.
func TestPagesKeepProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := &flow.Job{Id: "j", MaxAttempts: 2, Repeats: rapid.Int32Range(0, 4).Draw(t, "repeats"), PeriodMs: 10}
		for s := range rapid.IntRange(1, 3).Draw(t, "steps") {
			step := &flow.Step{Count: rapid.Int32Range(1, 5).Draw(t, "count"), Gang: rapid.Bool().Draw(t, "gang"), Checkpointing: rapid.Bool().Draw(t, "checkpointing")}
			if s > 0 && rapid.Bool().Draw(t, "after") {
				step.After = []int32{int32(s - 1)}
			}
			spec.Steps = append(spec.Steps, step)
		}
		whole, paged, kept := New(spec, nil), New(spec, nil), &pageStore{pages: map[int64]*flow.Page{}}
		paged.SplitPages(rapid.Int64Range(1, 4).Draw(t, "page tasks"))
		both := func(f func(j *Job)) {
			f(whole)
			f(paged)
		}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			switch ready, active := whole.Ready(100), whole.Active(); rapid.IntRange(0, 5).Draw(t, "change") {
			case 0, 1:
				if len(ready) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(ready)-1).Draw(t, "unit")
				both(func(j *Job) {
					unit := j.Ready(100)[i]
					places := make([]Place, len(unit.Tasks))
					for p := range places {
						places[p] = Place{Worker: "w", StartUnixMS: 1, Relay: "r"}
					}
					j.Assign(unit, places)
				})
			case 2, 3:
				if len(active) == 0 {
					continue
				}
				ref, run := active[0].Ref, active[0].Run
				how := rapid.SampledFrom([]string{EndDone, EndDone, EndDone, EndFailed, EndStopped}).Draw(t, "how")
				both(func(j *Job) { j.End(ref, run, how, "c") })
			case 4:
				kept.save(t, paged)
			case 5:
				kept.save(t, paged)
				crashes := paged.CrashRecord()
				paged = kept.load(t, spec)
				if diff := cmp.Diff(crashes, paged.CrashRecord(), protocmp.Transform()); diff != "" {
					t.Fatalf("crashes after loading: %s", diff)
				}
			}
			if active := whole.Active(); len(active) > 0 && rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
				both(func(j *Job) { j.AddCrash(active[0].Ref, Crash{Run: active[0].Run, Worker: "w", Age: 5}) })
			}
			both(func(j *Job) { j.Advance(50) })
			if diff := cmp.Diff(unitNames(whole.Ready(100)), unitNames(paged.Ready(100))); diff != "" || whole.Phase != paged.Phase || whole.EndedUnixMS != paged.EndedUnixMS {
				t.Fatalf("phase %v, in pages %v; ready units: %s", whole.Phase, paged.Phase, diff)
			}
		}
	})
}

// A set of pages has those that were added, in any order.
func TestPageSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 30
		var set pageSet
		want := map[int64]bool{}
		for _, page := range rapid.SliceOf(rapid.Int64Range(0, limit-1)).Draw(t, "pages") {
			set, want[page] = set.add(page), true
		}
		loaded, err := loadPageSet(set.record(), limit)
		if err != nil || !slices.Equal(set, loaded) {
			t.Fatalf("%v loaded as %v, %v", set, loaded, err)
		}
		for page := range int64(limit) {
			if set.contains(page) != want[page] {
				t.Fatalf("%v has page %d: %t", set, page, set.contains(page))
			}
		}
	})
}

// A record whose done pages are no ranges of the job's pages is rejected.
func TestBadDonePages(t *testing.T) {
	spec := &flow.Job{Steps: []*flow.Step{{Count: 100}}}
	tests := [][]int64{{0}, {-1, 2}, {0, 0}, {0, 11}, {9, 2}, {1 << 62, 1 << 62}, {0, 5, 6, 1}}
	for _, done := range tests {
		if _, err := Load(spec, &flow.Work{PageTasks: 10, DonePages: done}, nil); err == nil {
			t.Errorf("done pages %v are accepted", done)
		}
	}
	if j, err := Load(spec, &flow.Work{PageTasks: 10, DonePages: []int64{0, 5, 4, 1}}, nil); err != nil || len(j.Ready(0)) != 40 {
		t.Errorf("%d units are ready, %v; want 40", len(j.Ready(0)), err)
	}
}

// A build that does not know pages must not decode the head of progress in pages: it has no
// tasks, which would all be started again.
func TestHeadOfPagesIsUnreadableWithoutThem(t *testing.T) {
	value, err := EncodeWork(&flow.Work{Phase: flow.Phase_RUNNING, PageTasks: 256})
	if err != nil {
		t.Fatal(err)
	}
	if earlier := (&flow.Work{}); proto.Unmarshal(value, earlier) == nil {
		t.Errorf("decoded as %v", earlier)
	}
	if work, err := DecodeWork(value); err != nil || work.GetPageTasks() != 256 || work.GetPhase() != flow.Phase_RUNNING {
		t.Errorf("decoded as %v, %v", work, err)
	}
}
