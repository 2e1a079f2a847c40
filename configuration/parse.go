package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxDocumentBytes bounds the text of a document.
const MaxDocumentBytes = 2 << 20

// Parse reads a document from YAML or JSON. It is strict: an unknown or repeated
// field, a value of the wrong kind, an alias or a second document is an error.
// The error is a *Problems. The document's meaning is judged by Validate.
func Parse(text string) (*Document, error) {
	var found report
	if len(text) > MaxDocumentBytes {
		found.add(Problem{Reason: fmt.Sprintf("document of %d bytes, at most %d", len(text), MaxDocumentBytes)})
		return nil, found.err()
	}
	root := parseNode(text, &found)
	if err := found.err(); err != nil {
		return nil, err
	}
	document := &Document{lines: map[string]int{}}
	decoding := &decoder{found: &found, lines: document.lines}
	decoding.value(root, "", reflect.ValueOf(document).Elem())
	if err := found.err(); err != nil {
		return nil, err
	}
	return document, nil
}

// Load parses and validates a document.
func Load(text string) (*Document, error) {
	document, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if err := document.Validate(); err != nil {
		return nil, err
	}
	return document, nil
}

// parseNode returns the one document of a text.
func parseNode(text string, found *report) *yaml.Node {
	if json.Valid([]byte(text)) {
		text = strings.ReplaceAll(text, "\t", " ") // a tab in JSON is only ever white space, YAML is stricter
	}
	reader := yaml.NewDecoder(strings.NewReader(text))
	var document, second yaml.Node
	if err := reader.Decode(&document); err != nil {
		found.add(syntaxProblem(text, err))
		return nil
	}
	switch err := reader.Decode(&second); {
	case err == nil:
		found.add(Problem{Line: second.Line, Reason: "more than one document"})
	case !errors.Is(err, io.EOF):
		found.add(syntaxProblem(text, err))
	}
	return document.Content[0]
}

var syntaxLine = regexp.MustCompile(`^(?:line (\d+): )?(.*)$`)

// grammarError begins the errors of the YAML parser whose line the library counts
// from zero, and leaves out in the first line; those of its scanner count from one.
// The line is where the list or mapping at fault begins, or where the text ends.
const grammarError = "did not find expected"

func syntaxProblem(text string, err error) Problem {
	if errors.Is(err, io.EOF) {
		return Problem{Reason: "document is empty"}
	}
	match := syntaxLine.FindStringSubmatch(strings.TrimPrefix(err.Error(), "yaml: "))
	if match == nil {
		return Problem{Reason: "syntax: " + err.Error()}
	}
	line, _ := strconv.Atoi(match[1]) // digits or nothing
	if strings.HasPrefix(match[2], grammarError) {
		line = min(line+1, strings.Count(strings.TrimRight(text, "\n"), "\n")+1)
	}
	return Problem{Line: line, Reason: "syntax: " + match[2]}
}

// decoder fills typed values from nodes and notes the line of every path.
type decoder struct {
	found *report
	lines map[string]int
}

func (d *decoder) problem(node *yaml.Node, path, reason string) {
	d.found.add(Problem{Line: node.Line, Field: path, Reason: reason})
}

// value decodes one node into target.
func (d *decoder) value(node *yaml.Node, path string, target reflect.Value) {
	d.lines[path] = node.Line
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		d.problem(node, path, "anchors and aliases are not allowed")
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.structure(node, path, target)
	case reflect.Map:
		d.mapping(node, path, target)
	case reflect.Slice:
		d.list(node, path, target)
	default:
		d.scalar(node, path, target)
	}
}

// keys calls visit for each entry of a mapping whose key is a text, once a key.
func (d *decoder) keys(node *yaml.Node, path string, visit func(key, value *yaml.Node)) bool {
	if node.Kind != yaml.MappingNode || node.ShortTag() != "!!map" {
		d.problem(node, path, "must be a mapping, is "+kindOf(node))
		return false
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if key.Kind != yaml.ScalarNode || key.ShortTag() != "!!str" || key.Anchor != "" {
			d.problem(key, path, "a key must be a text, is "+kindOf(key))
			continue
		}
		if first, repeated := seen[key.Value]; repeated {
			d.problem(key, join(path, key.Value), fmt.Sprintf("is given twice, first in line %d", first))
			continue
		}
		seen[key.Value] = key.Line
		visit(key, value)
	}
	return true
}

func (d *decoder) structure(node *yaml.Node, path string, target reflect.Value) {
	fields := map[string]int{}
	var names, required []string
	for i := range target.NumField() {
		name, options, tagged := strings.Cut(target.Type().Field(i).Tag.Get("yaml"), ",")
		if name == "" {
			continue
		}
		fields[name] = i
		names = append(names, name)
		if !tagged || options != "omitempty" {
			required = append(required, name)
		}
	}
	given := map[string]bool{}
	whole := d.keys(node, path, func(key, value *yaml.Node) {
		index, known := fields[key.Value]
		if !known {
			d.found.addUnknown(Problem{Line: key.Line, Field: join(path, key.Value), Reason: "unknown field"}, key.Value, names)
			return
		}
		given[key.Value] = true
		d.value(value, join(path, key.Value), target.Field(index))
	})
	if !whole {
		return
	}
	for _, name := range required {
		if !given[name] {
			d.problem(node, join(path, name), "is missing")
		}
	}
}

func (d *decoder) mapping(node *yaml.Node, path string, target reflect.Value) {
	filled := reflect.MakeMap(target.Type())
	d.keys(node, path, func(key, value *yaml.Node) {
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(value, join(path, key.Value), element)
		d.lines[join(path, key.Value)] = key.Line
		filled.SetMapIndex(reflect.ValueOf(key.Value), element)
	})
	target.Set(filled)
}

func (d *decoder) list(node *yaml.Node, path string, target reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.problem(node, path, "must be a list, is "+kindOf(node))
		return
	}
	for i, entry := range node.Content {
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(entry, fmt.Sprintf("%s[%d]", path, i), element)
		target.Set(reflect.Append(target, element))
	}
}

// scalarKind says how a kind of field is written.
type scalarKind struct {
	wanted string // for people
	tags   []string
}

var scalarKinds = map[reflect.Kind]scalarKind{
	reflect.String:  {wanted: "a text", tags: []string{"!!str"}},
	reflect.Int:     {wanted: "a whole number", tags: []string{"!!int"}},
	reflect.Float64: {wanted: "a number", tags: []string{"!!float", "!!int"}},
	reflect.Bool:    {wanted: "true or false", tags: []string{"!!bool"}},
}

func (d *decoder) scalar(node *yaml.Node, path string, target reflect.Value) {
	kind := scalarKinds[target.Kind()]
	if node.Kind != yaml.ScalarNode || !slices.Contains(kind.tags, node.ShortTag()) {
		d.problem(node, path, "must be "+kind.wanted+", is "+kindOf(node))
		return
	}
	if err := node.Decode(target.Addr().Interface()); err != nil {
		d.problem(node, path, "must be "+kind.wanted+" in range")
	}
}

// kindOf names what a node is, for people.
func kindOf(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	names := map[string]string{
		"!!str": "a text", "!!int": "a whole number", "!!float": "a number", "!!bool": "true or false",
		"!!null": "empty", "!!timestamp": "a date", "!!merge": "a merge key", "!!binary": "binary data",
	}
	if name, known := names[node.ShortTag()]; known {
		return name
	}
	return "of the tag " + node.ShortTag()
}

var plainKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// join extends a path by a key; unusual keys are quoted.
func join(path, key string) string {
	if !plainKey.MatchString(key) {
		return fmt.Sprintf("%s[%q]", path, key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}
