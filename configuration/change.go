package configuration

import (
	"fmt"
	"maps"
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/deckpulley/deckpulley/patch"
)

// changeSections are the sections of a document that a change may name items of.
var changeSections = []string{
	"regions", "services", "routes", "clients", "homes", "tenants", "http.services", "http.routes",
}

// changeText is a change as operators write it.
type changeText struct {
	// Upsert has the items to add or replace by section and name.
	Upsert map[string]map[string]yaml.Node `yaml:"upsert"`
	// Remove has the names to remove by section.
	Remove map[string][]string `yaml:"remove"`
}

// ParseChange reads a change of a document from YAML or JSON and checks its form.
// Whether the changed document is valid is judged when the change is made. The
// error is a *patch.FieldError.
func ParseChange(text string) (*patch.Change, error) {
	if len(text) > MaxDocumentBytes {
		return nil, &patch.FieldError{Reason: fmt.Sprintf("has %d bytes, at most %d", len(text), MaxDocumentBytes)}
	}
	var found report
	root := parseNode(text, &found)
	if err := found.err(); err != nil {
		return nil, &patch.FieldError{Reason: err.Error()}
	}
	var written changeText
	if err := checkChangeFields(root); err != nil {
		return nil, err
	}
	if err := root.Decode(&written); err != nil {
		return nil, &patch.FieldError{Reason: err.Error()}
	}
	change, err := written.translate()
	if err != nil {
		return nil, err
	}
	return change, change.Validate()
}

// checkChangeFields refuses what a change does not have.
func checkChangeFields(root *yaml.Node) error {
	if root.Kind != yaml.MappingNode {
		return &patch.FieldError{Reason: "must be a mapping, is " + kindOf(root)}
	}
	for i := 0; i+1 < len(root.Content); i += 2 {
		field := root.Content[i].Value
		if field != "upsert" && field != "remove" {
			return &patch.FieldError{Field: field, Reason: "unknown field"}
		}
		sections := root.Content[i+1]
		for j := 0; j+1 < len(sections.Content); j += 2 {
			if name := sections.Content[j].Value; !slices.Contains(changeSections, name) {
				return &patch.FieldError{Field: field + "." + name, Reason: "unknown section"}
			}
		}
	}
	return nil
}

func (t *changeText) translate() (*patch.Change, error) {
	change := &patch.Change{}
	for _, name := range changeSections {
		section := patch.Section{Name: name, Remove: t.Remove[name]}
		items := t.Upsert[name]
		for _, item := range slices.Sorted(maps.Keys(items)) {
			node := items[item]
			value, err := yaml.Marshal(&node)
			if err != nil {
				return nil, &patch.FieldError{Field: join("upsert."+name, item), Reason: err.Error()}
			}
			section.Upsert = append(section.Upsert, patch.Item{Name: item, Value: string(value)})
		}
		if len(section.Upsert)+len(section.Remove) > 0 {
			change.Sections = append(change.Sections, section)
		}
	}
	return change, nil
}
