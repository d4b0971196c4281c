package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestMain parses the flags of the datadriven package before the tests run.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

// TestScript runs the command lines of testdata/script on the journal in testdata/journal.
func TestScript(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	datadriven.RunTest(t, "testdata/script", func(_ *testing.T, d *datadriven.TestData) string {
		var out bytes.Buffer
		args := strings.Fields(strings.ReplaceAll(d.Input, "BENCH", program))
		if err := run(context.Background(), &out, args); err != nil {
			return strings.ReplaceAll("error: "+err.Error()+"\n", program, "BENCH")
		}
		return out.String()
	})
}

// TestPlot checks that the plot of a comparison holds the labels of all versions.
func TestPlot(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "demo.svg")
	is.NoErr(run(context.Background(), &bytes.Buffer{}, []string{"table", "--journal", "testdata/journal", "--name", "demo", "--plot", file}))
	data, err := os.ReadFile(file)
	is.NoErr(err)
	for _, label := range []string{"better", "same"} {
		is.True(strings.Contains(string(data), label))
	}
}

// TestMissing checks that runs in the journal are not repeated.
func TestMissing(t *testing.T) {
	is := is.New(t)
	played, err := load("testdata/journal", "demo")
	is.NoErr(err)
	p := &plan{Sites: []string{"sites/yard.toml"}, Days: []string{"busy"}, Seeds: []int64{1, 2, 3}}
	missing := p.missing(&version{label: "better"}, played)
	is.Equal(len(missing), 1)
	is.Equal(missing[0].Seed, int64(3))
}

// TestCollect checks that finished entries are copied with their blobs, that unfinished ones are
// not, and that existing entries are not overwritten.
func TestCollect(t *testing.T) {
	is := is.New(t)
	from, to := t.TempDir(), t.TempDir()
	is.NoErr(os.Mkdir(filepath.Join(from, "blobs"), 0o750))
	for name, text := range map[string]string{
		"done.json": `{"days":[{"name":"busy"}]}`, "begun.json": `{"days":[]}`, "kept.json": `{"days":[{"name":"new"}]}`, "blobs/a.txt": "source",
	} {
		is.NoErr(os.WriteFile(filepath.Join(from, name), []byte(text), 0o600))
	}
	is.NoErr(os.WriteFile(filepath.Join(to, "kept.json"), []byte("old"), 0o600))
	is.NoErr(collect(from, to))
	_, err := os.Stat(filepath.Join(to, "begun.json"))
	is.True(errors.Is(err, os.ErrNotExist))
	for name, text := range map[string]string{"done.json": `{"days":[{"name":"busy"}]}`, "kept.json": "old", "blobs/a.txt": "source"} {
		data, err := os.ReadFile(filepath.Join(to, name))
		is.NoErr(err)
		is.Equal(string(data), text)
	}
}

// TestWrongRevision checks that the error for an unknown revision names it.
func TestWrongRevision(t *testing.T) {
	is := is.New(t)
	p := &plan{Repo: "."}
	err := p.prepare(context.Background(), &version{label: "x", revision: "no-such-revision", dir: filepath.Join(t.TempDir(), "x")})
	is.True(errors.Is(err, errUsage))
	is.True(strings.Contains(err.Error(), "no-such-revision"))
}

// TestSpread checks the interval against one calculated by hand: mean 2, standard deviation 1,
// and a quantile of 4.303 for three values.
func TestSpread(t *testing.T) {
	is := is.New(t)
	s := spreadOf([]float64{1, 2, 3})
	is.Equal(s.String(), "+2.0000 ± 2.4841 (inside the noise)")
	is.True(spreadOf([]float64{0.1}).InsideNoise())
	is.True(!spreadOf([]float64{0.1, 0.1001, 0.1002}).InsideNoise())
}
