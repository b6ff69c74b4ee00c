package conf

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package that are not Faults.
var Error = errs.Class("conf")

// Fault is one fault of a text or of an object. Fields that are not known are empty.
type Fault struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Section is the header of the section: for a declared object its kind and
	// name, separated by a space.
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Text says what is wrong.
	Text string `json:"text"`
}

// String returns the fault as "file:line: [section] key: text".
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Text)
	return b.String()
}

// Faults is a list of faults; as an error it has one line for each.
type Faults []Fault

// Error returns all faults, one on each line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the faults and returns them as an error, or returns nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	f.Sort()
	return f
}

// Sort sorts the faults by file, line, section, key and text.
func (f Faults) Sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Section, b.Section),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Text, b.Text),
		)
	})
}
