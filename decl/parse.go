package decl

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"catkinpoint/conf"
	"catkinpoint/wire"
)

// Source is a list of declared objects with the file and line of each.
type Source struct {
	Objects []*wire.Object
	origins map[Key]conf.Section
}

// Load reads declarations from the given files and, recursively, from the files
// in the given directories whose names end in .ini. If declarations have faults,
// it returns the objects that it could read together with conf.Faults. It
// returns another error if a file cannot be read.
func Load(paths ...string) (*Source, error) {
	src := &Source{origins: map[Key]conf.Section{}}
	var faults conf.Faults
	for _, path := range paths {
		files, err := listFiles(path)
		if err != nil {
			return nil, Error.Wrap(fmt.Errorf("list declarations: %w", err))
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				return nil, Error.Wrap(fmt.Errorf("read declarations: %w", err))
			}
			faults = append(faults, src.addFile(file, text)...)
		}
	}
	return src, faults.Err()
}

// Parse reads declarations from the text of one file. If they have faults, it
// returns the objects that it could read together with conf.Faults.
func Parse(file string, text []byte) (*Source, error) {
	src := &Source{origins: map[Key]conf.Section{}}
	return src, src.addFile(file, text).Err()
}

func listFiles(path string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(path, func(file string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !d.IsDir() && (file == path || strings.HasSuffix(file, ".ini")) {
			files = append(files, file)
		}
		return nil
	})
	return files, err
}

// addFile adds the objects declared in the text of a file. Sections with a
// malformed or repeated header are left out.
func (src *Source) addFile(file string, text []byte) conf.Faults {
	sections, faults := conf.Read(file, text)
	for _, s := range sections {
		key, fault := parseHeader(s.Name)
		if fault == "" {
			if first, ok := src.origins[key]; ok {
				fault = fmt.Sprintf("declared twice, first in %s:%d", first.File, first.Line)
			}
		}
		if fault != "" {
			faults = append(faults, conf.Fault{File: file, Line: s.Line, Section: s.Name, Text: fault})
			continue
		}
		o := NewObject(key)
		faults = append(faults, s.Decode(Body(o))...)
		src.Objects = append(src.Objects, o)
		src.origins[key] = s
	}
	return faults
}

// parseHeader returns the key in a section header, or the text of its fault.
func parseHeader(header string) (Key, string) {
	kind, name, _ := strings.Cut(header, " ")
	if !slices.Contains(kinds, kind) {
		return Key{}, conf.UnknownNameText("kind", kind, kinds)
	}
	if !namePattern.MatchString(name) {
		return Key{}, fmt.Sprintf("bad name %q: %s", name, nameRule)
	}
	return Key{kind, name}, ""
}

// Set returns the objects as a set of the given version.
func (src *Source) Set(version int64) *Set {
	return NewSet(version, src.Objects)
}

// Locate adds file and line to the faults that lack a file, if the source holds
// their object. It returns the faults sorted and without duplicates.
func (src *Source) Locate(faults conf.Faults) conf.Faults {
	var located conf.Faults
	for _, fault := range faults {
		if fault.File == "" {
			fault = src.locateFault(fault)
		}
		if !slices.Contains(located, fault) {
			located = append(located, fault)
		}
	}
	located.Sort()
	return located
}

func (src *Source) locateFault(fault conf.Fault) conf.Fault {
	kind, name, _ := strings.Cut(fault.Section, " ")
	s, ok := src.origins[Key{kind, name}]
	if !ok {
		return fault
	}
	fault.File, fault.Line = s.File, s.Line
	for _, key := range s.Keys {
		if key.Name == fault.Key {
			fault.Line = key.Line
			break
		}
	}
	return fault
}

// Encode writes an object as its INI section.
func Encode(o *wire.Object) ([]byte, error) {
	body := Body(o)
	if body == nil {
		return nil, Error.New("object %s has no body", KeyOf(o))
	}
	text, err := conf.Encode(KeyOf(o).String(), body)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("encode object: %w", err))
	}
	return text, nil
}
