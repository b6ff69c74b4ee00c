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

// Encode writes m as the section [name], leaving out keys that have their
// default. It returns an error if m holds a text that INI cannot carry.
func Encode(name string, m proto.Message) ([]byte, error) {
	doc := ini.Empty(lineOptions)
	section, err := doc.NewSection(name)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("section %q: %w", name, err))
	}
	plain := m.ProtoReflect().New().Interface()
	SetDefaults(plain)
	msg := m.ProtoReflect()
	fields := msg.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if msg.Get(fd).Equal(plain.ProtoReflect().Get(fd)) {
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

// checkEncoded reads the text back, because not every string survives the
// quoting of the format.
func checkEncoded(name string, text []byte, m proto.Message) error {
	back := m.ProtoReflect().New().Interface()
	sections, faults := Read("", text)
	if len(faults) == 0 && len(sections) == 1 && sections[0].Name == name {
		sections[0].Decode(back)
		if proto.Equal(back, m) {
			return nil
		}
	}
	return Error.New("section %q holds a text that INI cannot carry", name)
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
