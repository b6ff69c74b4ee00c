package conf

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"catkinpoint/wire"
)

// Decode sets m to the values in the section, with defaults for absent keys, and
// returns every fault of the section.
func (s Section) Decode(m proto.Message) Faults {
	SetDefaults(m)
	faults := s.repeatedKeys()
	malformed := map[string]bool{}
	msg := m.ProtoReflect()
	fields := msg.Descriptor().Fields()
	for _, key := range s.Keys {
		fd := fields.ByName(protoreflect.Name(key.Name))
		if fd == nil {
			text := UnknownNameText("key", key.Name, fieldNames(fields))
			faults = append(faults, Fault{File: s.File, Line: key.Line, Section: s.Name, Key: key.Name, Text: text})
			continue
		}
		if err := setField(msg, fd, key.Value); err != nil {
			malformed[key.Name] = true
			faults = append(faults, Fault{File: s.File, Line: key.Line, Section: s.Name, Key: key.Name, Text: err.Error()})
		}
	}
	for _, fault := range Check(m) {
		if !malformed[fault.Key] {
			faults = append(faults, s.faultAt(fault.Key, fault.Text))
		}
	}
	return faults
}

// SetDefaults resets m and sets each field to its default in the schema. It panics
// if a default is not valid for its field.
func SetDefaults(m proto.Message) {
	proto.Reset(m)
	msg := m.ProtoReflect()
	fields := msg.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		text := option[string](fd, wire.E_Default)
		if text == "" {
			continue
		}
		if err := setField(msg, fd, text); err != nil {
			panic(fmt.Sprintf("invalid default of %s in the schema: %v", fd.FullName(), err))
		}
	}
}

func fieldNames(fields protoreflect.FieldDescriptors) []string {
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = string(fields.Get(i).Name())
	}
	return names
}

// option returns the value of an option of a field or a message in the schema.
func option[T any](d protoreflect.Descriptor, ext protoreflect.ExtensionType) T {
	return proto.GetExtension(d.Options(), ext).(T)
}

func setField(msg protoreflect.Message, fd protoreflect.FieldDescriptor, text string) error {
	if fd.IsList() {
		list := msg.NewField(fd).List()
		for _, element := range splitList(text) {
			v, err := parseValue(fd, element)
			if err != nil {
				return err
			}
			list.Append(v)
		}
		msg.Set(fd, protoreflect.ValueOfList(list))
		return nil
	}
	v, err := parseValue(fd, text)
	if err != nil {
		return err
	}
	msg.Set(fd, v)
	return nil
}

func splitList(text string) []string {
	if strings.TrimSpace(text) == "" {
		return nil
	}
	elements := strings.Split(text, ",")
	for i := range elements {
		elements[i] = strings.TrimSpace(elements[i])
	}
	return elements
}

func parseValue(fd protoreflect.FieldDescriptor, text string) (protoreflect.Value, error) {
	switch fd.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), nil
	case protoreflect.BoolKind:
		v, err := strconv.ParseBool(text)
		if err != nil {
			return protoreflect.Value{}, fmt.Errorf("expected true or false, got %q", text)
		}
		return protoreflect.ValueOfBool(v), nil
	case protoreflect.Int64Kind:
		v, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return protoreflect.Value{}, fmt.Errorf("expected a whole number, got %q", text)
		}
		return protoreflect.ValueOfInt64(v), nil
	case protoreflect.DoubleKind:
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return protoreflect.Value{}, fmt.Errorf("expected a number, got %q", text)
		}
		return protoreflect.ValueOfFloat64(v), nil
	default:
		return protoreflect.Value{}, fmt.Errorf("a field of kind %s has no INI form", fd.Kind())
	}
}
