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

// noFile is what File returns for settings that were set only by flags.
const noFile = "flags"

// maxFileBytes is the maximum size of a settings, key or token file in bytes.
const maxFileBytes = 1 << 20

// Load reads a settings file strictly: an unknown or repeated field, a wrong type or a
// missing unit is an error. The error is of type Errors. Load does not validate the
// settings, because flags may still set fields that the file omits; see LoadFor.
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
		return nil, Errors{{File: path, Reason: "contains more than one document"}}
	}
	fields := fieldDecoder{file: path}
	fields.decode("", document.Content[0], reflect.ValueOf(settings).Elem())
	if len(fields.problems) > 0 {
		return nil, fields.problems
	}
	return settings, nil
}

// LoadFor returns the validated settings of the daemon with this role. It reads the
// file unless path is empty, applies the flags, and sets the role if the file has none.
// A file for another role is an error. The error is of type Errors.
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

// File returns the path of the file that the settings were loaded from, or "flags" if
// there is no file.
func (s *Settings) File() string {
	if s.file == "" {
		return noFile
	}
	return s.file
}

// readBounded returns the content of a file. A file larger than maxFileBytes is an error.
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
