package settings

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// fieldDecoder decodes YAML nodes into structs. Unlike the strict mode of the YAML
// library, it reports the dotted path of each problem and continues after a problem.
type fieldDecoder struct {
	file     string
	problems Errors
}

// addProblem records a problem with the field at a dotted path.
func (d *fieldDecoder) addProblem(path string, node *yaml.Node, format string, arguments ...any) {
	reason := fmt.Sprintf(format, arguments...)
	d.problems = append(d.problems, &FieldError{
		File:   d.file,
		Field:  path,
		Reason: fmt.Sprintf("%s (line %d)", reason, node.Line),
	})
}

// decode decodes a node into target. It checks for Duration before the Go kinds, because
// the kind of a Duration is that of an integer.
func (d *fieldDecoder) decode(path string, node *yaml.Node, target reflect.Value) {
	if node.Kind == yaml.AliasNode {
		d.addProblem(path, node, "aliases are not allowed")
		return
	}
	switch {
	case target.Type() == reflect.TypeFor[Duration]():
		d.decodeDuration(path, node, target)
	case target.Kind() == reflect.Struct:
		d.decodeStruct(path, node, target)
	case target.Kind() == reflect.Slice:
		d.decodeList(path, node, target)
	case target.Kind() == reflect.Map:
		d.decodeMap(path, node, target)
	case target.Kind() == reflect.Int || target.Kind() == reflect.Float64:
		d.decodeNumber(path, node, target)
	default:
		d.decodeString(path, node, target)
	}
}

func (d *fieldDecoder) decodeStruct(path string, node *yaml.Node, target reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.addProblem(path, node, "must be a mapping of fields")
		return
	}
	fields := structFields(target.Type())
	d.forEachEntry(path, node, func(key string, name, value *yaml.Node) {
		index, known := fields[key]
		if !known {
			d.addProblem(joinPath(path, key), name, "unknown field")
			return
		}
		d.decode(joinPath(path, key), value, target.Field(index))
	})
}

func (d *fieldDecoder) decodeMap(path string, node *yaml.Node, target reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.addProblem(path, node, "must be a mapping of names to addresses")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	d.forEachEntry(path, node, func(key string, _, value *yaml.Node) {
		element := reflect.New(target.Type().Elem()).Elem()
		d.decode(joinPath(path, key), value, element)
		target.SetMapIndex(reflect.ValueOf(key), element)
	})
}

// forEachEntry calls visit for each entry of a mapping. It skips an entry that repeats an
// earlier name, and records a problem instead.
func (d *fieldDecoder) forEachEntry(path string, node *yaml.Node, visit func(key string, name, value *yaml.Node)) {
	seen := make(map[string]bool)
	for i := 0; i+1 < len(node.Content); i += 2 {
		name := node.Content[i]
		if seen[name.Value] {
			d.addProblem(joinPath(path, name.Value), name, "is given twice")
			continue
		}
		seen[name.Value] = true
		visit(name.Value, name, node.Content[i+1])
	}
}

func (d *fieldDecoder) decodeList(path string, node *yaml.Node, target reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.addProblem(path, node, "must be a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.decode(fmt.Sprintf("%s[%d]", path, i), item, list.Index(i))
	}
	target.Set(list)
}

func (d *fieldDecoder) decodeString(path string, node *yaml.Node, target reflect.Value) {
	if node.Kind != yaml.ScalarNode || node.Tag == "!!null" {
		d.addProblem(path, node, "must be a string")
		return
	}
	if node.Tag != "!!str" {
		d.addProblem(path, node, "must be a string: put %s in quotes", node.Value)
		return
	}
	target.SetString(node.Value)
}

func (d *fieldDecoder) decodeNumber(path string, node *yaml.Node, target reflect.Value) {
	if node.Kind != yaml.ScalarNode || node.Tag != "!!int" && node.Tag != "!!float" {
		d.addProblem(path, node, "must be a number")
		return
	}
	if target.Kind() == reflect.Float64 {
		d.decodeFloat(path, node, target)
		return
	}
	number, err := strconv.Atoi(node.Value)
	if err != nil {
		d.addProblem(path, node, "%s is not a whole number", node.Value)
		return
	}
	target.SetInt(int64(number))
}

func (d *fieldDecoder) decodeFloat(path string, node *yaml.Node, target reflect.Value) {
	number, err := strconv.ParseFloat(node.Value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		d.addProblem(path, node, "%s is not a number such as 0.2", node.Value)
		return
	}
	target.SetFloat(number)
}

func (d *fieldDecoder) decodeDuration(path string, node *yaml.Node, target reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		d.addProblem(path, node, "must be a duration such as 300ms")
		return
	}
	if node.Tag == "!!int" || node.Tag == "!!float" {
		d.addProblem(path, node, "%s has no unit: write a duration such as 300ms or 2s", node.Value)
		return
	}
	duration, err := time.ParseDuration(node.Value)
	if err != nil {
		d.addProblem(path, node, "%q is not a duration such as 300ms or 2s", node.Value)
		return
	}
	if duration <= 0 {
		d.addProblem(path, node, "must be above zero, not %s", node.Value)
		return
	}
	target.SetInt(int64(duration))
}

// structFields returns the indexes of a struct's fields, by the fields' names in the file.
func structFields(structure reflect.Type) map[string]int {
	fields := make(map[string]int)
	for i := range structure.NumField() {
		tag := structure.Field(i).Tag.Get("yaml")
		if name, _, _ := strings.Cut(tag, ","); name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

// joinPath appends a key to a dotted path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
