package mutant

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestApply applies a mutant that changes two files, and checks the errors for a mutant that is
// not on the list and for one whose text no longer occurs in the tree.
func TestApply(t *testing.T) {
	is := is.New(t)
	root := t.TempDir()
	is.NoErr(os.MkdirAll(filepath.Join(root, "tests", "testdata"), 0o750))
	write := func(name, text string) { is.NoErr(os.WriteFile(filepath.Join(root, name), []byte(text), 0o600)) }
	write("a.go", "package a\nkept\ngone\n")
	write("b.go", "package b\nold\n")
	write(ListPath, "# Comment.\n\n# More.\nfirst file=a.go pkg=a test=A\ngone\n---\n===\n@ b.go\nold\n---\nnew\n----\ncaught\n\nstale file=a.go pkg=a test=A\nnowhere\n---\n----\ncaught\n")
	m, err := Find(root, "first")
	is.NoErr(err)
	is.NoErr(m.Apply(root))
	for name, text := range map[string]string{"a.go": "package a\nkept\n\n", "b.go": "package b\nnew\n"} {
		data, err := os.ReadFile(filepath.Join(root, name))
		is.NoErr(err)
		is.Equal(string(data), text)
	}
	_, err = Find(root, "missing")
	is.True(errors.Is(err, ErrUnknown))
	m, err = Find(root, "stale")
	is.NoErr(err)
	is.True(errors.Is(m.Apply(root), ErrStale))
}

// TestRealList parses the product's own list up to a known mutant.
func TestRealList(t *testing.T) {
	is := is.New(t)
	m, err := Find("../..", "all-take-a-free-slot")
	is.NoErr(err)
	is.Equal(m.File, "services/dispatch/turn.go")
}
