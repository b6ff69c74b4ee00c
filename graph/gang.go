package graph

// gangCount counts the members of a gang by what has become of their last run.
type gangCount struct {
	run int64 // the last run of any member
	// begun is the number of members that have started this run or are done, and over that of
	// those that have ended it without being done.
	begun, over int32
}

// add adds n for a member with the given progress.
func (c *gangCount) add(t Task, n int32) {
	switch {
	case t.Run != c.run:
	case t.Started || t.Done:
		c.begun += n
	case !t.Active():
		c.over += n
	}
}

// countGang follows a change of a task that is a member of a gang.
func (j *Job) countGang(before, after Task) {
	if !j.Step(after.Ref).GetGang() || after.Ref.Occurrence < j.openFrom {
		return
	}
	o := j.openOccurrence(after.Ref.Occurrence)
	c := o.gangs[after.Ref.Step]
	if c == nil {
		c = &gangCount{}
		if o.gangs == nil {
			o.gangs = map[int32]*gangCount{}
		}
		o.gangs[after.Ref.Step] = c
	}
	if before.Run > 0 {
		c.add(before, -1)
	}
	if after.Run > c.run {
		*c = gangCount{run: after.Run}
	}
	if after.Run > 0 {
		c.add(after, 1)
	}
}

// gang returns the counts of the gang of a task, for the given run.
func (j *Job) gang(ref Ref, run int64) gangCount {
	if o := j.open[ref.Occurrence]; o != nil && o.gangs[ref.Step] != nil && o.gangs[ref.Step].run == run {
		return *o.gangs[ref.Step]
	}
	return gangCount{}
}

// MembersStarted reports whether all members of the task's gang, or the task itself,
// have started the given run or are done with it.
func (j *Job) MembersStarted(ref Ref, run int64) bool {
	step := j.Step(ref)
	if !step.GetGang() {
		t := j.tasks[ref]
		return t != nil && t.Run == run && (t.Started || t.Done)
	}
	return j.gang(ref, run).begun == step.GetCount()
}

// GangBroken reports whether a member of the task's gang has ended the given run without
// being done, after which the other members cannot complete it.
func (j *Job) GangBroken(ref Ref, run int64) bool {
	if !j.Step(ref).GetGang() {
		t := j.tasks[ref]
		return t != nil && t.Run == run && !t.Active() && !t.Done
	}
	return j.gang(ref, run).over > 0
}

// FirstMember returns the first member of the task's gang, or the task itself.
func (j *Job) FirstMember(ref Ref) Ref {
	if j.Step(ref).GetGang() {
		ref.Index = 0
	}
	return ref
}
