// Package decoder decodes JSON with comments into structs. It reports all unknown
// fields, wrong types and failed checks at once, each with its line.
package decoder

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Checker is a value that can validate itself. Check reports each fault with the
// path of the field relative to the value.
type Checker interface {
	Check(report func(path, text string))
}

// Decode decodes source into target, a pointer to a struct, and calls Check of
// each Checker in it. The error is of type Problems.
func Decode(source []byte, target any) error {
	root, err := hujson.Parse(source)
	if err != nil {
		return Problems{{Line: 1, Path: "$", Text: err.Error()}}
	}
	d := &decodeState{source: source, lines: map[string]int{}}
	d.decode(&root, "", reflect.ValueOf(target).Elem())
	d.check("", reflect.ValueOf(target))
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Text, b.Text))
	})
	return d.problems
}

// decodeState is the state of one call of Decode. Its lines maps the path of each
// value in the source to its line.
type decodeState struct {
	source   []byte
	lines    map[string]int
	problems Problems
}

func (d *decodeState) report(path, text string) {
	displayed := strings.TrimPrefix(path, ".")
	if displayed == "" {
		displayed = "$"
	}
	d.problems = append(d.problems, Problem{Line: d.line(path), Path: displayed, Text: text})
}

// line returns the line of path, or of its nearest parent that the source contains.
func (d *decodeState) line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return max(d.lines[""], 1)
}

func (d *decodeState) decode(value *hujson.Value, path string, target reflect.Value) {
	d.lines[path] = 1 + bytes.Count(d.source[:value.StartOffset], []byte("\n"))
	switch node := value.Value.(type) {
	case *hujson.Object:
		if target.Kind() == reflect.Struct {
			d.decodeObject(node, path, target)
			return
		}
	case *hujson.Array:
		if target.Kind() == reflect.Slice {
			d.decodeArray(node, path, target)
			return
		}
	}
	d.decodeLeaf(value, path, target)
}

func (d *decodeState) decodeObject(object *hujson.Object, path string, target reflect.Value) {
	fields := fieldsByName(target)
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		fieldPath := path + "." + name
		d.lines[fieldPath] = 1 + bytes.Count(d.source[:member.Name.StartOffset], []byte("\n"))
		field, known := fields[name]
		switch {
		case !known:
			d.report(fieldPath, "unknown field")
		case seen[name]:
			d.report(fieldPath, "field given twice")
		default:
			d.decode(&member.Value, fieldPath, field)
		}
		seen[name] = true
	}
}

func (d *decodeState) decodeArray(array *hujson.Array, path string, target reflect.Value) {
	items := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decode(&array.Elements[i], fmt.Sprintf("%s[%d]", path, i), items.Index(i))
	}
	target.Set(items)
}

func (d *decodeState) decodeLeaf(value *hujson.Value, path string, target reflect.Value) {
	plain := value.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), target.Addr().Interface()); err != nil {
		d.report(path, strings.TrimPrefix(err.Error(), "json: "))
	}
}

func (d *decodeState) check(path string, value reflect.Value) {
	if checker, ok := value.Interface().(Checker); ok {
		checker.Check(func(relativePath, text string) {
			if relativePath != "" && relativePath[0] != '[' {
				relativePath = "." + relativePath
			}
			d.report(path+relativePath, text)
		})
	}
	value = reflect.Indirect(value)
	switch value.Kind() {
	case reflect.Struct:
		for name, field := range fieldsByName(value) {
			d.check(path+"."+name, field.Addr())
		}
	case reflect.Slice:
		for i := range value.Len() {
			d.check(fmt.Sprintf("%s[%d]", path, i), value.Index(i).Addr())
		}
	}
}

// fieldsByName returns the fields of a struct by their JSON names.
func fieldsByName(target reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = target.Field(i)
		}
	}
	return fields
}
