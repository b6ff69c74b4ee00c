package graph

import (
	"cmp"
	"iter"
	"slices"

	"google.golang.org/protobuf/proto"

	"catkinpoint/flow"
)

// HeadPage stands for the part of a job's progress that is in no page: its phase, the time
// of its end and which pages are done.
const HeadPage int64 = -1

// layout maps the tasks of a job to pages. Tasks are numbered in the order of occurrence,
// step and index.
type layout struct {
	pageTasks     int64   // 0 means that the whole progress is one record, which counts as page 0
	offsets       []int64 // number of the first task of each step in an occurrence
	perOccurrence int64
	total         int64
}

func newLayout(spec *flow.Job) layout {
	l := layout{}
	for _, step := range spec.GetSteps() {
		l.offsets = append(l.offsets, l.perOccurrence)
		l.perOccurrence += int64(step.GetCount())
	}
	l.total = l.perOccurrence * int64(max(1, spec.GetRepeats()))
	return l
}

// page returns the page of a task.
func (l *layout) page(ref Ref) int64 {
	if l.pageTasks == 0 {
		return 0
	}
	return (int64(ref.Occurrence)*l.perOccurrence + l.offsets[ref.Step] + int64(ref.Index)) / l.pageTasks
}

// refs returns the tasks of a page.
func (l *layout) refs(page int64) iter.Seq[Ref] {
	return func(yield func(Ref) bool) {
		for n := page * l.pageTasks; n < min((page+1)*l.pageTasks, l.total); n++ {
			inOccurrence := n % l.perOccurrence
			step, found := slices.BinarySearch(l.offsets, inOccurrence)
			if !found {
				step--
			}
			if !yield(Ref{int32(n / l.perOccurrence), int32(step), int32(inOccurrence - l.offsets[step])}) {
				return
			}
		}
	}
}

// forEachStep calls f for each step of an occurrence, from the occurrence firstOccurrence on,
// that has tasks in the pages from first to before end, with their number.
func (l *layout) forEachStep(first, end int64, firstOccurrence int32, f func(occurrence, step, tasks int32)) {
	from, to := max(first*l.pageTasks, int64(firstOccurrence)*l.perOccurrence), min(end*l.pageTasks, l.total)
	for occurrence := from / l.perOccurrence; occurrence*l.perOccurrence < to; occurrence++ {
		for step, offset := range l.offsets {
			begin, limit := occurrence*l.perOccurrence+offset, (occurrence+1)*l.perOccurrence
			if step+1 < len(l.offsets) {
				limit = occurrence*l.perOccurrence + l.offsets[step+1]
			}
			if tasks := min(limit, to) - max(begin, from); tasks > 0 {
				f(int32(occurrence), int32(step), int32(tasks))
			}
		}
	}
}

// pageRange has the pages from first to before end.
type pageRange struct{ first, end int64 }

// pageSet is a set of pages, as sorted ranges that do not touch.
type pageSet []pageRange

// find returns the index of the first range that ends at page or after it.
func (s pageSet) find(page int64) int {
	i, _ := slices.BinarySearchFunc(s, page, func(r pageRange, page int64) int { return cmp.Compare(r.end, page) })
	return i
}

func (s pageSet) contains(page int64) bool {
	i := s.find(page + 1)
	return i < len(s) && s[i].first <= page
}

// add returns the set with a page added. It may change s.
func (s pageSet) add(page int64) pageSet {
	if s.contains(page) {
		return s
	}
	i := s.find(page)
	after := i < len(s) && s[i].end == page
	next := i
	if after {
		next++
	}
	before := next < len(s) && s[next].first == page+1
	switch {
	case after && before:
		s[i].end = s[next].end
		return slices.Delete(s, next, next+1)
	case after:
		s[i].end++
		return s
	case before:
		s[next].first--
		return s
	}
	return slices.Insert(s, i, pageRange{page, page + 1})
}

// record returns the set as it is stored.
func (s pageSet) record() []int64 {
	var list []int64
	end := int64(0)
	for _, r := range s {
		list = append(list, r.first-end, r.end-r.first)
		end = r.end
	}
	return list
}

// loadPageSet is the inverse of pageSet.record. It fails if a range is empty, or does not
// lie between the one before and the limit.
func loadPageSet(list []int64, limit int64) (pageSet, error) {
	var s pageSet
	end := int64(0)
	for pair := range slices.Chunk(list, 2) {
		if len(pair) < 2 || pair[0] < 0 || pair[0] > limit-end || pair[1] < 1 || pair[1] > limit-end-pair[0] {
			return nil, Error.New("done pages %v are no ranges below %d", pair, limit)
		}
		s = append(s, pageRange{end + pair[0], end + pair[0] + pair[1]})
		end += pair[0] + pair[1]
	}
	return s, nil
}

// pagesMark follows a record of progress in pages. It is no valid field, so that earlier
// builds, which would take the tasks as never started, cannot decode the record.
const pagesMark = 0

// EncodeWork returns the stored form of a job's progress.
func EncodeWork(work *flow.Work) ([]byte, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(work)
	if err != nil {
		return nil, Error.New("encoding progress: %w", err)
	}
	if work.GetPageTasks() > 0 {
		value = append(value, pagesMark)
	}
	return value, nil
}

// DecodeWork is the inverse of EncodeWork. It fails if value is no record of progress, and
// then returns what could be decoded.
func DecodeWork(value []byte) (*flow.Work, error) {
	work := &flow.Work{}
	if n := len(value) - 1; n >= 0 && value[n] == pagesMark {
		if err := proto.Unmarshal(value[:n], work); err == nil && work.GetPageTasks() > 0 {
			return work, nil
		}
	}
	if err := proto.Unmarshal(value, work); err != nil {
		return work, Error.New("decoding progress: %w", err)
	}
	return work, nil
}

// TotalTasks returns the number of tasks of all occurrences.
func (j *Job) TotalTasks() int64 { return j.layout.total }

// StartedTasks returns the number of tasks that were started at least once, without those
// of done pages.
func (j *Job) StartedTasks() int { return len(j.tasks) }

// Paged reports whether the progress of the tasks is in pages.
func (j *Job) Paged() bool { return j.layout.pageTasks > 0 }

// SplitPages has the progress stored in pages of the given number of tasks. It returns the
// pages that have any progress, all of which have changed.
func (j *Job) SplitPages(pageTasks int64) []int64 {
	j.layout.pageTasks = pageTasks
	for ref := range j.tasks {
		j.pageTasks[j.layout.page(ref)]++
	}
	list := make([]int64, 0, len(j.pageTasks))
	for page := range j.pageTasks {
		list = append(list, page)
		j.changed[page] = true
	}
	j.changed[HeadPage] = true
	slices.Sort(list)
	return list
}

// TakeChanged returns the pages that have changed since the last call, with HeadPage if the
// head has. Progress that is one record counts as page 0.
func (j *Job) TakeChanged() []int64 {
	list := make([]int64, 0, len(j.changed))
	for page := range j.changed {
		list = append(list, page)
	}
	slices.Sort(list)
	clear(j.changed)
	return list
}

// PageTasks returns the tasks of a page that were started at least once.
func (j *Job) PageTasks(page int64) []*Task {
	var tasks []*Task
	for ref := range j.layout.refs(page) {
		if t := j.tasks[ref]; t != nil {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// PageDone reports whether all tasks of a page are done and no run of them is active, so
// that the page does not change any more.
func (j *Job) PageDone(page int64) bool {
	for ref := range j.layout.refs(page) {
		if t := j.Task(ref); t == nil || !t.Done || t.Active() {
			return false
		}
	}
	return true
}

// PageRecord returns the progress of a page as it is stored.
func (j *Job) PageRecord(page int64) *flow.Page {
	record := &flow.Page{}
	for ref := range j.layout.refs(page) {
		if t := j.tasks[ref]; t != nil {
			record.Tasks = append(record.Tasks, t.record())
		}
		record.Crashes = appendCrashes(record.Crashes, ref, j.crashes[ref])
	}
	return record
}

// HeadRecord returns the head of progress in pages as it is stored, with further pages
// counted as done.
func (j *Job) HeadRecord(done []int64) *flow.Work {
	set := slices.Clone(j.donePages)
	for _, page := range done {
		set = set.add(page)
	}
	return &flow.Work{Phase: j.Phase, EndedUnixMs: j.EndedUnixMS, PageTasks: int32(j.layout.pageTasks), DonePages: set.record()}
}

// ForgetPage drops the progress of a page whose tasks are done, as the head has it.
func (j *Job) ForgetPage(page int64) {
	for ref := range j.layout.refs(page) {
		delete(j.tasks, ref)
		delete(j.crashes, ref)
		delete(j.failing, ref)
	}
	j.donePages = j.donePages.add(page)
	delete(j.changed, page)
	delete(j.pageTasks, page)
}

// loadPages adds the progress in pages to a new job.
func (j *Job) loadPages(work *flow.Work, pages []*flow.Page) error {
	j.layout.pageTasks = int64(work.GetPageTasks())
	count := (j.layout.total + j.layout.pageTasks - 1) / j.layout.pageTasks
	set, err := loadPageSet(work.GetDonePages(), count)
	if err != nil {
		return err
	}
	j.donePages = set
	for _, r := range set {
		if r.first == 0 {
			// All of these occurrences are done.
			j.openFrom = int32(min(r.end*j.layout.pageTasks, j.layout.total) / j.layout.perOccurrence)
		}
		j.layout.forEachStep(r.first, r.end, j.openFrom, func(occurrence, step, tasks int32) {
			j.countStep(occurrence, step, tasks, tasks)
		})
	}
	for _, page := range pages {
		j.addTasks(page.GetTasks())
		j.LoadCrashes(&flow.JobCrashes{Crashes: page.GetCrashes()})
	}
	clear(j.changed)
	return nil
}
