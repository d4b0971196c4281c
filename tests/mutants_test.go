package tests

import (
	"encoding/json"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

var mutants = flag.Bool("mutants", false, "take each mechanism of testdata/mutants out and see its proof fail")

// TestMutants takes mechanisms out, one at a time, and runs the test that proves
// each: it must fail. The data file gives the file, the package and the test;
// the input is the text that goes, a line of three dashes, and what takes its
// place, and more such pairs after a line of three equal signs.
func TestMutants(t *testing.T) {
	if !*mutants {
		t.Skip("run it with: make mutants")
	}
	datadriven.RunTest(t, "testdata/mutants", func(t *testing.T, d *datadriven.TestData) string {
		var file, pkg, test string
		d.ScanArgs(t, "file", &file)
		d.ScanArgs(t, "pkg", &pkg)
		d.ScanArgs(t, "test", &test)
		out, caught := runMutant(t, file, pkg, test, d.Input)
		if !caught {
			t.Logf("%s: not caught", d.Cmd)
			return "not caught\n"
		}
		t.Logf("%s: %s", d.Cmd, firstFailure(out))
		return "caught\n"
	})
}

// runMutant runs a test with a file changed, without touching the tree.
func runMutant(t *testing.T, file, pkg, test, change string) (out string, caught bool) {
	t.Helper()
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(root, file)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text := string(data)
	for _, one := range strings.Split(change, "\n===\n") {
		old, changed, ok := strings.Cut(one+"\n", "\n---\n")
		if !ok || strings.Count(text, old) != 1 {
			t.Errorf("%s: the text to change must stand in it once: %q", file, old)
			return "", false
		}
		text = strings.Replace(text, old, strings.TrimSuffix(changed, "\n"), 1)
	}
	dir := t.TempDir()
	mutated := filepath.Join(dir, "mutated.go")
	if err := os.WriteFile(mutated, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: mutated}})
	if err != nil {
		t.Fatal(err)
	}
	overlayFile := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlayFile, overlay, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("go", "test", "-vet=off", "-overlay", overlayFile, "-run", test, "./"+pkg)
	cmd.Dir = root
	output, err := cmd.CombinedOutput()
	if strings.Contains(string(output), "[build failed]") {
		t.Errorf("%s: the mutant does not build: %s", file, output)
		return "", false
	}
	return string(output), err != nil
}

// firstFailure gives the first line by which a test says what it found.
func firstFailure(out string) string {
	for _, line := range strings.Split(out, "\n") {
		if strings.Contains(line, "_test.go:") || strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return strings.TrimSpace(out)
}
