package tests

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

var (
	landings         = flag.Bool("landings", false, "play each form of testdata/landings/forms against the fronts of each landing, and log a table")
	landingsOnly     = flag.String("landings-only", "", "play only these landings, separated by commas; empty plays those of testdata/landings/commits")
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
	// counted is set if faults are counted by failed checks, of which a case may have several.
	counted bool
	// faults are parts of the test's checks that judge what callers got, and logs of later ones that judge log lines.
	faults, logs []string
}

func (f *form) name() string {
	if f.seed != 0 {
		return fmt.Sprint("soak, seed ", f.seed)
	}
	return f.test
}

// verdict counts the cases of a form: those played, those that showed the fault, and those that could not be judged, with
// the first reason. A soak has the kinds of its faults for each run.
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
		f.counted = f.seed != 0 || d.HasArg("counted")
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

// readLandings reads the landings to play, oldest first: a commit a line, and the settings that its fronts do not know.
func readLandings(t *testing.T) []landing {
	t.Helper()
	data, err := os.ReadFile("testdata/landings/commits")
	if err != nil {
		t.Fatal(err)
	}
	var out []landing
	for _, line := range strings.Split(string(data), "\n") {
		words := strings.Fields(line)
		if len(words) > 0 && (*landingsOnly == "" || slices.Contains(strings.Split(*landingsOnly, ","), words[0])) {
			out = append(out, landing{commit: words[0], lacks: words[1:]})
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
	for run := range *landingsRuns {
		var tests []string
		for _, f := range forms {
			if f.seed == 0 {
				tests = append(tests, f.test)
			}
		}
		var played map[string]*testOutput
		if len(tests) > 0 {
			played = playTests(t, fmt.Sprintf("%s-%d", l.commit, run), "-test.run", "^("+strings.Join(tests, "|")+")$", "-front-program", program, "-front-lacks", strings.Join(l.lacks, ","))
		}
		for _, f := range forms {
			v := out[f.name()]
			if f.seed == 0 {
				v.add(f.judge(played))
			} else {
				v.add(f.judgeSeed(playTests(t, fmt.Sprintf("%s-%d-%d", l.commit, f.seed, run), "-test.run", "^"+f.test+"$",
					"-front-program", program, "-front-lacks", strings.Join(l.lacks, ","), "-soak-seeds", "1", "-soak-first", fmt.Sprint(f.seed), "-soak-time", "10s")))
			}
			out[f.name()] = v
		}
	}
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

// testOutput is the output of a test and its result, PASS or FAIL; empty if it did not end.
type testOutput struct {
	result string
	lines  []string
}

var (
	testLine   = regexp.MustCompile(`^\x16?=== (?:RUN|CONT|NAME) +(\S*)`)
	resultLine = regexp.MustCompile(`^\x16?--- (PASS|FAIL|SKIP): (\S+) \(`)
	checkLine  = regexp.MustCompile(`^\s*([a-z0-9_]+_test\.go):(\d+): (.*)`)
	orderLine  = regexp.MustCompile(`: (\d+) streams out of order: map(\[.*\])`)
)

// playTests runs tests of this program and returns their output by name. Tests run one at a
// time, as failed checks are written without the name of their test.
func playTests(t *testing.T, name string, args ...string) map[string]*testOutput {
	ctx, cancel := context.WithTimeout(context.Background(), landingTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0], append(args, "-test.v=test2json", "-test.parallel=1")...)
	cmd.Env = append(os.Environ(), "NO_COLOR=1")
	text, err := cmd.CombinedOutput()
	if *landingsLogs != "" {
		if err := os.WriteFile(filepath.Join(*landingsLogs, name), text, 0o600); err != nil {
			t.Error(err)
		}
	}
	out := map[string]*testOutput{}
	current := ""
	for _, line := range strings.Split(string(text), "\n") {
		if m := testLine.FindStringSubmatch(line); m != nil {
			current = m[1]
		}
		if out[current] == nil {
			out[current] = &testOutput{}
		}
		if m := resultLine.FindStringSubmatch(line); m != nil && out[m[2]] != nil {
			out[m[2]].result = m[1]
		}
		out[current].lines = append(out[current].lines, line)
	}
	t.Logf("%s: %d tests, %v", name, len(out), err)
	return out
}

// judge counts the cases of a form: its sub-tests, or the test itself if it has none.
func (f *form) judge(played map[string]*testOutput) verdict {
	var v verdict
	for name, o := range played {
		if name != f.test && !strings.HasPrefix(name, f.test+"/") || slices.ContainsFunc(names(played), func(other string) bool { return strings.HasPrefix(other, name+"/") }) {
			continue
		}
		v.played++
		if o.result == "PASS" {
			continue
		}
		shown, reason := f.shows(o)
		switch {
		case shown > 0 && f.counted:
			v.faults += shown
		case shown > 0:
			v.faults++
		case reason != "":
			v.unjudged++
			v.reason = reason
		}
	}
	if v.played == 0 {
		v.reason = "did not run"
	}
	return v
}

func names(played map[string]*testOutput) []string {
	var out []string
	for name := range played {
		out = append(out, name)
	}
	return out
}

// shows counts the checks of a failed case that show the form's fault. The reason is set if the case can't be judged, as
// another check failed than those that judge what callers got, or log lines thereafter.
func (f *form) shows(o *testOutput) (shown int, reason string) {
	judged := false
	for _, line := range o.lines {
		m := checkLine.FindStringSubmatch(line)
		if m == nil || strings.HasPrefix(m[3], "output of ") {
			continue
		}
		check := sourceLine(m[1], m[2])
		if containsAny(check, f.faults) {
			shown++
		}
		judged = judged || containsAny(check, f.logs)
		if reason == "" && !strings.Contains(check, "Logf(") {
			reason = fmt.Sprintf("%s:%s: %.100s", m[1], m[2], m[3])
		}
	}
	switch {
	case shown > 0 || judged:
		return shown, ""
	case reason == "":
		return 0, "did not end"
	}
	return 0, reason
}

func containsAny(text string, parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(text, part) })
}

// sourceLine returns a line of a file of this package; empty if there is none.
func sourceLine(file, line string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return ""
	}
	lines := strings.Split(string(data), "\n")
	n, err := strconv.Atoi(line)
	if err != nil || n < 1 || n > len(lines) {
		return ""
	}
	return lines[n-1]
}

// judgeSeed counts the streams that the soak's callers found out of order.
func (f *form) judgeSeed(played map[string]*testOutput) verdict {
	for _, o := range played {
		for _, line := range o.lines {
			if m := orderLine.FindStringSubmatch(line); m != nil {
				n, err := strconv.Atoi(m[1])
				if err == nil {
					return verdict{played: 1, faults: n, kinds: []string{m[1] + " " + m[2]}}
				}
			}
		}
	}
	return verdict{played: 1, unjudged: 1, reason: "the soak did not end"}
}

// landingsTable returns a table of the forms by landing, and the reasons why cases could not be judged.
func landingsTable(commits []string, forms []*form, results []map[string]verdict) string {
	var out, reasons strings.Builder
	fmt.Fprintf(&out, "| form | %s | last that shows it |\n|---|%s---|\n", strings.Join(commits, " | "), strings.Repeat("---|", len(commits)))
	for _, f := range forms {
		last := "none"
		fmt.Fprintf(&out, "| %s |", f.name())
		for i, commit := range commits {
			v := results[i][f.name()]
			if v.faults > 0 {
				last = commit
			}
			fmt.Fprintf(&out, " %s |", v.cell(f.counted))
			if v.reason != "" {
				fmt.Fprintf(&reasons, "%s, %s: %s\n", commit, f.name(), v.reason)
			}
		}
		fmt.Fprintf(&out, " %s |\n", last)
	}
	return out.String() + reasons.String()
}

// cell returns the figures of a verdict: faults of the cases judged, or faults alone if they are counted by checks.
func (v *verdict) cell(counted bool) string {
	judged := v.played - v.unjudged
	switch {
	case judged == 0:
		return "not playable"
	case len(v.kinds) > 0:
		return strings.Join(v.kinds, "; ")
	case counted:
		return fmt.Sprint(v.faults)
	case v.unjudged > 0:
		return fmt.Sprintf("%d of %d, %d not judged", v.faults, judged, v.unjudged)
	}
	return fmt.Sprintf("%d of %d", v.faults, judged)
}
