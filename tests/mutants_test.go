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

// mutantTimeout bounds a proof: none takes a third of it with its mechanism in place.
const mutantTimeout = 2 * time.Minute

var mutants = flag.Bool("mutants", false, "take each mechanism of testdata/mutants out and see its proof fail")

// TestMutants takes mechanisms out, one at a time, and with -mutants runs the test
// that proves each: it must fail. The data file gives the file, the package and the test;
// the input is a change as mutant.Texts takes it.
func TestMutants(t *testing.T) {
	datadriven.RunTest(t, "testdata/mutants", func(t *testing.T, d *datadriven.TestData) string {
		var file, pkg, test string
		d.ScanArgs(t, "file", &file)
		d.ScanArgs(t, "pkg", &pkg)
		d.ScanArgs(t, "test", &test)
		texts, err := mutant.Texts(repoRoot(t), file, d.Input)
		if err != nil {
			t.Fatal(err)
		}
		if !*mutants {
			return d.Expected // that each change still applies is all that is tested
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

// repoRoot gives the tree's root.
func repoRoot(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	return root
}

// runMutant runs a test with files changed, without touching the tree.
func runMutant(t *testing.T, texts map[string]string, pkg, test string) (out string, caught bool) {
	t.Helper()
	// A proof that hangs without its mechanism has caught it too.
	cmd := exec.Command("go", "test", "-vet=off", "-timeout", mutantTimeout.String(), "-run", test, "./"+pkg)
	cmd.Dir = repoRoot(t)
	// In the environment the overlay holds for the programs that a test builds as well.
	cmd.Env = append(os.Environ(), "GOFLAGS=-overlay="+writeOverlay(t, texts))
	output, err := cmd.CombinedOutput()
	if strings.Contains(string(output), "[build failed]") {
		t.Errorf("the mutant does not build: %s", output)
		return "", false
	}
	return string(output), err != nil
}

// writeOverlay writes the changed files and the overlay that names them.
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

// firstFailure gives the first line by which a test says what it found.
func firstFailure(out string) string {
	for _, line := range strings.Split(out, "\n") {
		if strings.Contains(line, "_test.go:") || strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return strings.TrimSpace(out)
}
