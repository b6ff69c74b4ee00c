package conf

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"catkinpoint/wire"
)

const referenceIntro = `# Settings and declarations

This page is rendered from schema/settings.proto and schema/decl.proto by
` + "`catkinpoint settings`" + `; ` + "`make settings`" + ` writes it.

A file is INI text. A comment begins with # or ; on a line of its own, or after
a value and a space. A value ends with its line; a list is separated by commas.
A value that holds # or ; after a space, or that begins or ends with a space,
is written in quotes. Durations are written like 500ms, 3s or 1h30m.
`

const declarationsIntro = `
## Declarations

Operators declare objects in files that end in .ini, one section for each
object. The header of a section is the kind and the name, as in
` + "`[data_centre keila]`" + `. A name has up to 64 letters, digits, hyphens, underscores
and dots, and begins with a letter or a digit. An object may stand in any file,
but only once. in_service and draining_endpoints keep their published values
where a file does not write them, so that applying it does not undo a drain.
`

// Reference returns the Markdown text of the reference page, docs/settings.md.
func Reference() string {
	var b strings.Builder
	b.WriteString(referenceIntro)
	b.WriteString("\n## Settings of a process\n\nPeriods are longer than 0s.\n")
	writeMessages(&b, wire.File_settings_proto, "[%s]")
	b.WriteString(declarationsIntro)
	writeMessages(&b, wire.File_decl_proto, "[%s NAME]")
	return b.String()
}

// writeMessages writes a table of keys for each message of the file that has the
// option section. The header is a format string with one %s for the name of the
// section.
func writeMessages(b *strings.Builder, file protoreflect.FileDescriptor, header string) {
	messages := file.Messages()
	for i := range messages.Len() {
		md := messages.Get(i)
		section := option[string](md, wire.E_Section)
		if section == "" {
			continue
		}
		fmt.Fprintf(b, "\n### "+header+"\n\n%s\n\n", section, option[string](md, wire.E_About))
		b.WriteString("| key | value | default | meaning |\n|---|---|---|---|\n")
		fields := md.Fields()
		for j := range fields.Len() {
			writeField(b, fields.Get(j))
		}
	}
}

func writeField(b *strings.Builder, fd protoreflect.FieldDescriptor) {
	defaultText := option[string](fd, wire.E_Default)
	switch {
	case option[bool](fd, wire.E_Required):
		defaultText = "required"
	case defaultText == "" && fd.Kind() == protoreflect.Int64Kind:
		defaultText = "0"
	case defaultText == "":
		defaultText = "empty"
	}
	meaning := strings.ReplaceAll(option[string](fd, wire.E_Doc), "|", `\|`)
	fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", fd.Name(), describeValue(fd), defaultText, meaning)
}

// describeValue returns what the table gives as the value of a field: its type
// and its range.
func describeValue(fd protoreflect.FieldDescriptor) string {
	description := describeScalar(fd)
	if fd.IsList() {
		return "list of " + description
	}
	return description
}

func describeScalar(fd protoreflect.FieldDescriptor) string {
	ref := option[string](fd, wire.E_Ref)
	switch {
	case fd.Kind() == protoreflect.BoolKind:
		return "true or false"
	case fd.Kind() == protoreflect.DoubleKind:
		return "number"
	case fd.Kind() == protoreflect.Int64Kind:
		return "whole number" + describeRange(fd)
	case option[bool](fd, wire.E_Duration):
		return "duration"
	case option[bool](fd, wire.E_Address):
		return "ip:port"
	case ref != "":
		return ref + " name"
	default:
		return "text"
	}
}

func describeRange(fd protoreflect.FieldDescriptor) string {
	options := fd.Options()
	hasMin, hasMax := proto.HasExtension(options, wire.E_Min), proto.HasExtension(options, wire.E_Max)
	minimum, maximum := option[int64](fd, wire.E_Min), option[int64](fd, wire.E_Max)
	switch {
	case hasMin && hasMax:
		return fmt.Sprintf(", %d to %d", minimum, maximum)
	case hasMin:
		return fmt.Sprintf(", at least %d", minimum)
	case hasMax:
		return fmt.Sprintf(", at most %d", maximum)
	default:
		return ""
	}
}
