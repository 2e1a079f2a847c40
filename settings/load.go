package settings

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// FieldError says what is wrong with one field of one file.
type FieldError struct {
	File   string
	Field  string // dotted path, empty for the file as a whole
	Reason string
}

// Error implements the error interface.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Reason)
}

// Errors is every problem of one settings file, in the order of the file or of
// the checks. It is never empty.
type Errors []*FieldError

// Error lists the problems, one a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, problem := range e {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// noFile names the origin of settings that came from flags alone.
const noFile = "flags"

// maxFileBytes bounds a settings, key or token file.
const maxFileBytes = 1 << 20

// Load reads the file strictly: an unknown or doubled field, a wrong type and a
// wrong unit are errors of type Errors. It does not validate, since flags may
// still fill in what the file leaves out; see LoadFor.
func Load(path string) (*Settings, error) {
	text, err := readBounded(path)
	if err != nil {
		return nil, Errors{{File: path, Reason: err.Error()}}
	}
	settings := &Settings{file: path}
	var document yaml.Node
	decoder := yaml.NewDecoder(strings.NewReader(string(text)))
	if err := decoder.Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, Errors{{File: path, Reason: "file is empty"}}
		}
		return nil, Errors{{File: path, Reason: strings.TrimPrefix(err.Error(), "yaml: ")}}
	}
	if err := decoder.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		return nil, Errors{{File: path, Reason: "holds more than one document"}}
	}
	reader := fieldReader{file: path}
	reader.read("", document.Content[0], reflect.ValueOf(settings).Elem())
	if len(reader.problems) > 0 {
		return nil, reader.problems
	}
	return settings, nil
}

// LoadFor is the daemons' way in: it reads the file, if path is not empty, puts
// the flags over it, sets the role if none is given, and validates. A file for
// another role is an error.
func LoadFor(role Role, path string, overrides Overrides) (*Settings, error) {
	settings := &Settings{file: noFile}
	if path != "" {
		loaded, err := Load(path)
		if err != nil {
			return nil, err
		}
		settings = loaded
	}
	overrides.Apply(settings)
	if settings.Role == "" {
		settings.Role = role
	}
	if settings.Role != role {
		reason := fmt.Sprintf("is %q, but this program is for %q", settings.Role, role)
		return nil, Errors{settings.problem("role", reason)}
	}
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return settings, nil
}

// File returns the path that the settings came from.
func (s *Settings) File() string {
	if s.file == "" {
		return noFile
	}
	return s.file
}

func (s *Settings) problem(field, reason string) *FieldError {
	return &FieldError{File: s.File(), Field: field, Reason: reason}
}

func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, plainError(err)
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, plainError(err)
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("is larger than %d bytes", maxFileBytes)
	}
	return text, nil
}

// plainError leaves out the operation and path, which the caller names.
func plainError(err error) error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}

// fieldReader fills structs from YAML nodes and keeps the dotted path of every
// problem, which the library's own strict mode does not tell.
type fieldReader struct {
	file     string
	problems Errors
}

func (r *fieldReader) fail(path string, node *yaml.Node, format string, arguments ...any) {
	reason := fmt.Sprintf(format, arguments...)
	r.problems = append(r.problems, &FieldError{
		File:   r.file,
		Field:  path,
		Reason: fmt.Sprintf("%s (line %d)", reason, node.Line),
	})
}

func (r *fieldReader) read(path string, node *yaml.Node, into reflect.Value) {
	if node.Kind == yaml.AliasNode {
		r.fail(path, node, "aliases are not allowed")
		return
	}
	switch {
	case into.Type() == reflect.TypeFor[Duration]():
		r.readDuration(path, node, into)
	case into.Kind() == reflect.Struct:
		r.readStruct(path, node, into)
	case into.Kind() == reflect.Slice:
		r.readList(path, node, into)
	case into.Kind() == reflect.Map:
		r.readMap(path, node, into)
	case into.Kind() == reflect.Int || into.Kind() == reflect.Float64:
		r.readNumber(path, node, into)
	default:
		r.readString(path, node, into)
	}
}

func (r *fieldReader) readStruct(path string, node *yaml.Node, into reflect.Value) {
	if node.Kind != yaml.MappingNode {
		r.fail(path, node, "must be a mapping of fields")
		return
	}
	fields := structFields(into.Type())
	r.eachEntry(path, node, func(key string, name, value *yaml.Node) {
		index, known := fields[key]
		if !known {
			r.fail(join(path, key), name, "unknown field")
			return
		}
		r.read(join(path, key), value, into.Field(index))
	})
}

func (r *fieldReader) readMap(path string, node *yaml.Node, into reflect.Value) {
	if node.Kind != yaml.MappingNode {
		r.fail(path, node, "must be a mapping of names to addresses")
		return
	}
	into.Set(reflect.MakeMap(into.Type()))
	r.eachEntry(path, node, func(key string, _, value *yaml.Node) {
		element := reflect.New(into.Type().Elem()).Elem()
		r.read(join(path, key), value, element)
		into.SetMapIndex(reflect.ValueOf(key), element)
	})
}

func (r *fieldReader) eachEntry(path string, node *yaml.Node, visit func(key string, name, value *yaml.Node)) {
	seen := make(map[string]bool)
	for i := 0; i+1 < len(node.Content); i += 2 {
		name := node.Content[i]
		if seen[name.Value] {
			r.fail(join(path, name.Value), name, "is given twice")
			continue
		}
		seen[name.Value] = true
		visit(name.Value, name, node.Content[i+1])
	}
}

func (r *fieldReader) readList(path string, node *yaml.Node, into reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		r.fail(path, node, "must be a list")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		r.read(fmt.Sprintf("%s[%d]", path, i), item, list.Index(i))
	}
	into.Set(list)
}

func (r *fieldReader) readString(path string, node *yaml.Node, into reflect.Value) {
	if node.Kind != yaml.ScalarNode || node.Tag == "!!null" {
		r.fail(path, node, "must be a text")
		return
	}
	if node.Tag != "!!str" {
		r.fail(path, node, "must be a text: put %s in quotes", node.Value)
		return
	}
	into.SetString(node.Value)
}

func (r *fieldReader) readNumber(path string, node *yaml.Node, into reflect.Value) {
	if node.Kind != yaml.ScalarNode || node.Tag != "!!int" && node.Tag != "!!float" {
		r.fail(path, node, "must be a number")
		return
	}
	if into.Kind() == reflect.Float64 {
		number, err := strconv.ParseFloat(node.Value, 64)
		if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
			r.fail(path, node, "%s is not a number such as 0.2", node.Value)
			return
		}
		into.SetFloat(number)
		return
	}
	number, err := strconv.Atoi(node.Value)
	if err != nil {
		r.fail(path, node, "%s is not a whole number", node.Value)
		return
	}
	into.SetInt(int64(number))
}

func (r *fieldReader) readDuration(path string, node *yaml.Node, into reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		r.fail(path, node, "must be a duration such as 300ms")
		return
	}
	if node.Tag == "!!int" || node.Tag == "!!float" {
		r.fail(path, node, "%s has no unit: write a duration such as 300ms or 2s", node.Value)
		return
	}
	duration, err := time.ParseDuration(node.Value)
	if err != nil {
		r.fail(path, node, "%q is not a duration such as 300ms or 2s", node.Value)
		return
	}
	if duration <= 0 {
		r.fail(path, node, "must be above zero, not %s", node.Value)
		return
	}
	into.SetInt(int64(duration))
}

// structFields maps the names in the file to the indexes of the fields.
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

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
