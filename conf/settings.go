package conf

import (
	"fmt"
	"os"
	"slices"

	"google.golang.org/protobuf/proto"

	"catkinpoint/wire"
)

// Settings holds the settings of one process. A section that is not in the file is
// nil.
type Settings struct {
	Node  *wire.Node
	Entry *wire.Entry
	Agent *wire.Agent
	Gate  *wire.Gate
	Relay *wire.Relay
	// Platform holds settings of gates and relays, which run on the users' platform
	// (see package platform).
	Platform *wire.Platform
}

// permitPolicies are the accepted values of entry.permit_policy.
var permitPolicies = []string{"strict", "witness"}

// Load reads the settings of a process from an INI file. If the file has faults,
// or lacks one of the required sections, the error is of type Faults.
func Load(path string, required ...string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("read settings: %w", err))
	}
	settings, faults := parseSettings(path, text, required)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

func parseSettings(file string, text []byte, required []string) (*Settings, Faults) {
	sections, faults := Read(file, text)
	settings := &Settings{}
	seen := map[string]int{}
	for _, s := range sections {
		if line, ok := seen[s.Name]; ok {
			faults = append(faults, Fault{File: file, Line: s.Line, Section: s.Name, Text: fmt.Sprintf("section given twice, first on line %d", line)})
			continue
		}
		seen[s.Name] = s.Line
		m := settings.section(s.Name)
		if m == nil {
			faults = append(faults, Fault{File: file, Line: s.Line, Section: s.Name, Text: UnknownNameText("section", s.Name, sectionNames())})
			continue
		}
		faults = append(faults, s.Decode(m)...)
		faults = append(faults, checkSettings(s, m)...)
	}
	for _, name := range required {
		if _, ok := seen[name]; !ok {
			faults = append(faults, Fault{File: file, Section: name, Text: "required section is missing"})
		}
	}
	return settings, faults
}

// section creates the message of the named section, or returns nil for an unknown
// name.
func (s *Settings) section(name string) proto.Message {
	switch name {
	case "node":
		s.Node = &wire.Node{}
		return s.Node
	case "entry":
		s.Entry = &wire.Entry{}
		return s.Entry
	case "agent":
		s.Agent = &wire.Agent{}
		return s.Agent
	case "gate":
		s.Gate = &wire.Gate{}
		return s.Gate
	case "relay":
		s.Relay = &wire.Relay{}
		return s.Relay
	case "platform":
		s.Platform = &wire.Platform{}
		return s.Platform
	default:
		return nil
	}
}

func sectionNames() []string {
	return []string{"node", "entry", "agent", "gate", "relay", "platform"}
}

// checkSettings reports faults that the schema options cannot express: durations
// must be above zero, because a zero period stops a ticker or makes a loop spin,
// and the permit policy must be a known one.
func checkSettings(s Section, m proto.Message) Faults {
	var faults Faults
	msg := m.ProtoReflect()
	fields := msg.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if !option[bool](fd, wire.E_Duration) {
			continue
		}
		text := msg.Get(fd).String()
		if text != "" && checkDuration(text) == "" && Duration(text) == 0 {
			faults = append(faults, s.faultAt(string(fd.Name()), "must be longer than 0s"))
		}
	}
	if entry, ok := m.(*wire.Entry); ok && !slices.Contains(permitPolicies, entry.PermitPolicy) {
		faults = append(faults, s.faultAt("permit_policy", UnknownNameText("policy", entry.PermitPolicy, permitPolicies)))
	}
	return faults
}
