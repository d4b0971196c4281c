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
	// mutantList is where the mechanisms stand, for the help.
	mutantList = mutant.ListPath
	// baseLabel names the version that the others are compared with.
	baseLabel = "base"
	// maxJobs bounds the days played at once: each takes a core.
	maxJobs = 8
)

// plain is what names and labels consist of, as they stand in the journal's lines.
var plain = regexp.MustCompile(`^[\w.-]+$`)

// plan is what is to be played.
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

// version is one version of the product in a folder of its own.
type version struct {
	label, revision string
	// without is the mechanism that is taken out; empty for none.
	without string
	dir     string
}

// check says what is missing or wrong.
func (p *plan) check() error {
	for _, one := range []struct {
		flag  string
		wrong bool
		need  string
	}{
		{"--bench", p.Bench == "", "the path of the bench's program"},
		{"--name", !plain.MatchString(p.Name), "a name of letters, digits, dots and dashes"},
		{"--why", p.Why == "", "what is asked"},
		{"--site", len(p.Sites) == 0, "a site file at least"},
		{"--day", len(p.Days) == 0, "a day at least"},
		{"--seed", len(p.Seeds) == 0, "a seed at least"},
		{"--jobs", p.Jobs < 1 || p.Jobs > maxJobs, fmt.Sprintf("a number from 1 to %d", maxJobs)},
	} {
		if one.wrong {
			return fmt.Errorf("%w: %s needs %s", errUsage, one.flag, one.need)
		}
	}
	for _, file := range append([]string{p.Bench}, p.Sites...) {
		if _, err := os.Stat(file); err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
	}
	for label := range p.Others {
		if !plain.MatchString(label) || label == baseLabel {
			return fmt.Errorf("%w: --other %s: a label of letters, digits, dots and dashes, not %q", errUsage, label, baseLabel)
		}
	}
	return nil
}

// setSeeds reads the seeds.
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

// play plays all versions; what the journal holds already is not played again.
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
	var mu sync.Mutex // one copy into the journal at a time
	work := pool.New().WithErrors().WithMaxGoroutines(p.Jobs)
	var failed error
	for _, v := range p.versions(dir) {
		missing := p.missing(v, played)
		if len(missing) == 0 {
			continue
		}
		// The others are played all the same where one does not build.
		if err := p.prepare(ctx, v); err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", v.label, err))
			continue
		}
		for _, one := range missing {
			work.Go(func() error { return p.one(ctx, &mu, v, one) })
		}
	}
	return errors.Join(failed, work.Wait())
}

// versions gives what is compared, the base first.
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

// missing gives the plays of a version that the journal does not hold.
func (p *plan) missing(v *version, played []result) []place {
	var out []place
	for _, site := range p.Sites {
		for _, day := range p.Days {
			for _, seed := range p.Seeds {
				one := place{Site: siteName(site), Day: day, Seed: seed, file: site}
				if !slices.ContainsFunc(played, func(r result) bool { return r.Label == v.label && r.same(one) }) {
					out = append(out, one)
				}
			}
		}
	}
	return out
}

// siteName is the name of a site in the journal.
func siteName(file string) string { return strings.TrimSuffix(filepath.Base(file), ".toml") }

// prepare lays a version out in its folder and builds it.
func (p *plan) prepare(ctx context.Context, v *version) error {
	repo, err := filepath.Abs(p.Repo)
	if err != nil {
		return err
	}
	// A branch's name means nothing in a clone, its commit does.
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

// one plays one day and moves its entry to the journal.
func (p *plan) one(ctx context.Context, mu *sync.Mutex, v *version, at place) error {
	site, err := filepath.Abs(at.file)
	if err != nil {
		return err
	}
	why := fmt.Sprintf("pair %s %s: %s", p.Name, v.label, p.Why)
	_, err = command(ctx, v.dir, p.Bench, "run", site, at.Day, "--seed", strconv.FormatInt(at.Seed, 10), "--why", why)
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("%s %s %s %d: %s\n", v.label, at.Site, at.Day, at.Seed, told(err))
	// A day that breaks a rule ends the bench with an error and leaves its entry too.
	return errors.Join(err, collect(filepath.Join(v.dir, "journal"), p.Journal))
}

func told(err error) string {
	if err == nil {
		return "played"
	}
	return err.Error()
}

// command runs a program and gives what it printed; the error holds it too.
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

// collect copies the entries that are finished and not in the journal yet, as they are.
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
