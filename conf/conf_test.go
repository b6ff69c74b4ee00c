package conf

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"catkinpoint/wire"
)

var update = flag.Bool("update", false, "write docs/settings.md")

// TestSettings guards against a fault that is dropped, or reported without file and
// line.
func TestSettings(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		var required []string
		for _, arg := range d.CmdArgs {
			required = append(required, arg.Vals...)
		}
		settings, faults := parseSettings("x.ini", []byte(d.Input), required)
		if err := faults.Err(); err != nil {
			return err.Error()
		}
		var b strings.Builder
		for _, m := range []proto.Message{settings.Node, settings.Entry, settings.Agent} {
			if m.ProtoReflect().IsValid() {
				text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
				if err != nil {
					return err.Error()
				}
				// protojson varies its white space on purpose, to make its output unstable.
				fmt.Fprintf(&b, "%s\n", bytes.ReplaceAll(text, []byte(`, "`), []byte(`,"`)))
			}
		}
		return b.String()
	})
}

// TestReference guards against a reference page that no longer matches the schema.
func TestReference(t *testing.T) {
	const page = "../docs/settings.md"
	if *update {
		if err := os.WriteFile(page, []byte(Reference()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	have, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Reference(), string(have)); diff != "" {
		t.Errorf("docs/settings.md differs from the schema; run make settings:\n%s", diff)
	}
}

// TestEncode guards against a value that differs after it was encoded as INI text
// and decoded again.
func TestEncode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valueGenerator := rapid.StringMatching("[ -~]{0,12}|[a-z`'\"#;=%()\\\\,\\[\\] ]{1,6}")
		want := &wire.Entry{}
		SetDefaults(want)
		want.PermitPolicy = valueGenerator.Draw(t, "policy")
		want.QueueLimit = rapid.Int64().Draw(t, "limit")
		encoded, err := Encode("entry", want)
		if err != nil {
			return // Encode rejected the value, so no value was changed silently
		}
		sections, faults := Read("", encoded)
		if len(faults) > 0 || len(sections) != 1 {
			t.Fatalf("want one section without faults, got %d sections and faults %v from %s", len(sections), faults, encoded)
		}
		have := &wire.Entry{}
		sections[0].Decode(have)
		if !proto.Equal(want, have) {
			t.Fatalf("after encoding and decoding: want %v, have %v", want, have)
		}
	})
	agent := &wire.Agent{EntryAddresses: []string{"10.0.0.1:1", "10.0.0.2:1"}, Rack: "r 1; b", Worker: `a"b`}
	if _, err := Encode("agent", agent); err != nil {
		t.Error(err)
	}
}
