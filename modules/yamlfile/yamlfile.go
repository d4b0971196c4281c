package yamlfile

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/joomcode/errorx"
)

// ErrInvalid matches every Mistakes error with errors.Is.
var ErrInvalid = errorx.IllegalFormat.New("invalid file")

// Mistake is one error in a file.
type Mistake struct {
	// Line is the line in the file, from 1; 0 if it is unknown.
	Line int
	// Field is the path of the field, such as $.tiers[0].rank.
	Field string
	// Problem describes the error.
	Problem string
}

// Mistakes is an error that lists all errors in one file.
type Mistakes struct {
	File string
	List []Mistake
}

// Error implements error; it returns one line per mistake.
func (m *Mistakes) Error() string {
	lines := make([]string, 0, len(m.List))
	for _, one := range m.List {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", m.File, one.Line, one.Field, one.Problem))
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (m *Mistakes) Is(target error) bool { return target == ErrInvalid }

// Decode decodes data strictly into out, and then calls check, if it is not nil, to validate out.
// File is the name to report. The error is a *Mistakes with all unknown and duplicate fields and
// what check returned; after a syntax error or a value of the wrong type, check is not called.
func Decode(file string, data []byte, out any, check func() []Mistake) error {
	root, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return &Mistakes{File: file, List: []Mistake{syntaxMistake(err)}}
	}
	if len(root.Docs) > 1 {
		return &Mistakes{File: file, List: []Mistake{{Line: 1, Field: "$", Problem: "more than one document in the file"}}}
	}
	var list []Mistake
	if len(root.Docs) == 1 && root.Docs[0].Body != nil {
		list = fieldMistakes(root.Docs[0].Body, reflect.TypeOf(out), "$")
	}
	err = yaml.NewDecoder(bytes.NewReader(data), yaml.AllowDuplicateMapKey()).Decode(out)
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		list = append(list, syntaxMistake(err))
	case check != nil:
		list = append(list, withLines(root, check())...)
	}
	if len(list) > 0 {
		return &Mistakes{File: file, List: list}
	}
	return nil
}

// withLines fills in the lines of mistakes that were found after decoding.
func withLines(root *ast.File, list []Mistake) []Mistake {
	for i := range list {
		list[i].Line = lineOf(root, list[i].Field)
	}
	return list
}

// syntaxMistake converts an error of the YAML library to a mistake with its line.
func syntaxMistake(err error) Mistake {
	one := Mistake{Field: "$", Problem: err.Error()}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		one.Problem = yamlErr.GetMessage()
		if token := yamlErr.GetToken(); token != nil {
			one.Line = token.Position.Line
		}
	}
	return one
}

// lineOf returns the line of the field with a path, or of its closest ancestor that is in the
// file; 1 if there is none.
func lineOf(root *ast.File, field string) int {
	for field != "" && field != "$" {
		if line, err := lineAt(root, field); err == nil {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 1
		}
		field = field[:cut]
	}
	return 1
}

func lineAt(root *ast.File, field string) (int, error) {
	path, err := yaml.PathString(field)
	if err != nil {
		return 0, errorx.Decorate(err, "path %s", field)
	}
	node, err := path.FilterFile(root)
	if err != nil {
		return 0, errorx.Decorate(err, "find %s", field)
	}
	return node.GetToken().Position.Line, nil
}
