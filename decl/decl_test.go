package decl

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"catkinpoint/conf"
	"catkinpoint/wire"
)

// TestText guards against faults that are dropped, vague or without their place.
func TestText(t *testing.T) {
	for _, path := range []string{"testdata/check", "testdata/change"} {
		base := NewSet(0, nil)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			src := &Source{origins: map[Key]conf.Section{}}
			var faults conf.Faults
			for i, text := range strings.Split(d.Input, "\n---\n") {
				faults = append(faults, src.add(fmt.Sprintf("%c.ini", 'a'+i), []byte(text))...)
			}
			switch d.Cmd {
			case "check":
				set := src.Set(1)
				faults = src.Locate(append(faults, Check(set, nil)...))
				return faults.Error() + "\n" + Warnings(set, nil).Error()
			case "base":
				base = src.Set(3)
				for _, o := range src.Objects {
					o.Revision = 3
				}
				return faults.Error()
			case "diff":
				return Render(base, Diff(base, src.Objects, d.HasArg("prune")))
			case "merge":
				return mergeText(t, base, src, d)
			case "shares":
				held, unmet := Shares(src.Set(1), nil)
				return fmt.Sprintf("held %v\nunmet %v\n", held, unmet)
			}
			return "unknown command"
		})
	}
}

func mergeText(t *testing.T, base *Set, src *Source, d *datadriven.TestData) string {
	change := &wire.Change{Id: "c1", Author: "anna", Operations: Diff(base, src.Objects, d.HasArg("prune"))}
	if d.HasArg("revision") {
		var revision int64
		d.ScanArgs(t, "revision", &revision)
		for _, op := range change.Operations {
			op.BaseRevision = revision
		}
	}
	if d.HasArg("malformed") {
		change = &wire.Change{Operations: []*wire.Operation{
			{Object: &wire.Object{Kind: "servise", Name: "a"}},
			{Object: &wire.Object{Kind: "service", Name: "a"}},
			{Object: &wire.Object{Kind: "service", Name: "a/b", Body: &wire.Object_Service{}}},
			{Object: &wire.Object{Kind: "service", Name: "a", Body: &wire.Object_Customer{Customer: &wire.Customer{}}}},
			{Delete: true, Object: &wire.Object{Kind: "service", Name: "c"}},
		}}
	}
	next, err := Merge(base, change)
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	for o := range next.Objects() {
		fmt.Fprintf(&b, "%s at %d\n", KeyOf(o), o.Revision)
	}
	return b.String()
}

// TestMergeProperties guards against a merge that loses an operation, touches
// another object, changes its base, or lets a stale operation through.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, model := NewSet(0, nil), map[string]int64{}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			before := slices.Collect(set.Objects())
			change := &wire.Change{Id: "c", Author: "a"}
			want, stale := map[string]int64{}, false
			for name, revision := range model {
				want[name] = revision
			}
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 3, rapid.ID).Draw(t, "names") {
				base := rapid.SampledFrom([]int64{model[name], model[name], model[name], set.Version()}).Draw(t, "base")
				op := &wire.Operation{BaseRevision: base, Delete: base > 0 && rapid.Bool().Draw(t, "delete"), Object: NewObject(Key{"customer", name})}
				change.Operations = append(change.Operations, op)
				stale = stale || base != model[name]
				want[name] = set.Version() + 1
				if op.Delete {
					delete(want, name)
				}
			}
			next, err := Merge(set, change)
			if conflict := new(ConflictError); errors.As(err, &conflict) != stale {
				t.Fatalf("stale %v, error %v", stale, err)
			}
			if !slices.Equal(before, slices.Collect(set.Objects())) {
				t.Fatal("merge changed its base")
			}
			if err != nil {
				continue
			}
			set, model = next, want
			have := map[string]int64{}
			for o := range set.Objects() {
				have[o.Name] = o.Revision
			}
			if fmt.Sprint(have) != fmt.Sprint(want) {
				t.Fatalf("want %v, have %v", want, have)
			}
		}
	})
}

// TestDiffMerges guards against a difference that does not lead to the wanted objects.
func TestDiffMerges(t *testing.T) {
	objects := rapid.Custom(func(t *rapid.T) []*wire.Object {
		var list []*wire.Object
		for _, name := range rapid.SliceOfDistinct(rapid.StringMatching("[a-e]"), rapid.ID).Draw(t, "names") {
			o := NewObject(Key{"customer", name})
			o.GetCustomer().QueueLimit = int64(rapid.IntRange(1, 3).Draw(t, "limit"))
			list = append(list, o)
		}
		return list
	})
	rapid.Check(t, func(t *rapid.T) {
		base, want := NewSet(1, objects.Draw(t, "base")), NewSet(1, objects.Draw(t, "want"))
		for o := range base.Objects() {
			o.Revision = 1
		}
		operations := Diff(base, slices.Collect(want.Objects()), true)
		if len(operations) == 0 {
			operations = Diff(base, nil, false)
		}
		have := base
		if len(operations) > 0 {
			var err error
			if have, err = Merge(base, &wire.Change{Id: "c", Author: "a", Operations: operations}); err != nil {
				t.Fatal(err)
			}
		}
		for _, o := range slices.Concat(slices.Collect(have.Objects()), slices.Collect(want.Objects())) {
			if !proto.Equal(Body(have.Get(KeyOf(o))), Body(want.Get(KeyOf(o)))) {
				t.Fatalf("%s differs", KeyOf(o))
			}
		}
	})
}
