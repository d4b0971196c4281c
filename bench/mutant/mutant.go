package mutant

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/datadriven"
)

// ListPath is the path of the list of mutants, relative to the root of the source tree.
const ListPath = "tests/testdata/mutants"

// Errors of the list.
var (
	// ErrUnknown is returned for a name that is not on the list.
	ErrUnknown = errors.New("unknown mutant")
	// ErrStale is returned if a text to replace does not occur exactly once in its file.
	ErrStale = errors.New("text to replace must occur exactly once")
)

// Mutant is a source change that removes one mechanism.
type Mutant struct {
	// Name is the name on the list.
	Name string
	// File is the file of the first replacement, relative to the root of the source tree.
	File string
	// Change holds the replacements in the format of ChangedFiles.
	Change string
}

// ChangedFiles applies the replacements of one mutant in memory and returns the new contents
// of the changed files by path. A replacement is the old text, a line of three dashes and the
// new text. Replacements are separated by a line of three equal signs, and may begin with a
// line "@ FILE" that selects another file. It returns ErrStale if an old text does not match
// once.
func ChangedFiles(root, file, change string) (map[string]string, error) {
	texts := map[string]string{}
	for _, replacement := range strings.Split(change, "\n===\n") {
		if header, text, ok := strings.Cut(replacement, "\n"); ok && strings.HasPrefix(header, "@ ") {
			file, replacement = strings.TrimPrefix(header, "@ "), text
		}
		if err := edit(texts, filepath.Join(root, file), replacement); err != nil {
			return nil, err
		}
	}
	return texts, nil
}

// edit applies one replacement to the file at path, which it first reads if texts does not
// hold it yet.
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

// Find returns the named mutant from the list of the tree at root, or ErrUnknown.
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
// and after four dashes the expected test result. It returns nil for a block of comments.
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

// Apply writes the changed files to the source tree at root.
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
