package tests

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/runworks/runworks/bench/mutant"
)

// mutantTimeout limits the run of one test on a mutant. On unchanged code, each of these tests
// takes less than a third of it.
const mutantTimeout = 2 * time.Minute

var mutants = flag.Bool("mutants", false, "apply each mutant of testdata/mutants and check that its test fails")

// TestMutants guards against tests that pass although the mechanism they cover is missing.
// Each entry of testdata/mutants removes one mechanism; with -mutants the test that the entry
// names is run on the changed code and must fail. Without the flag, only whether each change
// still applies is checked. An entry names the file, the package and the test; its input is a
// change in the format of mutant.Texts.
func TestMutants(t *testing.T) {
	datadriven.RunTest(t, "testdata/mutants", func(t *testing.T, d *datadriven.TestData) string {
		var file, pkg, test string
		d.ScanArgs(t, "file", &file)
		d.ScanArgs(t, "pkg", &pkg)
		d.ScanArgs(t, "test", &test)
		texts, err := mutant.ChangedFiles(repoRoot(t), file, d.Input)
		if err != nil {
			t.Fatal(err)
		}
		if !*mutants {
			return d.Expected // only whether the change applies is checked
		}
		out, caught := runMutant(t, texts, pkg, test)
		if !caught {
			t.Logf("%s: not caught", d.Cmd)
			return "not caught\n"
		}
		t.Logf("%s: %s", d.Cmd, firstFailure(out))
		return "caught\n"
	})
}

// repoRoot returns the absolute path of the repository's root.
func repoRoot(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	return root
}

// runMutant runs a test with the changed files in an overlay, so that the working tree stays as
// it is. It returns the test's output and reports whether the test failed.
func runMutant(t *testing.T, texts map[string]string, pkg, test string) (out string, caught bool) {
	t.Helper()
	// A time-out counts as caught: the test hangs without the mechanism.
	cmd := exec.Command("go", "test", "-vet=off", "-timeout", mutantTimeout.String(), "-run", test, "./"+pkg)
	cmd.Dir = repoRoot(t)
	// Set by GOFLAGS, the overlay also applies to the programs that a test builds.
	cmd.Env = append(os.Environ(), "GOFLAGS=-overlay="+writeOverlay(t, texts))
	output, err := cmd.CombinedOutput()
	if strings.Contains(string(output), "[build failed]") {
		t.Errorf("mutant does not build: %s", output)
		return "", false
	}
	return string(output), err != nil
}

// writeOverlay writes the changed files and an overlay file for the go command, and returns the
// overlay's path.
func writeOverlay(t *testing.T, texts map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	replace := map[string]string{}
	for path, text := range texts {
		replace[path] = filepath.Join(dir, fmt.Sprintf("%d.go", len(replace)))
		if err := os.WriteFile(replace[path], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": replace})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(file, overlay, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// firstFailure returns the first failure line of a test's output, or all of the output if it has
// none.
func firstFailure(out string) string {
	for _, line := range strings.Split(out, "\n") {
		if strings.Contains(line, "_test.go:") || strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return strings.TrimSpace(out)
}
