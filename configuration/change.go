package configuration

import (
	"fmt"
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/deckpulley/deckpulley/patch"
)

// changeSections are the sections of a document whose items a change may name.
var changeSections = []string{
	"regions", "services", "routes", "clients", "homes", "tenants", "http.services", "http.routes",
}

// changeText is a change as operators write it.
type changeText struct {
	// Upsert maps sections to the items to add or replace, by name.
	Upsert map[string]map[string]yaml.Node `yaml:"upsert"`
	// Remove maps sections to the names of the items to remove.
	Remove map[string][]string `yaml:"remove"`
}

// ParseChange parses a change of a document from YAML or JSON and checks that it is well
// formed. The changed document is validated only when the change is applied. The error
// is a *patch.FieldError.
func ParseChange(text string) (*patch.Change, error) {
	if len(text) > MaxDocumentBytes {
		return nil, &patch.FieldError{Reason: fmt.Sprintf("has %d bytes, at most %d", len(text), MaxDocumentBytes)}
	}
	var problems problemList
	root := parseNode(text, &problems)
	if err := problems.err(); err != nil {
		return nil, &patch.FieldError{Reason: err.Error()}
	}
	if err := checkChangeFields(root); err != nil {
		return nil, err
	}
	var written changeText
	if err := root.Decode(&written); err != nil {
		return nil, &patch.FieldError{Reason: err.Error()}
	}
	change, err := written.translate()
	if err != nil {
		return nil, err
	}
	return change, change.Validate()
}

// checkChangeFields rejects unknown fields and sections, which Decode would ignore.
func checkChangeFields(root *yaml.Node) error {
	if root.Kind != yaml.MappingNode {
		return &patch.FieldError{Reason: "must be a mapping, is " + describeKind(root)}
	}
	for i := 0; i+1 < len(root.Content); i += 2 {
		field := root.Content[i].Value
		if field != "upsert" && field != "remove" {
			return &patch.FieldError{Field: field, Reason: "unknown field"}
		}
		if err := checkChangeSections(field, root.Content[i+1]); err != nil {
			return err
		}
	}
	return nil
}

func checkChangeSections(field string, sections *yaml.Node) error {
	for i := 0; i+1 < len(sections.Content); i += 2 {
		name := sections.Content[i].Value
		if !slices.Contains(changeSections, name) {
			return &patch.FieldError{Field: field + "." + name, Reason: "unknown section"}
		}
	}
	return nil
}

// translate returns the change with its sections and items in a fixed order.
func (t *changeText) translate() (*patch.Change, error) {
	change := &patch.Change{}
	for _, name := range changeSections {
		section := patch.Section{Name: name, Remove: t.Remove[name]}
		for item, node := range sorted(t.Upsert[name]) {
			value, err := yaml.Marshal(&node)
			if err != nil {
				return nil, &patch.FieldError{Field: joinPath("upsert."+name, item), Reason: err.Error()}
			}
			section.Upsert = append(section.Upsert, patch.Item{Name: item, Value: string(value)})
		}
		if len(section.Upsert)+len(section.Remove) > 0 {
			change.Sections = append(change.Sections, section)
		}
	}
	return change, nil
}
