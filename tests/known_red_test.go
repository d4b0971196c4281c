package tests

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestKnownRedPassesOverOtherTests guards against a list of known failures that passes over tests which it does not name.
func TestKnownRedPassesOverOtherTests(t *testing.T) {
	raceCrashes := []string{"TestChangeAfterConnectionsWentSilent", "TestChangeAfterStoreConnectionsWentSilent"}
	for _, one := range []struct {
		name, list string
		passedOver []string
	}{
		{"empty", "", nil},
		{"a test", "TestOneMore: seen (issue)\n", []string{"TestOneMore"}},
		{"a test with sub-tests", "TestOne: seen (issue)\n", []string{
			"TestOne", "TestOne/seed=1", "TestOne/seed=10", "TestOne/share=0.5/seed=1", "TestOne/share=0x5",
		}},
		{"sub-tests", "TestOne/seed=1: seen: more (issue)\n\nTestOne/share=0.5/seed=1: seen (issue)\n", []string{
			"TestOne/seed=1", "TestOne/share=0.5/seed=1",
		}},
		{"a sub-test and a test", "TestOne/share=0.5: seen (issue)\nTestOneMore: seen (issue)\n", []string{
			"TestOne/share=0.5/seed=1", "TestOneMore",
		}},
		{"a test that is not there", "TestOn: seen (issue)\nTestOne/seed=: seen (issue)\n", nil},
	} {
		for arch, crashes := range map[string][]string{"amd64": nil, "arm64": raceCrashes} {
			t.Run(one.name+"/"+arch, func(t *testing.T) {
				is := is.New(t)
				all, raced := fixtureTests(t, ""), fixtureTests(t, racePattern(t, arch, one.list))
				missing := slices.DeleteFunc(all, func(name string) bool { return slices.Contains(raced, name) })
				want := slices.Concat(one.passedOver, crashes)
				slices.Sort(want)
				is.Equal(strings.Join(missing, " "), strings.Join(want, " "))
			})
		}
	}
}

// racePattern returns the pattern of the tests that the Makefile passes over with the race detector, by its list of known failures.
func racePattern(t *testing.T, arch, list string) string {
	t.Helper()
	is, dir := is.New(t), t.TempDir()
	makefile, err := os.ReadFile(filepath.Join(repoRoot(t), "Makefile"))
	is.NoErr(err)
	is.NoErr(os.WriteFile(filepath.Join(dir, "Makefile"), makefile, 0o600))
	is.NoErr(os.WriteFile(filepath.Join(dir, "KNOWN-RED.txt"), []byte(list), 0o600))
	cmd := exec.Command("make", "--no-print-directory", "-n", "race")
	cmd.Dir, cmd.Env = dir, append(os.Environ(), "GOARCH="+arch)
	out, err := cmd.CombinedOutput()
	is.NoErr(err)
	command, _, _ := strings.Cut(string(out), "\n")
	if found := regexp.MustCompile(`-skip '([^']*)'`).FindStringSubmatch(command); found != nil {
		return found[1]
	}
	return ""
}

// fixtureTests returns the names of the tests of testdata/known_red that run where a pattern is passed over, in order.
func fixtureTests(t *testing.T, skip string) []string {
	t.Helper()
	out, err := exec.Command("go", "test", "-v", "-skip", skip, "./testdata/known_red").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	var names []string
	for _, found := range regexp.MustCompile(`--- PASS: (\S+)`).FindAllStringSubmatch(string(out), -1) {
		names = append(names, found[1])
	}
	slices.Sort(names)
	return names
}
