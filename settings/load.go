package settings

import (
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// noFile is the File of settings that came from flags alone.
const noFile = "flags"

// maxFileBytes bounds a settings, key or token file, in bytes.
const maxFileBytes = 1 << 20

// Load reads a settings file strictly: an unknown or repeated field, a wrong type or
// a missing unit is an error. The error is of type Errors. Load does not validate,
// since flags may still set what the file leaves out; see LoadFor.
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
	fields := fieldDecoder{file: path}
	fields.decode("", document.Content[0], reflect.ValueOf(settings).Elem())
	if len(fields.problems) > 0 {
		return nil, fields.problems
	}
	return settings, nil
}

// LoadFor returns the settings of a daemon. It reads the file, if path is not empty,
// applies the flags, sets the role if none is given, and validates. A file for
// another role is an error. The error is of type Errors.
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
		return nil, Errors{settings.fieldError("role", reason)}
	}
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return settings, nil
}

// File returns the path that the settings were loaded from, "flags" without a file.
func (s *Settings) File() string {
	if s.file == "" {
		return noFile
	}
	return s.file
}

// readBounded returns the content of a file of at most maxFileBytes.
func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, withoutPath(err)
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, withoutPath(err)
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("is larger than %d bytes", maxFileBytes)
	}
	return text, nil
}
