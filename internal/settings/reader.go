package settings

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/samber/lo"
)

// maxFound is how many characters of a wrong value a Problem repeats.
const maxFound = 60

const (
	foundNothing = "nothing"
	foundMapping = "a mapping"
	foundList    = "a list"
)

// reader fills settings from YAML and collects what is wrong. The library's
// own strict mode stops at the first error; an operator who mends a file on a
// VM that is down would then learn of the errors one start at a time.
type reader struct {
	file     string
	problems Problems
	// lines has the line of each key, by its path.
	lines map[string]int
	// wrong has the keys that have a problem already.
	wrong map[string]bool
	// whole says that the file could be read as YAML at all.
	whole bool
}

func newReader(file string) *reader {
	return &reader{file: file, lines: map[string]int{}, wrong: map[string]bool{}}
}

func (r *reader) read(data []byte, s *Settings) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.syntaxError(err)
		return
	}
	documents := lo.Filter(file.Docs, func(d *ast.DocumentNode, _ int) bool { return d.Body != nil })
	if len(documents) != 1 {
		r.add("", 1, fmt.Sprintf("%d YAML documents", len(documents)), "one")
		return
	}
	r.whole = true
	r.value(documents[0].Body, "", reflect.ValueOf(s).Elem())
}

func (r *reader) syntaxError(err error) {
	line, message := 1, err.Error()
	var located yaml.Error
	if errors.As(err, &located) {
		message = located.GetMessage()
		if token := located.GetToken(); token != nil {
			line = token.Position.Line
		}
	}
	r.add("", line, message, "valid YAML with each key once")
}

// value reads node into target, which is a field of Settings.
func (r *reader) value(node ast.Node, path string, target reflect.Value) {
	switch target.Kind() {
	case reflect.Pointer:
		r.section(node, path, target)
	case reflect.Struct:
		r.structure(node, path, target)
	case reflect.Map:
		r.mapping(node, path, target)
	case reflect.Slice:
		r.list(node, path, target)
	default:
		r.scalar(node, path, target)
	}
}

// section reads a section that may be left out, which null does too.
func (r *reader) section(node ast.Node, path string, target reflect.Value) {
	if node.Type() == ast.NullType {
		delete(r.lines, path)
		return
	}
	r.value(node, path, target.Elem())
}

func (r *reader) structure(node ast.Node, path string, target reflect.Value) {
	entries, ok := r.entries(node, path)
	if !ok {
		return
	}
	fields := fieldsByKey(target)
	for _, entry := range entries {
		key := keyName(entry)
		field, known := fields[key]
		if !known {
			names := lo.Keys(fields)
			slices.Sort(names)
			r.record(path, line(entry.Key), fmt.Sprintf("unknown key %q", key), "one of "+strings.Join(names, ", "))
			continue
		}
		child := join(path, key)
		r.lines[child] = line(entry.Key)
		r.value(entry.Value, child, field)
	}
}

func (r *reader) mapping(node ast.Node, path string, target reflect.Value) {
	entries, ok := r.entries(node, path)
	if !ok {
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for _, entry := range entries {
		key := keyName(entry)
		child := join(path, key)
		r.lines[child] = line(entry.Key)
		value := reflect.New(target.Type().Elem()).Elem()
		r.value(entry.Value, child, value)
		target.SetMapIndex(reflect.ValueOf(key), value)
	}
}

func (r *reader) list(node ast.Node, path string, target reflect.Value) {
	if node.Type() == ast.NullType {
		return
	}
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		r.add(path, line(node), found(node), foundList)
		return
	}
	list := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for i, item := range sequence.Values {
		child := fmt.Sprintf("%s[%d]", path, i)
		r.lines[child] = line(item)
		r.value(item, child, list.Index(i))
	}
	target.Set(list)
}

// scalar reads one value; 0 and an empty text leave the default in place. The
// library's decoder would take a bare number for a duration, in nanoseconds,
// and a number for a text.
func (r *reader) scalar(node ast.Node, path string, target reflect.Value) {
	value := reflect.New(target.Type()).Elem()
	r.scalarInto(node, path, value)
	if !value.IsZero() {
		target.Set(value)
	}
}

func (r *reader) scalarInto(node ast.Node, path string, target reflect.Value) {
	if target.Type() == reflect.TypeFor[time.Duration]() {
		r.duration(node, path, target)
		return
	}
	if !scalarFits(node, target.Kind()) || yaml.NodeToValue(node, target.Addr().Interface()) != nil {
		r.add(path, line(node), found(node), expectedScalar(target.Kind()))
	}
}

func (r *reader) duration(node ast.Node, path string, target reflect.Value) {
	text, ok := node.(*ast.StringNode)
	if ok {
		parsed, err := time.ParseDuration(text.Value)
		if err == nil {
			target.SetInt(int64(parsed))
			return
		}
	}
	r.add(path, line(node), found(node), "a duration with its unit, such as 500ms, 2s or 1m30s")
}

func scalarFits(node ast.Node, kind reflect.Kind) bool {
	switch kind {
	case reflect.String:
		return node.Type() == ast.StringType || node.Type() == ast.LiteralType
	case reflect.Bool:
		return node.Type() == ast.BoolType
	case reflect.Float64:
		return node.Type() == ast.FloatType || node.Type() == ast.IntegerType
	default:
		return node.Type() == ast.IntegerType
	}
}

func expectedScalar(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a text (in quotes if it looks like a number)"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// entries returns the keys and values of a mapping. A key without a value is
// an empty mapping.
func (r *reader) entries(node ast.Node, path string) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	case *ast.NullNode:
		return nil, true
	default:
		r.add(path, line(node), found(node), foundMapping)
		return nil, false
	}
}

// add records a problem that leaves the key at path without a value.
func (r *reader) add(path string, line int, found, expected string) {
	r.wrong[path] = true
	r.record(path, line, found, expected)
}

func (r *reader) record(path string, line int, found, expected string) {
	r.problems = append(r.problems, Problem{
		File: r.file, Line: line, Key: path, Found: found, Expected: expected,
	})
}

// reject records that the value of the key at path is not accepted, unless
// that key or one above it has no value because of an earlier problem.
func (r *reader) reject(path, found, expected string) {
	for above := path; above != ""; above = parent(above) {
		if r.wrong[above] {
			return
		}
	}
	r.add(path, r.lineOf(path), found, expected)
}

// lineOf returns the line of the key at path, or of the nearest one above it
// that the file has.
func (r *reader) lineOf(path string) int {
	for path != "" {
		if line, ok := r.lines[path]; ok {
			return line
		}
		path = parent(path)
	}
	return 1
}

// has reports whether the file has the key at path.
func (r *reader) has(path string) bool {
	_, ok := r.lines[path]
	return ok
}

func (r *reader) sorted() Problems {
	slices.SortStableFunc(r.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return r.problems
}

// keyName returns the key of an entry, which may be written in quotes.
func keyName(entry *ast.MappingValueNode) string {
	return strings.Trim(entry.Key.String(), `"'`)
}

func fieldsByKey(target reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range target.NumField() {
		fields[target.Type().Field(i).Tag.Get("yaml")] = target.Field(i)
	}
	return fields
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func parent(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

func line(node ast.Node) int {
	token := node.GetToken()
	if token == nil || token.Position == nil {
		return 1
	}
	return token.Position.Line
}

func found(node ast.Node) string {
	switch n := node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return foundMapping
	case *ast.SequenceNode:
		return foundList
	case *ast.NullNode:
		return foundNothing
	case *ast.StringNode:
		return quote(n.Value)
	default:
		return quote(node.String())
	}
}

func quote(text string) string {
	if len(text) > maxFound {
		text = text[:maxFound] + "..."
	}
	return fmt.Sprintf("%q", text)
}
