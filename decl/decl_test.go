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

// TestDeclarationFiles guards against faults that are dropped, vague or reported
// without file and line.
func TestDeclarationFiles(t *testing.T) {
	for _, path := range []string{"testdata/check", "testdata/change"} {
		base := NewSet(0, nil)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			src := &Source{origins: map[Key]conf.Section{}}
			var faults conf.Faults
			for i, text := range strings.Split(d.Input, "\n---\n") {
				faults = append(faults, src.addFile(fmt.Sprintf("%c.ini", 'a'+i), []byte(text))...)
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
			case "assign":
				assigned, unmet := AssignShapes(src.Set(1), nil)
				return fmt.Sprintf("assigned %v\nunmet %v\n", assigned, unmet)
			}
			return "unknown command"
		})
	}
}

// mergeText merges the difference between base and the source, with the given base
// revision if there is one, or a malformed change. It returns the revisions of
// the merged objects or the error.
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

// TestMergeProperties guards against a merge that loses an operation, changes an
// object that is not in the change, modifies the base set, or accepts an
// operation with a stale base revision.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, revisions := NewSet(0, nil), map[string]int64{}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			before := slices.Collect(set.Objects())
			change := &wire.Change{Id: "c", Author: "a"}
			want, stale := map[string]int64{}, false
			for name, revision := range revisions {
				want[name] = revision
			}
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 3, rapid.ID).Draw(t, "names") {
				base := rapid.SampledFrom([]int64{revisions[name], revisions[name], revisions[name], set.Version()}).Draw(t, "base")
				op := &wire.Operation{BaseRevision: base, Delete: base > 0 && rapid.Bool().Draw(t, "delete"), Object: NewObject(Key{"customer", name})}
				change.Operations = append(change.Operations, op)
				stale = stale || base != revisions[name]
				want[name] = set.Version() + 1
				if op.Delete {
					delete(want, name)
				}
			}
			next, err := Merge(set, change)
			if conflict := new(ConflictError); errors.As(err, &conflict) != stale {
				t.Fatalf("change is stale: %v, but Merge returned error %v", stale, err)
			}
			if !slices.Equal(before, slices.Collect(set.Objects())) {
				t.Fatal("Merge modified the base set")
			}
			if err != nil {
				continue
			}
			set, revisions = next, want
			have := map[string]int64{}
			for o := range set.Objects() {
				have[o.Name] = o.Revision
			}
			if fmt.Sprint(have) != fmt.Sprint(want) {
				t.Fatalf("revisions after Merge: want %v, have %v", want, have)
			}
		}
	})
}

// TestMergeAppliesDiff guards against operations of Diff that, once merged, do not
// give the wanted objects.
func TestMergeAppliesDiff(t *testing.T) {
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
				t.Fatalf("%s differs from the wanted object after Merge", KeyOf(o))
			}
		}
	})
}
