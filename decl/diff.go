package decl

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"catkinpoint/conf"
	"catkinpoint/wire"
)

// operationalFields holds, by kind, the fields that the verbs drain and return change.
var operationalFields = map[string][]protoreflect.Name{
	"data_centre": {"in_service", "draining_endpoints"},
}

// Diff returns the operations that turn the objects of base into those of the
// source. An operational field, such as in_service, keeps its published value
// unless the source sets its key; otherwise applying the same declarations
// again would return a drained data centre to service.
func (src *Source) Diff(base *Set, prune bool) []*wire.Operation {
	want := make([]*wire.Object, len(src.Objects))
	for i, o := range src.Objects {
		want[i] = o
		key := KeyOf(o)
		have := base.Get(key)
		if have == nil || len(operationalFields[key.Kind]) == 0 {
			continue
		}
		want[i] = proto.CloneOf(o)
		to, from := Body(want[i]).ProtoReflect(), Body(proto.CloneOf(have)).ProtoReflect()
		for _, name := range operationalFields[key.Kind] {
			fd := to.Descriptor().Fields().ByName(name)
			switch {
			case src.setsField(key, string(name)):
			case from.Has(fd):
				to.Set(fd, from.Get(fd))
			default:
				to.Clear(fd)
			}
		}
	}
	return Diff(base, want, prune)
}

// setsField reports whether the object's section in the source has a key of that name.
func (src *Source) setsField(key Key, field string) bool {
	return slices.ContainsFunc(src.origins[key].Keys, func(k conf.Key) bool { return k.Name == field })
}

// Diff returns the operations that turn the objects of base into the wanted
// ones, each based on the revision in base. Objects that are not wanted are
// deleted only if prune is set.
func Diff(base *Set, want []*wire.Object, prune bool) []*wire.Operation {
	var operations []*wire.Operation
	wanted := map[Key]bool{}
	for _, o := range want {
		key := KeyOf(o)
		wanted[key] = true
		have := base.Get(key)
		if have != nil && proto.Equal(Body(have), Body(o)) {
			continue
		}
		object := proto.CloneOf(o)
		object.Revision = 0
		operations = append(operations, &wire.Operation{Object: object, BaseRevision: have.GetRevision()})
	}
	if prune {
		for have := range base.Objects() {
			if !wanted[KeyOf(have)] {
				operations = append(operations, &wire.Operation{
					Delete:       true,
					Object:       &wire.Object{Kind: have.GetKind(), Name: have.GetName()},
					BaseRevision: have.GetRevision(),
				})
			}
		}
	}
	slices.SortFunc(operations, func(a, b *wire.Operation) int {
		return KeyOf(a.GetObject()).Compare(KeyOf(b.GetObject()))
	})
	return operations
}

// Render writes operations as text: + for a new object, - for a deleted one,
// ~ for a changed one, with each key that changes.
func Render(base *Set, operations []*wire.Operation) string {
	var b strings.Builder
	for _, op := range operations {
		key := KeyOf(op.GetObject())
		have := base.Get(key)
		switch {
		case op.GetDelete():
			fmt.Fprintf(&b, "- [%s]\n", key)
		case have == nil:
			fmt.Fprintf(&b, "+ [%s]\n", key)
			renderFields(&b, nil, op.GetObject())
		default:
			fmt.Fprintf(&b, "~ [%s]\n", key)
			renderFields(&b, have, op.GetObject())
		}
	}
	return b.String()
}

// renderFields writes the keys whose values differ; from is nil for a new object.
func renderFields(b *strings.Builder, from, to *wire.Object) {
	newBody := Body(to)
	if newBody == nil {
		return
	}
	oldBody := newBody.ProtoReflect().Type().Zero()
	if body := Body(from); body != nil && body.ProtoReflect().Descriptor() == oldBody.Descriptor() {
		oldBody = body.ProtoReflect()
	}
	fields := oldBody.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		oldValue, newValue := oldBody.Get(fd), newBody.ProtoReflect().Get(fd)
		switch {
		case oldValue.Equal(newValue):
		case from == nil:
			fmt.Fprintf(b, "    %s: %s\n", fd.Name(), renderValue(fd, newValue))
		default:
			fmt.Fprintf(b, "    %s: %s -> %s\n", fd.Name(), renderValue(fd, oldValue), renderValue(fd, newValue))
		}
	}
}

func renderValue(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if fd.IsList() {
		elements := make([]string, v.List().Len())
		for i := range elements {
			elements[i] = v.List().Get(i).String()
		}
		return "[" + strings.Join(elements, ", ") + "]"
	}
	if fd.Kind() == protoreflect.StringKind {
		return fmt.Sprintf("%q", v.String())
	}
	return v.String()
}
