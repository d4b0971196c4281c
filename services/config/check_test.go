package config

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestCheckScripts parses the files of testdata/check: every mistake must be reported with its
// line and field.
func TestCheckScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/check", func(_ *testing.T, d *datadriven.TestData) string {
		if _, err := Parse("file.yaml", []byte(d.Input)); err != nil {
			return err.Error() + "\n"
		}
		return "good\n"
	})
}
