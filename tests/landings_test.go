package tests

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

var (
	landings         = flag.Bool("landings", false, "play each form of testdata/landings/forms against the fronts of each landing, and log a table")
	landingsOnly     = flag.String("landings-only", "", "play only these landings, separated by commas, or commits that know all settings; empty plays those of testdata/landings/commits")
	landingsForms    = flag.String("landings-forms", "", "play only forms whose test matches this expression")
	landingsRuns     = flag.Int("landings-runs", 1, "how often each form is played")
	landingsParallel = flag.Int("landings-parallel", 2, "how many landings are played at once")
	landingsPrograms = flag.String("landings-programs", "", "the directory that keeps the programs of the fronts, by commit; empty keeps none")
	landingsLogs     = flag.String("landings-logs", "", "the directory for the output of all plays; empty keeps none")
)

// landingTimeout limits the play of all forms against one landing.
const landingTimeout = 20 * time.Minute

// form is a way in which the order rule can be broken: a test, or a seed of the soak, that shows it.
type form struct {
	test string
	seed int64
	// subtests, unless empty, is a pattern of the sub-tests to play, those that CI leaves out included.
	subtests string
	// counted is set if faults are counted by failed checks, of which a case may have several, and kinds if these are told
	// apart, for each run.
	counted, kinds bool
	// faults are parts of the test's checks that judge what callers got, and logs of later ones that judge log lines.
	faults, logs []string
}

func (f *form) name() string {
	switch {
	case f.seed != 0:
		return fmt.Sprint("soak, seed ", f.seed)
	case f.subtests != "":
		return f.test + "/" + f.subtests
	}
	return f.test
}

// verdict counts the cases of a form: those played, those that showed the fault, and those that could not be judged, with
// the first reason, and the kinds of the faults of each run.
type verdict struct {
	played, faults, unjudged int
	kinds                    []string
	reason                   string
}

func (v *verdict) add(other verdict) {
	v.played += other.played
	v.faults += other.faults
	v.unjudged += other.unjudged
	v.kinds = append(v.kinds, other.kinds...)
	if v.reason == "" {
		v.reason = other.reason
	}
}

// landing is a commit whose fronts are played, and the settings that these do not know.
type landing struct {
	commit string
	lacks  []string
}

// TestLandings guards against forms of testdata/landings that name no test or check; with -landings it plays them.
func TestLandings(t *testing.T) {
	forms := readForms(t)
	if !*landings {
		return
	}
	list := readLandings(t)
	forms = slices.DeleteFunc(forms, func(f *form) bool { return !regexp.MustCompile(*landingsForms).MatchString(f.name()) })
	results, commits := make([]map[string]verdict, len(list)), make([]string, len(list))
	places := make(chan struct{}, *landingsParallel)
	var work sync.WaitGroup
	for i, l := range list {
		commits[i] = l.commit
		work.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			results[i] = playLanding(t, l, forms)
			t.Logf("%s played:\n%s", l.commit, landingsTable(commits[i:i+1], forms, results[i:i+1]))
		})
	}
	work.Wait()
	t.Logf("cases that show the fault, of those judged; %d plays each:\n%s", *landingsRuns, landingsTable(commits, forms, results))
}

// readForms reads the forms and checks that their tests and checks exist.
func readForms(t *testing.T) []*form {
	t.Helper()
	var source []byte
	files, err := filepath.Glob("*_test.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		source = append(source, data...)
	}
	var out []*form
	datadriven.RunTest(t, "testdata/landings/forms", func(t *testing.T, d *datadriven.TestData) string {
		f := &form{test: d.Cmd}
		d.MaybeScanArgs(t, "seed", &f.seed)
		d.MaybeScanArgs(t, "subtests", &f.subtests)
		f.counted, f.kinds = f.seed != 0 || d.HasArg("counted"), d.HasArg("kinds")
		if !bytes.Contains(source, []byte("func "+f.test+"(t *testing.T)")) {
			t.Errorf("no test %s", f.test)
		}
		for _, line := range strings.Split(d.Input, "\n") {
			check, ok := strings.CutPrefix(line, "log: ")
			if line != "" && !bytes.Contains(source, []byte(check)) {
				t.Errorf("%s: no check %q", f.test, check)
			}
			switch {
			case ok:
				f.logs = append(f.logs, check)
			case line != "":
				f.faults = append(f.faults, line)
			}
		}
		out = append(out, f)
		return d.Expected
	})
	return out
}

// readLandings reads the landings to play, oldest first: a commit a line, and the settings that its fronts do not know. Commits
// that are asked for and have no line come last.
func readLandings(t *testing.T) []landing {
	t.Helper()
	data, err := os.ReadFile("testdata/landings/commits")
	if err != nil {
		t.Fatal(err)
	}
	var out []landing
	var only []string
	if *landingsOnly != "" {
		only = strings.Split(*landingsOnly, ",")
	}
	for _, line := range strings.Split(string(data), "\n") {
		words := strings.Fields(line)
		if len(words) > 0 && (len(only) == 0 || slices.Contains(only, words[0])) {
			out = append(out, landing{commit: words[0], lacks: words[1:]})
		}
	}
	for _, commit := range only {
		if !slices.ContainsFunc(out, func(l landing) bool { return l.commit == commit }) {
			out = append(out, landing{commit: commit})
		}
	}
	return out
}

// playLanding builds the program of a landing and plays all forms against its fronts.
func playLanding(t *testing.T, l landing, forms []*form) map[string]verdict {
	out := map[string]verdict{}
	program, err := buildLanding(t, l.commit)
	if err != nil {
		for _, f := range forms {
			out[f.name()] = verdict{reason: err.Error()}
		}
		return out
	}
	fronts := slices.Clip(append(momentFlags(), "-front-program", program, "-front-lacks", strings.Join(l.lacks, ",")))
	for run := range *landingsRuns {
		var tests []string
		for _, f := range forms {
			if f.seed == 0 && f.subtests == "" {
				tests = append(tests, f.test)
			}
		}
		var played map[string]*testOutput
		if len(tests) > 0 {
			played = playTests(t, fmt.Sprintf("%s-%d", l.commit, run), append(fronts, "-test.run", "^("+strings.Join(tests, "|")+")$")...)
		}
		for _, f := range forms {
			v := out[f.name()]
			switch {
			case f.seed != 0:
				v.add(f.judgeSeed(playTests(t, fmt.Sprintf("%s-%d-%d", l.commit, f.seed, run), append(fronts, "-test.run", "^"+f.test+"$",
					"-soak-seeds", "1", "-soak-first", fmt.Sprint(f.seed), "-soak-time", "10s")...)))
			case f.subtests != "":
				v.add(f.judge(playTests(t, fmt.Sprintf("%s-%s-%d", l.commit, f.subtests, run), append(fronts, "-test.run", "^"+f.test+"$/"+f.subtests, "-foreign-forms")...)))
			default:
				v.add(f.judge(played))
			}
			out[f.name()] = v
		}
	}
	return out
}

// momentFlags returns the flags of TestMoments that were set.
func momentFlags() []string {
	var out []string
	flag.Visit(func(f *flag.Flag) {
		if strings.HasPrefix(f.Name, "moment-") {
			out = append(out, "-"+f.Name, f.Value.String())
		}
	})
	return out
}

// buildLanding builds the program of a commit from a copy of its files, and returns the program's path.
func buildLanding(t *testing.T, commit string) (string, error) {
	dir := t.TempDir()
	if *landingsPrograms != "" {
		dir = *landingsPrograms
	}
	program := filepath.Join(dir, commit)
	if _, err := os.Stat(program); err == nil {
		return program, nil
	}
	dir = t.TempDir()
	archive, tree := filepath.Join(dir, "tar"), filepath.Join(dir, "tree")
	if err := os.Mkdir(tree, 0o700); err != nil {
		return "", err
	}
	for _, c := range []struct {
		dir  string
		args []string
	}{
		{repoRoot(t), []string{"git", "archive", "--output", archive, commit}},
		{tree, []string{"tar", "-xf", archive}},
		{tree, []string{"go", "build", "-trimpath", "-o", program, "./cmd/runworks"}},
	} {
		cmd := exec.Command(c.args[0], c.args[1:]...)
		cmd.Dir = c.dir
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Logf("%s: %s: %v\n%s", commit, c.args, err, out)
			return "", fmt.Errorf("%s %s fails", c.args[0], c.args[1])
		}
	}
	return program, nil
}
