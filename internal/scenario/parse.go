package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"path"
	"sort"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Duration is a duration that is written with its unit, such as "300ms" or "2s".
type Duration time.Duration

// UnmarshalYAML reads a duration, which must not be negative.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil || parsed < 0 {
		return fmt.Errorf("line %d: %q is not a duration such as 300ms or 2s", node.Line, node.Value)
	}
	*d = Duration(parsed)
	return nil
}

// Defaults of a scenario's fields.
const (
	defaultLoad = 1
	defaultTail = 5 * time.Second
)

// Parse parses a scenario. It rejects unknown fields and steps without a field that their
// action requires. The error names the field.
func Parse(name string, text []byte) (*Scenario, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	parsed := &Scenario{Name: name, Load: defaultLoad, Tail: Duration(defaultTail)}
	if err := decoder.Decode(parsed); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	if err := parsed.validate(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	return parsed, nil
}

func (s *Scenario) validate() error {
	if s.About == "" {
		return errors.New("about: missing")
	}
	if (s.Random == nil) == (len(s.Steps) == 0) {
		return errors.New("steps: either steps or random must be given")
	}
	for i, step := range s.Steps {
		if err := step.validate(s); err != nil {
			return fmt.Errorf("steps[%d] (%s): %w", i, step.Do, err)
		}
	}
	return nil
}

// validate returns an error for the first missing or invalid field.
func (s Step) validate(in *Scenario) error {
	needs, ok := requirements[s.Do]
	if !ok {
		return fmt.Errorf("do: unknown action %q", s.Do)
	}
	switch s.When {
	case "", WhenReady, WhenRepaired, WhenNewPrimary:
	default:
		return fmt.Errorf("when: unknown condition %q", s.When)
	}
	if err := s.checkRequired(needs); err != nil {
		return err
	}
	if s.At != nil && s.After != nil {
		return errors.New("at and after exclude each other")
	}
	if (s.Do == Cut || s.Do == Delay) && !in.Relays {
		return errors.New("needs relays: true")
	}
	return nil
}

func (s Step) checkRequired(needs required) error {
	fields := []struct {
		name     string
		required bool
		given    bool
	}{
		{"target", needs.target, s.Target != ""},
		{"to", needs.to, s.To != ""},
		{"fault", needs.fault, s.Fault != nil},
		{"factor", needs.factor, s.Factor > 0},
		{"count", needs.count, s.Count > 0},
		{"for", needs.length, s.For > 0},
	}
	for _, field := range fields {
		if field.required && !field.given {
			return fmt.Errorf("%s: missing", field.name)
		}
	}
	return nil
}

// fileSuffix is the suffix of scenario files.
const fileSuffix = ".yaml"

// LoadAll reads all scenarios of a folder. They are sorted by name.
func LoadAll(folder fs.FS) ([]*Scenario, error) {
	names, err := fs.Glob(folder, "*"+fileSuffix)
	if err != nil {
		return nil, fmt.Errorf("listing scenarios: %w", err)
	}
	sort.Strings(names)
	var list []*Scenario
	for _, name := range names {
		text, err := fs.ReadFile(folder, name)
		if err != nil {
			return nil, fmt.Errorf("reading scenario: %w", err)
		}
		parsed, err := Parse(strings.TrimSuffix(path.Base(name), fileSuffix), text)
		if err != nil {
			return nil, err
		}
		list = append(list, parsed)
	}
	return list, nil
}
