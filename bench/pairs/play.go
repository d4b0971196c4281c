package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/sourcegraph/conc/pool"

	"github.com/runworks/runworks/bench/mutant"
)

const (
	// mutantList is the path of the list of mutants, for the help text.
	mutantList = mutant.ListPath
	// baseLabel is the label of the version that the others are compared with.
	baseLabel = "base"
	// maxJobs bounds the concurrent runs; each uses one core.
	maxJobs = 8
)

// validName matches the names and labels that tag can read back from the journal.
var validName = regexp.MustCompile(`^[\w.-]+$`)

// plan holds the arguments of the play command.
type plan struct {
	Bench, Repo, Journal string
	Name, Why            string
	Base                 string
	Others               map[string]string
	Without              []string
	Sites, Days          []string
	Seeds                []int64
	Jobs                 int
}

// version is a version of the product, checked out in its own folder.
type version struct {
	label, revision string
	// without is the name of the mutant to apply; empty for none.
	without string
	dir     string
}

// check returns an error that wraps errUsage for a missing or invalid argument.
func (p *plan) check() error {
	for _, arg := range []struct {
		flag  string
		wrong bool
		need  string
	}{
		{"--bench", p.Bench == "", "the path of the bench's program"},
		{"--name", !validName.MatchString(p.Name), "a name of letters, digits, dots and dashes"},
		{"--why", p.Why == "", "what is asked"},
		{"--site", len(p.Sites) == 0, "a site file at least"},
		{"--day", len(p.Days) == 0, "a day at least"},
		{"--seed", len(p.Seeds) == 0, "a seed at least"},
		{"--jobs", p.Jobs < 1 || p.Jobs > maxJobs, fmt.Sprintf("a number from 1 to %d", maxJobs)},
	} {
		if arg.wrong {
			return fmt.Errorf("%w: %s needs %s", errUsage, arg.flag, arg.need)
		}
	}
	for _, file := range append([]string{p.Bench}, p.Sites...) {
		if _, err := os.Stat(file); err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
	}
	for label := range p.Others {
		if !validName.MatchString(label) || label == baseLabel {
			return fmt.Errorf("%w: --other %s: a label of letters, digits, dots and dashes, not %q", errUsage, label, baseLabel)
		}
	}
	return nil
}

// setSeeds parses the --seed arguments.
func (p *plan) setSeeds(texts []string) error {
	for _, text := range texts {
		seed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%w: --seed %q is no whole number", errUsage, text)
		}
		p.Seeds = append(p.Seeds, seed)
	}
	return nil
}

// play runs all versions, except for the runs that the journal already holds.
func (p *plan) play(ctx context.Context) error {
	if err := p.check(); err != nil {
		return err
	}
	played, err := load(p.Journal, p.Name)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "pairs")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var mu sync.Mutex // serializes copies into the journal
	work := pool.New().WithErrors().WithMaxGoroutines(p.Jobs)
	var failed error
	for _, v := range p.versions(dir) {
		missing := p.missing(v, played)
		if len(missing) == 0 {
			continue
		}
		// A version that does not build does not stop the others.
		if err := p.prepare(ctx, v); err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", v.label, err))
			continue
		}
		for _, one := range missing {
			work.Go(func() error { return p.playDay(ctx, &mu, v, one) })
		}
	}
	return errors.Join(failed, work.Wait())
}

// versions returns the versions to compare: the base, then the others in order of label.
func (p *plan) versions(dir string) []*version {
	out := []*version{{label: baseLabel, revision: p.Base}}
	for label, revision := range p.Others {
		out = append(out, &version{label: label, revision: revision})
	}
	for _, name := range p.Without {
		out = append(out, &version{label: "without-" + name, revision: p.Base, without: name})
	}
	slices.SortFunc(out[1:], func(a, b *version) int { return strings.Compare(a.label, b.label) })
	for _, v := range out {
		v.dir = filepath.Join(dir, v.label)
	}
	return out
}

// missing returns the runs of a version that the journal does not hold.
func (p *plan) missing(v *version, played []result) []dayRun {
	var out []dayRun
	for _, site := range p.Sites {
		for _, day := range p.Days {
			for _, seed := range p.Seeds {
				run := dayRun{Site: siteName(site), Day: day, Seed: seed, file: site}
				if !slices.ContainsFunc(played, func(r result) bool { return r.Label == v.label && r.equal(run) }) {
					out = append(out, run)
				}
			}
		}
	}
	return out
}

// siteName returns the name of a site in the journal.
func siteName(file string) string { return strings.TrimSuffix(filepath.Base(file), ".toml") }

// prepare checks a version out in its folder, applies its mutant and builds it.
func (p *plan) prepare(ctx context.Context, v *version) error {
	repo, err := filepath.Abs(p.Repo)
	if err != nil {
		return err
	}
	// Resolve the commit first: a clone does not have the local branches under their names.
	commit, err := command(ctx, repo, "git", "rev-parse", "--verify", v.revision+"^{commit}")
	if err != nil {
		return fmt.Errorf("%w: no revision %s: %w", errUsage, v.revision, err)
	}
	if _, err := command(ctx, ".", "git", "clone", "--quiet", "--no-checkout", repo, v.dir); err != nil {
		return err
	}
	if _, err := command(ctx, v.dir, "git", "checkout", "--quiet", "--detach", commit); err != nil {
		return err
	}
	if v.without != "" {
		m, err := mutant.Find(v.dir, v.without)
		if err != nil {
			return err
		}
		if err := m.Apply(v.dir); err != nil {
			return err
		}
	}
	_, err = command(ctx, v.dir, p.Bench, "build")
	return err
}

// playDay runs one day and copies its entry to the journal.
func (p *plan) playDay(ctx context.Context, mu *sync.Mutex, v *version, run dayRun) error {
	site, err := filepath.Abs(run.file)
	if err != nil {
		return err
	}
	why := fmt.Sprintf("pair %s %s: %s", p.Name, v.label, p.Why)
	_, err = command(ctx, v.dir, p.Bench, "run", site, run.Day, "--seed", strconv.FormatInt(run.Seed, 10), "--why", why)
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("%s %s %s %d: %s\n", v.label, run.Site, run.Day, run.Seed, playResult(err))
	// The benchmark exits with an error on a broken rule, but still writes its entry.
	return errors.Join(err, collect(filepath.Join(v.dir, "journal"), p.Journal))
}

func playResult(err error) string {
	if err == nil {
		return "played"
	}
	return err.Error()
}

// command runs a program in dir and returns its combined output, which its error includes too.
func command(ctx context.Context, dir, name string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	text := strings.TrimSpace(string(out))
	if err != nil {
		return text, fmt.Errorf("%s %s: %w: %s", filepath.Base(name), strings.Join(args, " "), err, text)
	}
	return text, nil
}

// collect copies finished entries and their files to the journal, unless they exist there.
func collect(from, to string) error {
	return filepath.WalkDir(from, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		target := filepath.Join(to, rel)
		if _, err := os.Stat(target); err == nil {
			return nil
		}
		if filepath.Dir(rel) == "." && !finished(path) {
			return nil
		}
		return copyFile(path, target)
	})
}

func copyFile(from, to string) error {
	if err := os.MkdirAll(filepath.Dir(to), 0o750); err != nil {
		return err
	}
	in, err := os.Open(from)
	if err != nil {
		return err
	}
	defer in.Close()
	out, err := os.OpenFile(to, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = io.Copy(out, in)
	return errors.Join(err, out.Close())
}
