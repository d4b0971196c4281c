package yamlfile

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// fieldMistakes returns the unknown and the duplicate fields of a node that is decoded into t.
func fieldMistakes(node ast.Node, t reflect.Type, path string) []Mistake {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		return structMistakes(node, t, path)
	case reflect.Slice:
		return sliceMistakes(node, t, path)
	}
	return nil
}

func sliceMistakes(node ast.Node, t reflect.Type, path string) []Mistake {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		return nil
	}
	var list []Mistake
	for i, value := range sequence.Values {
		list = append(list, fieldMistakes(value, t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
	}
	return list
}

func structMistakes(node ast.Node, t reflect.Type, path string) []Mistake {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		return nil
	}
	fields := fieldsOf(t)
	seen := map[string]bool{}
	var list []Mistake
	for iter := mapping.MapRange(); iter.Next(); {
		key := iter.Key()
		name := key.GetToken().Value
		at := path + "." + name
		line := key.GetToken().Position.Line
		field, known := fields[name]
		switch {
		case !known:
			list = append(list, Mistake{Line: line, Field: at, Problem: "unknown field"})
			continue
		case seen[name]:
			list = append(list, Mistake{Line: line, Field: at, Problem: "duplicate field"})
		}
		seen[name] = true
		list = append(list, fieldMistakes(iter.Value(), field, at)...)
	}
	return list
}

// fieldsOf returns the types of a struct's fields by their YAML names.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if strings.Contains(options, "inline") {
			for inner, innerType := range fieldsOf(f.Type) {
				out[inner] = innerType
			}
			continue
		}
		if name != "" {
			out[name] = f.Type
		}
	}
	return out
}
