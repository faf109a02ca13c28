// Package decoder reads JSON with comments into structs and reports every
// unknown field, wrong type and failed check at once, each with its line.
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

// Checker is a value that checks itself. Check reports each fault with the
// path of the field relative to the value.
type Checker interface {
	Check(report func(path, text string))
}

// Decode reads source into target, a pointer to a struct, and runs the checks
// of each Checker found in it. The error is of type Problems.
func Decode(source []byte, target any) error {
	root, err := hujson.Parse(source)
	if err != nil {
		return Problems{{Line: 1, Path: "$", Text: err.Error()}}
	}
	d := &document{source: source, lines: map[string]int{}}
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

type document struct {
	source   []byte
	lines    map[string]int
	problems Problems
}

func (d *document) report(path, text string) {
	shown := strings.TrimPrefix(path, ".")
	if shown == "" {
		shown = "$"
	}
	d.problems = append(d.problems, Problem{Line: d.line(path), Path: shown, Text: text})
}

// line returns the line of path, or of its nearest parent that was present.
func (d *document) line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return max(d.lines[""], 1)
}

func (d *document) decode(value *hujson.Value, path string, target reflect.Value) {
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

func (d *document) decodeObject(object *hujson.Object, path string, target reflect.Value) {
	fields := fieldsByName(target)
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		place := path + "." + name
		d.lines[place] = 1 + bytes.Count(d.source[:member.Name.StartOffset], []byte("\n"))
		field, known := fields[name]
		switch {
		case !known:
			d.report(place, "unknown field")
		case seen[name]:
			d.report(place, "field given twice")
		default:
			d.decode(&member.Value, place, field)
		}
		seen[name] = true
	}
}

func (d *document) decodeArray(array *hujson.Array, path string, target reflect.Value) {
	items := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.decode(&array.Elements[i], fmt.Sprintf("%s[%d]", path, i), items.Index(i))
	}
	target.Set(items)
}

func (d *document) decodeLeaf(value *hujson.Value, path string, target reflect.Value) {
	plain := value.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), target.Addr().Interface()); err != nil {
		d.report(path, strings.TrimPrefix(err.Error(), "json: "))
	}
}

func (d *document) check(path string, value reflect.Value) {
	if checker, ok := value.Interface().(Checker); ok {
		checker.Check(func(at, text string) {
			if at != "" && at[0] != '[' {
				at = "." + at
			}
			d.report(path+at, text)
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

// fieldsByName returns the exported fields of a struct by their JSON names.
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
