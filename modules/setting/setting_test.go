package setting

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestSettingScripts checks that each invalid setting in testdata/settings is reported with its
// file, line and field.
func TestSettingScripts(t *testing.T) {
	dir := t.TempDir()
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		file := filepath.Join(dir, d.Cmd+".yaml")
		if err := os.WriteFile(file, []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		var err error
		switch d.Cmd {
		case "entry":
			_, err = LoadEntry(file)
		case "agent":
			_, err = LoadAgent(file)
		case "front":
			_, err = LoadFront(file)
		}
		if err != nil {
			return strings.ReplaceAll(err.Error(), dir+"/", "") + "\n"
		}
		return "good\n"
	})
}
