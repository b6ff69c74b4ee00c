package decl

import (
	"iter"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"catkinpoint/wire"
)

// Set is an immutable set of objects with its version; callers must not change
// the messages it returns. The zero value is the empty set of version 0.
type Set struct {
	version int64
	kinds   map[string]*kindIndex
}

// kindIndex holds the objects of one kind by name. The sets before and after a
// change share the indexes of the kinds that it does not concern.
type kindIndex struct {
	names   []string // sorted
	entries map[string]indexedObject
}

type indexedObject struct {
	object *wire.Object
	body   proto.Message
}

// NewSet returns a set of the given objects, which it does not copy. Of several
// objects with the same key it holds the last one.
func NewSet(version int64, objects []*wire.Object) *Set {
	s := &Set{version: version, kinds: map[string]*kindIndex{}}
	for _, o := range objects {
		x := s.kinds[o.GetKind()]
		if x == nil {
			x = &kindIndex{entries: map[string]indexedObject{}}
			s.kinds[o.GetKind()] = x
		}
		x.entries[o.GetName()] = indexedObject{o, Body(o)}
	}
	for _, x := range s.kinds {
		x.sort()
	}
	return s
}

func (x *kindIndex) sort() {
	x.names = slices.Sorted(maps.Keys(x.entries))
}

// Version returns the version of the set; 0 means that no set has been published.
func (s *Set) Version() int64 {
	return s.version
}

// Len returns the number of objects.
func (s *Set) Len() int {
	n := 0
	for _, x := range s.kinds {
		n += len(x.names)
	}
	return n
}

// Get returns the object with the key, or nil if there is none.
func (s *Set) Get(key Key) *wire.Object {
	x := s.kinds[key.Kind]
	if x == nil {
		return nil
	}
	return x.entries[key.Name].object
}

// Revision returns the version at which an object last changed, or 0 if there is none.
func (s *Set) Revision(key Key) int64 {
	return s.Get(key).GetRevision()
}

// Names returns the sorted names of the objects of a kind; callers must not change
// the slice.
func (s *Set) Names(kind string) []string {
	x := s.kinds[kind]
	if x == nil {
		return nil
	}
	return x.names
}

// Objects yields all objects in the order of their keys.
func (s *Set) Objects() iter.Seq[*wire.Object] {
	return func(yield func(*wire.Object) bool) {
		for _, kind := range slices.Sorted(maps.Keys(s.kinds)) {
			x := s.kinds[kind]
			for _, name := range x.names {
				if !yield(x.entries[name].object) {
					return
				}
			}
		}
	}
}

// Lookup returns the body of the object of M's kind with the given name, and
// whether there is one.
func Lookup[M proto.Message](s *Set, name string) (M, bool) {
	var zero M
	x := s.kinds[kindByMessage[zero.ProtoReflect().Descriptor().FullName()]]
	if x == nil {
		return zero, false
	}
	m, ok := x.entries[name].body.(M)
	return m, ok
}

// All yields the name and body of each object of M's kind, in the order of the names.
func All[M proto.Message](s *Set) iter.Seq2[string, M] {
	return func(yield func(string, M) bool) {
		var zero M
		x := s.kinds[kindByMessage[zero.ProtoReflect().Descriptor().FullName()]]
		if x == nil {
			return
		}
		for _, name := range x.names {
			if m, ok := x.entries[name].body.(M); ok && !yield(name, m) {
				return
			}
		}
	}
}

// applyOperations returns a set of the given version with the operations
// applied; s does not change.
func (s *Set) applyOperations(version int64, operations []*wire.Operation) *Set {
	next := &Set{version: version, kinds: maps.Clone(s.kinds)}
	if next.kinds == nil {
		next.kinds = map[string]*kindIndex{}
	}
	touched := map[string]*kindIndex{}
	for _, op := range operations {
		key := KeyOf(op.GetObject())
		x := touched[key.Kind]
		if x == nil {
			x = &kindIndex{entries: map[string]indexedObject{}}
			if old := s.kinds[key.Kind]; old != nil {
				x.entries = maps.Clone(old.entries)
			}
			touched[key.Kind] = x
			next.kinds[key.Kind] = x
		}
		if op.GetDelete() {
			delete(x.entries, key.Name)
			continue
		}
		object := proto.CloneOf(op.GetObject())
		object.Revision = version
		x.entries[key.Name] = indexedObject{object, Body(object)}
	}
	for _, x := range touched {
		x.sort()
	}
	return next
}
