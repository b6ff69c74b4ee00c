package conf

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"
)

// Encode returns m as the section [name], without the keys that have their
// default. It returns an error if m holds a string that INI text cannot represent.
func Encode(name string, m proto.Message) ([]byte, error) {
	doc := ini.Empty(lineOptions)
	section, err := doc.NewSection(name)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("section %q: %w", name, err))
	}
	defaults := m.ProtoReflect().New().Interface()
	SetDefaults(defaults)
	msg := m.ProtoReflect()
	fields := msg.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if msg.Get(fd).Equal(defaults.ProtoReflect().Get(fd)) {
			continue
		}
		if _, err := section.NewKey(string(fd.Name()), formatField(fd, msg.Get(fd))); err != nil {
			return nil, Error.Wrap(fmt.Errorf("section %q, key %s: %w", name, fd.Name(), err))
		}
	}
	var out bytes.Buffer
	if _, err := doc.WriteTo(&out); err != nil {
		return nil, Error.Wrap(fmt.Errorf("section %q: %w", name, err))
	}
	text := append(bytes.TrimSpace(out.Bytes()), '\n')
	return text, checkEncoded(name, text, m)
}

// checkEncoded decodes the text and compares the result with m, because some
// strings change when they are quoted and read again.
func checkEncoded(name string, text []byte, m proto.Message) error {
	decoded := m.ProtoReflect().New().Interface()
	sections, faults := Read("", text)
	if len(faults) == 0 && len(sections) == 1 && sections[0].Name == name {
		sections[0].Decode(decoded)
		if proto.Equal(decoded, m) {
			return nil
		}
	}
	return Error.New("section %q has a value that INI text cannot represent", name)
}

func formatField(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if !fd.IsList() {
		return formatValue(fd, v)
	}
	elements := make([]string, v.List().Len())
	for i := range elements {
		elements[i] = formatValue(fd, v.List().Get(i))
	}
	return strings.Join(elements, ", ")
}

func formatValue(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if fd.Kind() == protoreflect.DoubleKind {
		return strconv.FormatFloat(v.Float(), 'g', -1, 64)
	}
	return v.String()
}
