package decl

import (
	"cmp"
	"regexp"
	"slices"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"catkinpoint/wire"
)

// Error is the class of errors of this package that are neither conf.Faults nor a
// ConflictError.
var Error = errs.Class("decl")

// Key identifies one object.
type Key struct {
	Kind string
	Name string
}

// String returns the key as the header of its INI section, without brackets.
func (k Key) String() string {
	return k.Kind + " " + k.Name
}

// Compare orders keys by kind, then by name.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// KeyOf returns the key of an object.
func KeyOf(o *wire.Object) Key {
	return Key{o.GetKind(), o.GetName()}
}

// namePattern matches the names that section headers, lists and store keys can hold.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

const nameRule = "a name has up to 64 letters, digits, hyphens, underscores and dots, and begins with a letter or a digit"

// The kinds are the fields of the oneof Object.body, so a new kind needs a change
// of the schema only.
var (
	bodyOneof = (&wire.Object{}).ProtoReflect().Descriptor().Oneofs().ByName("body")
	kinds     = listKinds()
	// kindByMessage holds the kind of each body message.
	kindByMessage = mapMessagesToKinds()
)

// Kinds returns the names of all kinds, in order.
func Kinds() []string {
	return slices.Clone(kinds)
}

func listKinds() []string {
	var names []string
	for i := range bodyOneof.Fields().Len() {
		names = append(names, string(bodyOneof.Fields().Get(i).Name()))
	}
	slices.Sort(names)
	return names
}

func mapMessagesToKinds() map[protoreflect.FullName]string {
	m := map[protoreflect.FullName]string{}
	for i := range bodyOneof.Fields().Len() {
		fd := bodyOneof.Fields().Get(i)
		m[fd.Message().FullName()] = string(fd.Name())
	}
	return m
}

// Body returns the message in an object's body, or nil if the body is not set.
func Body(o *wire.Object) proto.Message {
	msg := o.ProtoReflect()
	fd := msg.WhichOneof(bodyOneof)
	if fd == nil {
		return nil
	}
	return msg.Get(fd).Message().Interface()
}

// NewObject returns an object with an empty body of the kind, or nil for an unknown
// kind.
func NewObject(key Key) *wire.Object {
	fd := bodyOneof.Fields().ByName(protoreflect.Name(key.Kind))
	if fd == nil {
		return nil
	}
	o := &wire.Object{Kind: key.Kind, Name: key.Name}
	o.ProtoReflect().Mutable(fd)
	return o
}
