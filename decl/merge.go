package decl

import (
	"fmt"
	"strings"

	"catkinpoint/conf"
	"catkinpoint/wire"
)

// Conflict is one object that another change has modified since its author read it.
type Conflict struct {
	Key Key
	// BaseRevision is the revision that the author read; 0 means no object.
	BaseRevision int64
	// Revision is the version of the change that won, or 0 if it deleted the
	// object and its version is not known.
	Revision int64
	// Deleted is set if the change that won deleted the object.
	Deleted bool
}

// String names the object and the version that won.
func (c Conflict) String() string {
	what := "changed"
	if c.Deleted {
		what = "deleted"
	}
	if c.Revision == 0 {
		return fmt.Sprintf("[%s] was %s after revision %d", c.Key, what, c.BaseRevision)
	}
	return fmt.Sprintf("[%s] was %s by version %d after revision %d", c.Key, what, c.Revision, c.BaseRevision)
}

// ConflictError lists every object of a change that has a conflict.
type ConflictError struct {
	Conflicts []Conflict
}

// Error returns all conflicts in one line.
func (e *ConflictError) Error() string {
	texts := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		texts[i] = c.String()
	}
	return "conflict: " + strings.Join(texts, "; ")
}

// Merge applies a change to a set and returns the set of the next version. It
// returns conf.Faults if the change is malformed and a *ConflictError if an
// object's revision differs from the one that the change was based on. Merge
// does not check the result.
func Merge(base *Set, change *wire.Change) (*Set, error) {
	if err := checkChange(change).Err(); err != nil {
		return nil, err
	}
	var conflicts []Conflict
	for _, op := range change.GetOperations() {
		key := KeyOf(op.GetObject())
		revision := base.Revision(key)
		if revision != op.GetBaseRevision() {
			conflicts = append(conflicts, Conflict{
				Key: key, BaseRevision: op.GetBaseRevision(), Revision: revision, Deleted: revision == 0,
			})
		}
	}
	if len(conflicts) > 0 {
		return nil, &ConflictError{conflicts}
	}
	return base.with(base.version+1, change.GetOperations()), nil
}

// checkChange reports what makes a change malformed whatever the set holds.
func checkChange(change *wire.Change) conf.Faults {
	var faults conf.Faults
	add := func(section, key, text string) {
		faults = append(faults, conf.Fault{Section: section, Key: key, Text: text})
	}
	if !namePattern.MatchString(change.GetId()) {
		add("", "id", "the change needs an id of up to 64 letters, digits and hyphens")
	}
	if strings.TrimSpace(change.GetAuthor()) == "" {
		add("", "author", "the change needs an author")
	}
	if len(change.GetOperations()) == 0 {
		add("", "operations", "the change has no operation")
	}
	seen := map[Key]bool{}
	for _, op := range change.GetOperations() {
		key := KeyOf(op.GetObject())
		if seen[key] {
			add(key.String(), "", "the change names the object twice")
		}
		seen[key] = true
		if op.GetDelete() {
			if op.GetBaseRevision() == 0 {
				add(key.String(), "", "cannot delete an object that did not exist")
			}
			continue
		}
		if text := checkIdentity(op.GetObject()); text != "" {
			add(key.String(), "", text)
		}
	}
	return faults
}

// checkIdentity reports an object whose kind, name and body do not agree.
func checkIdentity(o *wire.Object) string {
	body := Body(o)
	switch {
	case NewObject(KeyOf(o)) == nil:
		return conf.Unknown("kind", o.GetKind(), kinds)
	case !namePattern.MatchString(o.GetName()):
		return fmt.Sprintf("bad name %q: %s", o.GetName(), nameRule)
	case body == nil:
		return fmt.Sprintf("the object has no %s", o.GetKind())
	case kindOf[body.ProtoReflect().Descriptor().FullName()] != o.GetKind():
		return fmt.Sprintf("the object has the body of another kind, %s", kindOf[body.ProtoReflect().Descriptor().FullName()])
	}
	return ""
}
