package conf

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// TestSettings guards against a fault that is dropped, or reported without its place.
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
				// The library varies its white space on purpose.
				fmt.Fprintf(&b, "%s\n", bytes.ReplaceAll(text, []byte(`, "`), []byte(`,"`)))
			}
		}
		return b.String()
	})
}
