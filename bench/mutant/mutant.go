package mutant

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/datadriven"
)

// ListPath is where the mechanisms stand, below the tree's root.
const ListPath = "tests/testdata/mutants"

// The errors of a list.
var (
	// ErrUnknown says that a name is not on the list.
	ErrUnknown = errors.New("no such mechanism on the list")
	// ErrStale says that a text to change does not stand once in its file.
	ErrStale = errors.New("the text to change must stand in the file once")
)

// Mutant is one mechanism with the change that takes it out.
type Mutant struct {
	// Name is its name on the list.
	Name string
	// File is the file that changes first, below the tree's root.
	File string
	// Change holds pairs of text, as Texts takes them.
	Change string
}

// ChangedFiles makes the changes of one mutant and gives the changed files' texts by path. A
// change is the text that goes, a line of three dashes, and what takes its place; more
// follow after a line of three equal signs, and may begin with "@ " and another file.
func ChangedFiles(root, file, change string) (map[string]string, error) {
	texts := map[string]string{}
	for _, one := range strings.Split(change, "\n===\n") {
		if named, rest, ok := strings.Cut(one, "\n"); ok && strings.HasPrefix(named, "@ ") {
			file, one = strings.TrimPrefix(named, "@ "), rest
		}
		if err := edit(texts, filepath.Join(root, file), one); err != nil {
			return nil, err
		}
	}
	return texts, nil
}

// edit makes one change in the text of a file, reading the file first if it is not
// among the texts.
func edit(texts map[string]string, path, change string) error {
	if _, ok := texts[path]; !ok {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		texts[path] = string(data)
	}
	old, changed, ok := strings.Cut(change+"\n", "\n---\n")
	if !ok || strings.Count(texts[path], old) != 1 {
		return fmt.Errorf("%s: %w: %q", path, ErrStale, old)
	}
	texts[path] = strings.Replace(texts[path], old, strings.TrimSuffix(changed, "\n"), 1)
	return nil
}

// Find gives the mutant of a name from a tree's list; ErrUnknown if it has none.
func Find(root, name string) (*Mutant, error) {
	data, err := os.ReadFile(filepath.Join(root, ListPath))
	if err != nil {
		return nil, err
	}
	for _, block := range strings.Split(string(data), "\n\n") {
		m, err := parse(block)
		if err != nil {
			return nil, err
		}
		if m != nil && m.Name == name {
			return m, nil
		}
	}
	return nil, fmt.Errorf("%w: %s", ErrUnknown, name)
}

// parse reads one block of the list: comments, a line of name and arguments, the change,
// and behind four dashes what the test expects. It gives nil for comments alone.
func parse(block string) (*Mutant, error) {
	lines := strings.Split(strings.TrimSpace(block), "\n")
	for len(lines) > 0 && strings.HasPrefix(lines[0], "#") {
		lines = lines[1:]
	}
	if len(lines) == 0 || lines[0] == "" {
		return nil, nil
	}
	name, args, err := datadriven.ParseLine(lines[0])
	if err != nil {
		return nil, fmt.Errorf("%s: %w", ListPath, err)
	}
	m := &Mutant{Name: name}
	for _, arg := range args {
		if arg.Key == "file" && len(arg.Vals) == 1 {
			m.File = arg.Vals[0]
		}
	}
	m.Change, _, _ = strings.Cut(strings.Join(lines[1:], "\n"), "\n----")
	return m, nil
}

// Apply changes the files of a tree.
func (m *Mutant) Apply(root string) error {
	texts, err := ChangedFiles(root, m.File, m.Change)
	if err != nil {
		return fmt.Errorf("%s: %w", m.Name, err)
	}
	for path, text := range texts {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}
