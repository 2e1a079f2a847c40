package configuration

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// decoder decodes YAML nodes into typed values. Unlike the decoder of the YAML library,
// it reports the path and the line of every problem and continues after a problem.
type decoder struct {
	problems *problemList
	lines    map[string]int // of the paths decoded so far
}

// fail adds a problem with the field at a path.
func (d *decoder) fail(node *yaml.Node, path, reason string) {
	d.problems.add(Problem{Line: node.Line, Field: path, Reason: reason})
}

// decode decodes a node into target.
func (d *decoder) decode(node *yaml.Node, path string, target reflect.Value) {
	d.lines[path] = node.Line
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		d.fail(node, path, "anchors and aliases are not allowed")
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(node, path, target)
	case reflect.Map:
		d.decodeMap(node, path, target)
	case reflect.Slice:
		d.decodeSlice(node, path, target)
	default:
		d.decodeScalar(node, path, target)
	}
}

// eachEntry calls visit for the entries of a mapping. It reports and skips an entry whose
// key is not a string or is repeated. It returns false if the node is not a mapping.
func (d *decoder) eachEntry(node *yaml.Node, path string, visit func(key, value *yaml.Node)) bool {
	if node.Kind != yaml.MappingNode || node.ShortTag() != "!!map" {
		d.fail(node, path, "must be a mapping, is "+describeKind(node))
		return false
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if key.Kind != yaml.ScalarNode || key.ShortTag() != "!!str" || key.Anchor != "" {
			d.fail(key, path, "a key must be a string, is "+describeKind(key))
			continue
		}
		if first, repeated := seen[key.Value]; repeated {
			d.fail(key, joinPath(path, key.Value), fmt.Sprintf("is given twice, first on line %d", first))
			continue
		}
		seen[key.Value] = key.Line
		visit(key, value)
	}
	return true
}

// structFields describes the fields of a struct by their names in a document.
type structFields struct {
	index    map[string]int // index of the field in the struct, by name
	names    []string       // in the order of the struct
	required []string       // the names of the fields that are not tagged omitempty
}

func fieldsOf(structure reflect.Type) structFields {
	fields := structFields{index: map[string]int{}}
	for i := range structure.NumField() {
		name, options, tagged := strings.Cut(structure.Field(i).Tag.Get("yaml"), ",")
		if name == "" {
			continue
		}
		fields.index[name] = i
		fields.names = append(fields.names, name)
		if !tagged || options != "omitempty" {
			fields.required = append(fields.required, name)
		}
	}
	return fields
}

func (d *decoder) decodeStruct(node *yaml.Node, path string, target reflect.Value) {
	fields := fieldsOf(target.Type())
	given := map[string]bool{}
	isMapping := d.eachEntry(node, path, func(key, value *yaml.Node) {
		index, known := fields.index[key.Value]
		if !known {
			problem := Problem{Line: key.Line, Field: joinPath(path, key.Value), Reason: "unknown field"}
			d.problems.addUnknown(problem, key.Value, fields.names)
			return
		}
		given[key.Value] = true
		d.decode(value, joinPath(path, key.Value), target.Field(index))
	})
	if !isMapping {
		return
	}
	for _, name := range fields.required {
		if !given[name] {
			d.fail(node, joinPath(path, name), "is missing")
		}
	}
}

func (d *decoder) decodeMap(node *yaml.Node, path string, target reflect.Value) {
	filled := reflect.MakeMap(target.Type())
	d.eachEntry(node, path, func(key, value *yaml.Node) {
		element := reflect.New(target.Type().Elem()).Elem()
		d.decode(value, joinPath(path, key.Value), element)
		d.lines[joinPath(path, key.Value)] = key.Line
		filled.SetMapIndex(reflect.ValueOf(key.Value), element)
	})
	target.Set(filled)
}

func (d *decoder) decodeSlice(node *yaml.Node, path string, target reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.fail(node, path, "must be a list, is "+describeKind(node))
		return
	}
	for i, entry := range node.Content {
		element := reflect.New(target.Type().Elem()).Elem()
		d.decode(entry, fmt.Sprintf("%s[%d]", path, i), element)
		target.Set(reflect.Append(target, element))
	}
}

// scalarKind describes the YAML scalars that a kind of Go value is decoded from.
type scalarKind struct {
	description string // for messages
	tags        []string
}

var scalarKinds = map[reflect.Kind]scalarKind{
	reflect.String:  {description: "a string", tags: []string{"!!str"}},
	reflect.Int:     {description: "an integer", tags: []string{"!!int"}},
	reflect.Float64: {description: "a number", tags: []string{"!!float", "!!int"}},
	reflect.Bool:    {description: "true or false", tags: []string{"!!bool"}},
}

func (d *decoder) decodeScalar(node *yaml.Node, path string, target reflect.Value) {
	kind := scalarKinds[target.Kind()]
	if node.Kind != yaml.ScalarNode || !slices.Contains(kind.tags, node.ShortTag()) {
		d.fail(node, path, "must be "+kind.description+", is "+describeKind(node))
		return
	}
	if err := node.Decode(target.Addr().Interface()); err != nil {
		d.fail(node, path, "must be "+kind.description+" within the range of its type")
	}
}

// tagNames are descriptions of the tags of scalars, for messages.
var tagNames = map[string]string{
	"!!str": "a string", "!!int": "an integer", "!!float": "a number", "!!bool": "true or false",
	"!!null": "empty", "!!timestamp": "a timestamp", "!!merge": "a merge key", "!!binary": "binary data",
}

// describeKind returns a description of a node's kind, for messages.
func describeKind(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	if name, known := tagNames[node.ShortTag()]; known {
		return name
	}
	return "a value with tag " + node.ShortTag()
}

var plainKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// joinPath appends a key to a path. A key with other characters than those of plainKey is
// quoted.
func joinPath(path, key string) string {
	if !plainKey.MatchString(key) {
		return fmt.Sprintf("%s[%q]", path, key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}
