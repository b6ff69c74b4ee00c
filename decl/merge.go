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
	// Revision is the version of the other change, or 0 if it deleted the object
	// and its version is not known.
	Revision int64
	// Deleted is set if the other change deleted the object.
	Deleted bool
}

// String describes the conflict, with the version of the other change if it is known.
func (c Conflict) String() string {
	action := "changed"
	if c.Deleted {
		action = "deleted"
	}
	if c.Revision == 0 {
		return fmt.Sprintf("[%s] was %s after revision %d", c.Key, action, c.BaseRevision)
	}
	return fmt.Sprintf("[%s] was %s by version %d after revision %d", c.Key, action, c.Revision, c.BaseRevision)
}

// ConflictError holds every conflict of a change.
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
	return base.applyOperations(base.version+1, change.GetOperations()), nil
}

// checkChange returns the faults of a change that do not depend on the set.
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

// checkIdentity returns the text of the fault of an object whose kind or name is
// not valid or whose body is missing or of another kind, or "" if there is none.
func checkIdentity(o *wire.Object) string {
	body := Body(o)
	switch {
	case NewObject(KeyOf(o)) == nil:
		return conf.UnknownNameText("kind", o.GetKind(), kinds)
	case !namePattern.MatchString(o.GetName()):
		return fmt.Sprintf("bad name %q: %s", o.GetName(), nameRule)
	case body == nil:
		return fmt.Sprintf("the object has no %s", o.GetKind())
	case kindByMessage[body.ProtoReflect().Descriptor().FullName()] != o.GetKind():
		return fmt.Sprintf("the object has the body of another kind, %s", kindByMessage[body.ProtoReflect().Descriptor().FullName()])
	}
	return ""
}
