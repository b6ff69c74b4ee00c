package conf

import (
	"bytes"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Key is one key of a section, with its value as text.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one section of INI text, with its keys in the order of the text.
type Section struct {
	File string
	// Line is the line of the header.
	Line int
	// Name is the text between the brackets, with single spaces.
	Name string
	Keys []Key
}

// lineOptions are the options for parsing a single line: a backslash at its end
// does not continue a value, and a comment after a value needs a space before it.
var lineOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

// Read splits INI text into sections. It returns a fault for each line that is not
// valid INI text and for each key before the first section.
func Read(file string, text []byte) ([]Section, Faults) {
	var sections []Section
	var faults Faults
	text = bytes.TrimPrefix(text, []byte("\ufeff"))
	for i, line := range bytes.Split(text, []byte("\n")) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 || line[0] == '#' || line[0] == ';' {
			continue
		}
		fault := Fault{File: file, Line: i + 1}
		doc, err := ini.LoadSources(lineOptions, line)
		if err != nil {
			fault.Text = describeSyntaxError(err)
			faults = append(faults, fault)
			continue
		}
		if line[0] == '[' {
			names := doc.SectionStrings()
			sections = append(sections, Section{File: file, Line: i + 1, Name: collapseSpaces(names[len(names)-1])})
			continue
		}
		key := doc.Section(ini.DefaultSection).Keys()[0]
		if len(sections) == 0 {
			fault.Key = key.Name()
			fault.Text = "key before the first section"
			faults = append(faults, fault)
			continue
		}
		s := &sections[len(sections)-1]
		s.Keys = append(s.Keys, Key{Name: key.Name(), Value: key.Value(), Line: i + 1})
	}
	return sections, faults
}

// describeSyntaxError returns the text of the fault for an error of the INI library.
func describeSyntaxError(err error) string {
	switch {
	case ini.IsErrDelimiterNotFound(err):
		return "expected [section] or key = value"
	case ini.IsErrEmptyKeyName(err):
		return "key name is missing"
	default:
		return strings.TrimSpace(err.Error())
	}
}

func collapseSpaces(s string) string {
	return strings.Join(strings.Fields(s), " ")
}

// faultAt returns a fault at the line of the key, or at the header if the section
// does not have the key.
func (s Section) faultAt(key, text string) Fault {
	line := s.Line
	for _, k := range s.Keys {
		if k.Name == key {
			line = k.Line
			break
		}
	}
	return Fault{File: s.File, Line: line, Section: s.Name, Key: key, Text: text}
}

// repeatedKeys reports keys that are given more than once.
func (s Section) repeatedKeys() Faults {
	var faults Faults
	first := map[string]int{}
	for _, k := range s.Keys {
		if line, ok := first[k.Name]; ok {
			faults = append(faults, Fault{
				File: s.File, Line: k.Line, Section: s.Name, Key: k.Name,
				Text: fmt.Sprintf("given twice, first on line %d", line),
			})
			continue
		}
		first[k.Name] = k.Line
	}
	return faults
}
