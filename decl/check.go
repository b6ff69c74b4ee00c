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

// Inventory holds the announced workers of data centres by name. For a data centre
// in it these workers are used instead of the planned ones, which are those that
// its declaration states, even if there are none.
type Inventory map[string][]Worker

// Worker is one announced worker.
type Worker struct {
	Rack         string
	Accelerators int
}

// Check returns every fault of a set: faults of single objects, references to
// objects that do not exist, cycles of references, quotas and job classes that
// do not fit, and guarantees that the workers cannot meet together. A set without
// faults may be published.
func Check(s *Set, inventory Inventory) conf.Faults {
	return check(s, inventory, false)
}

// check does the same as Check. If planValid is set, the guarantees are known to
// be met (see Checker), and it does not check them again.
func check(s *Set, inventory Inventory, planValid bool) conf.Faults {
	c := &checker{set: s, planValid: planValid}
	for o := range s.Objects() {
		c.checkObject(o)
	}
	c.checkCycles()
	c.checkAcrossObjects(inventory)
	c.faults.Sort()
	return c.faults
}

// checkAcrossObjects checks quotas, job classes and guarantees, which depend on
// several objects. It leaves out objects with faults of their own, because these
// would only cause further faults. If a data centre has a fault, the capacity is
// not known and nothing is checked.
func (c *checker) checkAcrossObjects(inventory Inventory) {
	var deletions []*wire.Operation
	for o := range c.set.Objects() {
		key := KeyOf(o)
		if !slices.ContainsFunc(c.faults, func(f conf.Fault) bool { return f.Section == key.String() }) {
			continue
		}
		if key.Kind == "data_centre" {
			return
		}
		deletions = append(deletions, &wire.Operation{Delete: true, Object: o})
	}
	valid := &checker{set: c.set.applyOperations(c.set.version, deletions)}
	valid.checkQuotas()
	valid.checkJobClasses(inventory)
	c.faults = append(c.faults, valid.faults...)
	if !c.planValid || len(deletions) > 0 {
		c.faults = append(c.faults, checkGuarantees(valid.set, inventory)...)
	}
}

// checker collects the faults of one set.
type checker struct {
	set       *Set
	planValid bool // the guarantees need no check
	faults    conf.Faults
}

func (c *checker) addFault(key Key, field, format string, args ...any) {
	c.faults = append(c.faults, conf.Fault{Section: key.String(), Key: field, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) checkObject(o *wire.Object) {
	key := KeyOf(o)
	if text := checkIdentity(o); text != "" {
		c.addFault(key, "", "%s", text)
		return
	}
	body := Body(o)
	for _, fault := range conf.Check(body) {
		c.addFault(key, fault.Key, "%s", fault.Text)
	}
	c.checkReferences(key, body)
	c.checkValues(key, body)
}

// refField is a field that holds names of objects.
type refField struct {
	field protoreflect.FieldDescriptor
	kind  string // of the named objects
}

// refFields holds the reference fields of each kind. They are collected once at
// start, because reading field options is slow.
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

// referencedNames returns the names that a reference field holds.
func referencedNames(body proto.Message, f refField) []string {
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

// checkReferences reports names of objects that the set does not hold.
func (c *checker) checkReferences(key Key, body proto.Message) {
	for _, f := range refFields[key.Kind] {
		for _, name := range referencedNames(body, f) {
			if name != "" && c.set.Get(Key{f.kind, name}) == nil {
				c.addFault(key, string(f.field.Name()), "%s", conf.UnknownNameText(f.kind, name, c.set.Names(f.kind)))
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

// checkCycle reports the cycles that one reference field forms.
func (c *checker) checkCycle(kind string, f refField) {
	const (
		visiting = 1 + iota
		visited
	)
	state := map[string]int{}
	var path []string
	var visit func(name string)
	visit = func(name string) {
		object := c.set.Get(Key{kind, name})
		if object == nil || state[name] == visited {
			return
		}
		if state[name] == visiting {
			cycle := append(slices.Clone(path[slices.Index(path, name):]), name)
			c.addFault(Key{kind, name}, string(f.field.Name()), "refers to itself: %s", strings.Join(cycle, " -> "))
			return
		}
		state[name] = visiting
		path = append(path, name)
		if body := Body(object); body != nil {
			for _, next := range referencedNames(body, f) {
				visit(next)
			}
		}
		path = path[:len(path)-1]
		state[name] = visited
	}
	for _, name := range c.set.Names(kind) {
		visit(name)
	}
}
