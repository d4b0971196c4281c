package main

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestReasons checks the counts of each reason for the output in testdata/days.
func TestReasons(t *testing.T) {
	datadriven.RunTest(t, "testdata/days", func(_ *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		if err := run(strings.NewReader(strings.ReplaceAll(d.Input, "END", "")), &out); err != nil {
			return "error: " + err.Error() + "\n"
		}
		return out.String()
	})
}
