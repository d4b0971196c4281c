package tests

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// testOutput is the output of a test and its result, PASS or FAIL; empty if it did not end.
type testOutput struct {
	result string
	lines  []string
}

var (
	testLine   = regexp.MustCompile(`^\x16?=== (?:RUN|CONT|NAME) +(\S*)`)
	resultLine = regexp.MustCompile(`^\x16?--- (PASS|FAIL|SKIP): (\S+) \(`)
	checkLine  = regexp.MustCompile(`^\s*([a-z0-9_]+_test\.go):(\d+): (.*)`)
	kindLine   = regexp.MustCompile(`^(order|mixed response|run twice): ([^:]+): `)
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
	kinds := map[string]map[string]int{}
	names := slices.Collect(maps.Keys(played))
	for name, o := range played {
		if name != f.test && !strings.HasPrefix(name, f.test+"/") || slices.ContainsFunc(names, func(other string) bool { return strings.HasPrefix(other, name+"/") }) {
			continue
		}
		v.played++
		if o.result == "PASS" {
			continue
		}
		shown, reason := f.shows(o, kinds)
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
	if f.kinds && v.played > v.unjudged {
		v.kinds = []string{kindsText(kinds)}
	}
	return v
}

// kindsText returns how often the order was broken, by kind, and which other rules were.
func kindsText(kinds map[string]map[string]int) string {
	text := func(rule string) string {
		n := 0
		for _, count := range kinds[rule] {
			n += count
		}
		return strings.Replace(fmt.Sprint(n, " ", kinds[rule]), "map", "", 1)
	}
	out := text(string(ruleOrder))
	for _, rule := range slices.Sorted(maps.Keys(kinds)) {
		if rule != string(ruleOrder) {
			out += ", " + rule + " " + text(rule)
		}
	}
	return out
}

// shows counts the checks of a failed case that show the form's fault, and adds their kinds by rule. The reason is set if the
// case can't be judged, as another check failed than those that judge what callers got, or log lines thereafter.
func (f *form) shows(o *testOutput, kinds map[string]map[string]int) (shown int, reason string) {
	judged := false
	for _, line := range o.lines {
		m := checkLine.FindStringSubmatch(line)
		if m == nil || strings.HasPrefix(m[3], "output of ") {
			continue
		}
		check := sourceLine(m[1], m[2])
		if containsAny(check, f.faults) {
			shown++
			if kind := kindLine.FindStringSubmatch(m[3]); kind != nil {
				if kinds[kind[1]] == nil {
					kinds[kind[1]] = map[string]int{}
				}
				kinds[kind[1]][kind[2]]++
			}
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

// TestLandingsKinds guards against faults of a run that are lost, counted twice, or counted as another kind.
func TestLandingsKinds(t *testing.T) {
	is := is.New(t)
	f := &form{test: "TestMoments", counted: true, kinds: true, faults: []string{`t.Errorf("%s: %s: %s", f.rule, f.kind, f.text)`}}
	data, err := os.ReadFile("moment_test.go")
	is.NoErr(err)
	before, _, found := strings.Cut(string(data), f.faults[0])
	is.True(found)
	at := fmt.Sprintf("    moment_test.go:%d: ", strings.Count(before, "\n")+1)
	failed := func(faults ...string) *testOutput {
		out := &testOutput{result: "FAIL", lines: []string{"    moment_test.go:1: order: event missing: no check of the form"}}
		for _, fault := range faults {
			out.lines = append(out.lines, at+fault)
		}
		return out
	}
	run := map[string]*testOutput{
		"TestMoments": failed("order: event twice: the parent of all"), "TestMoments/play/1-0": {result: "PASS"},
		"TestMoments/play/1-1": failed("order: versions mixed: m0-0, m0-1: order: early", "order: versions mixed: m1-0"),
		"TestMoments/play/1-2": failed("order: complete too early: m2-0", "run twice: ran twice: m3-0"),
	}
	var v verdict
	v.add(f.judge(run))
	v.add(f.judge(map[string]*testOutput{"TestMoments/play/1-0": {result: "PASS"}}))
	v.add(f.judge(map[string]*testOutput{"TestMoments/play/1-0": {}}))
	is.Equal(v.cell(f.counted), "3 [complete too early:1 versions mixed:2], run twice 1 [ran twice:1]; 0 []")
	is.Equal([]int{v.played, v.faults, v.unjudged}, []int{5, 4, 1})
}
