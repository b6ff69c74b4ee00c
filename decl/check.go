package decl

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"catkinpoint/conf"
	"catkinpoint/wire"
)

// Inventory lists the announced workers of data centres by name; a data centre
// that it holds is judged by it instead of by its planned workers.
type Inventory map[string][]Worker

// Worker is one announced worker.
type Worker struct {
	Rack         string
	Accelerators int
}

// Check reports every fault of a set: of each object alone, of references, and
// of the guarantees that the workers cannot meet together. A set without
// faults may be published.
func Check(s *Set, inventory Inventory) conf.Faults {
	return check(s, inventory, false)
}

// check leaves out the guarantees if their plan is known to be sound.
func check(s *Set, inventory Inventory, planKnown bool) conf.Faults {
	c := &checker{set: s, planKnown: planKnown}
	for o := range s.Objects() {
		c.checkObject(o)
	}
	c.checkCycles()
	c.checkTogether(inventory)
	c.faults.Sort()
	return c.faults
}

// checkTogether judges the objects without faults together; the others would
// only cause faults that follow from their own. A faulty data centre leaves
// nothing to judge by.
func (c *checker) checkTogether(inventory Inventory) {
	var drop []*wire.Operation
	for o := range c.set.Objects() {
		key := KeyOf(o)
		if !slices.ContainsFunc(c.faults, func(f conf.Fault) bool { return f.Section == key.String() }) {
			continue
		}
		if key.Kind == "data_centre" {
			return
		}
		drop = append(drop, &wire.Operation{Delete: true, Object: o})
	}
	sound := &checker{set: c.set.with(c.set.version, drop)}
	sound.checkQuotas()
	sound.checkJobClasses(inventory)
	c.faults = append(c.faults, sound.faults...)
	if !c.planKnown || len(drop) > 0 {
		c.faults = append(c.faults, checkGuarantees(sound.set, inventory)...)
	}
}

type checker struct {
	set       *Set
	planKnown bool
	faults    conf.Faults
}

func (c *checker) add(key Key, field, format string, args ...any) {
	c.faults = append(c.faults, conf.Fault{Section: key.String(), Key: field, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) checkObject(o *wire.Object) {
	key := KeyOf(o)
	if text := checkIdentity(o); text != "" {
		c.add(key, "", "%s", text)
		return
	}
	body := Body(o)
	for _, fault := range conf.Check(body) {
		c.add(key, fault.Key, "%s", fault.Text)
	}
	c.checkRefs(key, body)
	c.checkFigures(key, body)
}

// refField is a field that names objects of a kind.
type refField struct {
	field protoreflect.FieldDescriptor
	kind  string
}

// refFields lists the reference fields of each kind once, because reading
// field options is slow.
var refFields = func() map[string][]refField {
	m := map[string][]refField{}
	for _, kind := range kinds {
		fields := bodyOneof.Fields().ByName(protoreflect.Name(kind)).Message().Fields()
		for i := range fields.Len() {
			fd := fields.Get(i)
			if ref := proto.GetExtension(fd.Options(), wire.E_Ref).(string); ref != "" {
				m[kind] = append(m[kind], refField{fd, ref})
			}
		}
	}
	return m
}()

// refs returns the names that a reference field holds.
func refs(body proto.Message, f refField) []string {
	v := body.ProtoReflect().Get(f.field)
	if !f.field.IsList() {
		if v.String() == "" {
			return nil
		}
		return []string{v.String()}
	}
	names := make([]string, v.List().Len())
	for i := range names {
		names[i] = v.List().Get(i).String()
	}
	return names
}

func (c *checker) checkRefs(key Key, body proto.Message) {
	for _, f := range refFields[key.Kind] {
		for _, name := range refs(body, f) {
			if name != "" && c.set.Get(Key{f.kind, name}) == nil {
				c.add(key, string(f.field.Name()), "%s", conf.Unknown(f.kind, name, c.set.Names(f.kind)))
			}
		}
	}
}

// checkCycles reports objects that refer to themselves through objects of
// their own kind, such as a service that is its own fallback.
func (c *checker) checkCycles() {
	for _, kind := range kinds {
		for _, f := range refFields[kind] {
			if f.kind == kind {
				c.checkCycle(kind, f)
			}
		}
	}
}

func (c *checker) checkCycle(kind string, f refField) {
	const (
		open = 1 + iota
		closed
	)
	state := map[string]int{}
	var path []string
	var visit func(name string)
	visit = func(name string) {
		entry := c.set.Get(Key{kind, name})
		if entry == nil || state[name] == closed {
			return
		}
		if state[name] == open {
			cycle := append(slices.Clone(path[slices.Index(path, name):]), name)
			c.add(Key{kind, name}, string(f.field.Name()), "refers to itself: %s", strings.Join(cycle, " -> "))
			return
		}
		state[name] = open
		path = append(path, name)
		if body := Body(entry); body != nil {
			for _, next := range refs(body, f) {
				visit(next)
			}
		}
		path = path[:len(path)-1]
		state[name] = closed
	}
	for _, name := range c.set.Names(kind) {
		visit(name)
	}
}
