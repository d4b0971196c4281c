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

// ErrInvalid says that a file has mistakes.
var ErrInvalid = errorx.IllegalFormat.New("the file has mistakes")

// Mistake is one thing wrong with a file.
type Mistake struct {
	// Line is the line in the file, from 1; 0 where it is not known.
	Line int
	// Field is the path of the field, such as $.tiers[0].rank.
	Field string
	// Problem says what is wrong.
	Problem string
}

// Mistakes are all that is wrong with one file.
type Mistakes struct {
	File string
	List []Mistake
}

// Error lists all mistakes, a line each.
func (m *Mistakes) Error() string {
	lines := make([]string, 0, len(m.List))
	for _, one := range m.List {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", m.File, one.Line, one.Field, one.Problem))
	}
	return strings.Join(lines, "\n")
}

// Is makes Mistakes an ErrInvalid.
func (m *Mistakes) Is(target error) bool { return target == ErrInvalid }

// Decode reads YAML strictly into out, and then checks it with check, which may
// be nil. The error is Mistakes: unknown fields, doubled fields and what check
// found, all at once; a value of the wrong type ends the reading.
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

// syntaxMistake turns an error of the YAML library into a mistake with its line.
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

// lineOf finds the line of a field by its path, or of the nearest part of the
// path that stands in the file.
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
