package conf

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
	"unicode"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"catkinpoint/wire"
)

// Check returns a fault for each field of m that violates its schema options. The
// faults have a key and a text, but no file, line or section.
func Check(m proto.Message) Faults {
	var faults Faults
	msg := m.ProtoReflect()
	fields := msg.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		for _, text := range checkField(fd, msg.Get(fd)) {
			faults = append(faults, Fault{Key: string(fd.Name()), Text: text})
		}
	}
	return faults
}

// checkField returns the texts of all faults of a field.
func checkField(fd protoreflect.FieldDescriptor, v protoreflect.Value) []string {
	if !fd.IsList() {
		if text := checkValue(fd, v, option[bool](fd, wire.E_Required)); text != "" {
			return []string{text}
		}
		return nil
	}
	list := v.List()
	if list.Len() == 0 && option[bool](fd, wire.E_Required) {
		return []string{"required, but missing or empty"}
	}
	var texts []string
	seen := map[any]bool{}
	for i := range list.Len() {
		element := list.Get(i)
		if seen[element.Interface()] {
			texts = append(texts, fmt.Sprintf("%q is listed twice", element))
		}
		seen[element.Interface()] = true
		if fd.Kind() == protoreflect.StringKind && element.String() == "" {
			texts = append(texts, "the list has an empty element")
			continue
		}
		if text := checkValue(fd, element, true); text != "" {
			texts = append(texts, text)
		}
	}
	return texts
}

// checkValue returns the text of the first fault of a value, or "".
func checkValue(fd protoreflect.FieldDescriptor, v protoreflect.Value, required bool) string {
	switch fd.Kind() {
	case protoreflect.StringKind:
		return checkString(fd, v.String(), required)
	case protoreflect.Int64Kind:
		return checkRange(fd, v.Int())
	case protoreflect.DoubleKind:
		if math.IsNaN(v.Float()) || math.IsInf(v.Float(), 0) {
			return "not a finite number"
		}
	}
	return ""
}

func checkString(fd protoreflect.FieldDescriptor, s string, required bool) string {
	isDuration := option[bool](fd, wire.E_Duration)
	if s == "" {
		if required || isDuration {
			return "required, but missing or empty"
		}
		return ""
	}
	if strings.ContainsFunc(s, unicode.IsControl) {
		return fmt.Sprintf("%q has a control character", s)
	}
	if fd.IsList() && strings.Contains(s, ",") {
		return fmt.Sprintf("%q has a comma, which separates list elements", s)
	}
	if isDuration {
		return checkDuration(s)
	}
	if option[bool](fd, wire.E_Address) {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return fmt.Sprintf("expected an address ip:port, got %q", s)
		}
	}
	return ""
}

func checkDuration(s string) string {
	d, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Sprintf("expected a duration such as 500ms or 3s, got %q", s)
	}
	if d < 0 {
		return fmt.Sprintf("duration %s is negative", s)
	}
	return ""
}

func checkRange(fd protoreflect.FieldDescriptor, v int64) string {
	if proto.HasExtension(fd.Options(), wire.E_Min) {
		if minimum := option[int64](fd, wire.E_Min); v < minimum {
			return fmt.Sprintf("%d is below the minimum %d", v, minimum)
		}
	}
	if proto.HasExtension(fd.Options(), wire.E_Max) {
		if maximum := option[int64](fd, wire.E_Max); v > maximum {
			return fmt.Sprintf("%d is above the maximum %d", v, maximum)
		}
	}
	return ""
}

// Duration parses the text of a duration field that passed Check. It returns 0 if
// the text is not a duration.
func Duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

// Address parses the text of an address field that passed Check. It returns the
// zero AddrPort if the text is not an address.
func Address(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}
