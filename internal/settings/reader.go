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

// maxQuotedBytes bounds how much of an invalid value a Problem quotes.
const maxQuotedBytes = 60

const (
	foundNothing = "nothing"
	foundMapping = "a mapping"
	foundList    = "a list"
)

// reader decodes settings from YAML and collects all problems. The strict mode
// of the YAML library stops at the first error; an operator who fixes a file on
// a VM that is down would then need one start of the process for each error.
type reader struct {
	file     string
	problems Problems
	// lines maps the path of each key to its line.
	lines map[string]int
	// invalid has the paths of keys for which a problem was recorded already.
	invalid map[string]bool
	// parsed reports whether the file is a single valid YAML document.
	parsed bool
}

func newReader(file string) *reader {
	return &reader{file: file, lines: map[string]int{}, invalid: map[string]bool{}}
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
	r.parsed = true
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

// value decodes node into target, which is a field of Settings.
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

// section decodes an optional section. A section that is null counts as left out.
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
			r.record(path, lineNumber(entry.Key), fmt.Sprintf("unknown key %q", key), "one of "+strings.Join(names, ", "))
			continue
		}
		child := join(path, key)
		r.lines[child] = lineNumber(entry.Key)
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
		r.lines[child] = lineNumber(entry.Key)
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
		r.add(path, lineNumber(node), describeNode(node), foundList)
		return
	}
	list := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for i, item := range sequence.Values {
		child := fmt.Sprintf("%s[%d]", path, i)
		r.lines[child] = lineNumber(item)
		r.value(item, child, list.Index(i))
	}
	target.Set(list)
}

// scalar decodes one value; 0 and an empty string leave the default in place. It
// checks the type of the node first, because the YAML library would accept a
// number without a unit as a duration in nanoseconds, and a number as a string.
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
		r.add(path, lineNumber(node), describeNode(node), expectedScalar(target.Kind()))
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
	r.add(path, lineNumber(node), describeNode(node), "a duration with its unit, such as 500ms, 2s or 1m30s")
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
		return "a string (in quotes if it looks like a number)"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "an integer"
	}
}

// entries returns the keys and values of a mapping. Null is an empty mapping.
func (r *reader) entries(node ast.Node, path string) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	case *ast.NullNode:
		return nil, true
	default:
		r.add(path, lineNumber(node), describeNode(node), foundMapping)
		return nil, false
	}
}

// add records a problem and marks the key at path as invalid.
func (r *reader) add(path string, line int, found, expected string) {
	r.invalid[path] = true
	r.record(path, line, found, expected)
}

func (r *reader) record(path string, line int, found, expected string) {
	r.problems = append(r.problems, Problem{
		File: r.file, Line: line, Key: path, Found: found, Expected: expected,
	})
}

// reject records that the value of the key at path is not allowed, unless a
// problem was recorded already for that key or one of its parents.
func (r *reader) reject(path, found, expected string) {
	for above := path; above != ""; above = parent(above) {
		if r.invalid[above] {
			return
		}
	}
	r.add(path, r.lineOf(path), found, expected)
}

// lineOf returns the line of the key at path, or of its nearest parent in the
// file.
func (r *reader) lineOf(path string) int {
	for path != "" {
		if line, ok := r.lines[path]; ok {
			return line
		}
		path = parent(path)
	}
	return 1
}

// has reports whether the key at path is set in the file.
func (r *reader) has(path string) bool {
	_, ok := r.lines[path]
	return ok
}

func (r *reader) sortedProblems() Problems {
	slices.SortStableFunc(r.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return r.problems
}

// keyName returns the key of an entry without quotes.
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

func lineNumber(node ast.Node) int {
	token := node.GetToken()
	if token == nil || token.Position == nil {
		return 1
	}
	return token.Position.Line
}

func describeNode(node ast.Node) string {
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
	if len(text) > maxQuotedBytes {
		text = text[:maxQuotedBytes] + "..."
	}
	return fmt.Sprintf("%q", text)
}
