package duty

import (
	"slices"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"catkinpoint/flow"
	"catkinpoint/graph"
	"catkinpoint/store"
)

const (
	// pageTasks is the number of tasks of a page of progress. A page is far below what the
	// store takes, whatever its tasks do, and the head too, whichever pages are done.
	pageTasks = 256
	// maxUnpagedTasks is the number of tasks of a job up to which its progress is one
	// record, which earlier builds read.
	maxUnpagedTasks = 512
	// maxUnpagedBytes is the length of the progress record from which no more tasks of a job
	// are started, if its progress has to be one record although it has more tasks. What is
	// active by then may still grow by checkpoints.
	maxUnpagedBytes = store.MaxValueBytes / 2
	// startBytes is what the start of a task adds to the record at most.
	startBytes = 128
)

// choosePages has the progress of jobs with many tasks stored in pages, once all gates read
// those. What is stored as one record is first written to pages, which count from when the
// head says so.
func (st *state) choosePages() {
	for _, j := range st.openJobs() {
		if j.graph.Paged() || j.graph.TotalTasks() <= maxUnpagedTasks || !st.gatesReadPages() {
			continue
		}
		pages := j.graph.SplitPages(pageTasks)
		unstored, dirty := j.changes[graph.HeadPage]
		st.markDirty(j)
		for _, page := range pages {
			c := j.changes[page]
			if dirty {
				c.first = unstored.first
			}
			j.changes[page] = c
		}
		if j.revisions[graph.HeadPage] != 0 {
			j.unsplit = pages
		}
		klog.InfoS("duty: progress of job goes to pages", "job", j.graph.Spec.GetId(), "tasks", j.graph.TotalTasks(), "pages", len(pages), "stored", len(j.unsplit))
	}
}

// gatesReadPages reports whether every listed gate reads progress in pages: one that does
// not may be the next holder.
func (st *state) gatesReadPages() bool {
	for _, reads := range st.gates {
		if !reads {
			return false
		}
	}
	return true
}

// full reports whether no more tasks of a job may be started, as its progress must remain
// one record.
func (st *state) full(j *job) bool {
	if j.graph.Paged() {
		return false
	}
	return j.recordBytes+startBytes*(j.graph.StartedTasks()-j.recordTasks) >= st.maxUnpagedBytes
}

// noteRecord remembers the length of the record of a job's whole progress.
func (j *job) noteRecord(value []byte) {
	j.recordBytes, j.recordTasks = len(value), j.graph.StartedTasks()
}

// applyGate notes whether a listed gate reads progress in pages.
func (st *state) applyGate(name string, e store.Event) {
	if e.Deleted {
		delete(st.gates, name)
		return
	}
	gate := &flow.Claim{}
	if err := proto.Unmarshal(e.Value, gate); err != nil {
		klog.ErrorS(err, "duty: cannot decode entry of gate", "gate", name)
		return
	}
	if reads, known := st.gates[name]; !known || reads != gate.GetReadsPages() {
		klog.InfoS("duty: gate listed", "gate", name, "reads_pages", gate.GetReadsPages())
	}
	st.gates[name] = gate.GetReadsPages()
}

// loadPage keeps a page until all records are read.
func (st *state) loadPage(id string, item store.Item) {
	job, page, err := parsePage(id)
	if err != nil {
		klog.ErrorS(err, "duty: page passed over", "key", item.Key)
		return
	}
	if st.loadedPages[job] == nil {
		st.loadedPages[job] = map[int64]store.Item{}
	}
	st.loadedPages[job][page] = item
}

// loadGraph restores the progress of a job from its stored record and pages.
func (st *state) loadGraph(j *job, item store.Item) (*graph.Job, error) {
	work, err := graph.DecodeWork(item.Value)
	if err != nil {
		return nil, err
	}
	j.revisions[graph.HeadPage] = item.Revision
	var pages []*flow.Page
	for number, item := range st.loadedPages[j.graph.Spec.GetId()] {
		page := &flow.Page{}
		if err := proto.Unmarshal(item.Value, page); err != nil {
			return nil, Error.New("decoding page %d: %w", number, err)
		}
		j.revisions[number] = item.Revision
		pages = append(pages, page)
	}
	j.split = work.GetPageTasks() > 0
	return graph.Load(j.graph.Spec, work, pages)
}

// orphanPages notes the pages of removed jobs, to be removed.
func (st *state) orphanPages() {
	for id, pages := range st.loadedPages {
		if st.jobs[id] == nil && st.loadedProgress[id].Revision == 0 {
			for _, item := range pages {
				st.orphanedKeys = append(st.orphanedKeys, item.Key)
			}
		}
	}
	slices.Sort(st.orphanedKeys)
}
