package patch

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// ApplyYAML applies a valid change to a YAML or JSON document whose sections are
// mappings from names to items. A section's name is its path, joined by dots:
// "http.routes". Comments and the order of items that are not named are preserved. The
// error is a *FieldError.
func ApplyYAML(document string, change *Change) (string, error) {
	var root yaml.Node
	if err := yaml.Unmarshal([]byte(document), &root); err != nil {
		return "", &FieldError{Field: "document", Reason: err.Error()}
	}
	if root.Kind != yaml.DocumentNode || len(root.Content) != 1 {
		return "", &FieldError{Field: "document", Reason: "is empty"}
	}
	for i := range change.Sections {
		if err := change.Sections[i].applyToMapping(root.Content[0]); err != nil {
			return "", err
		}
	}
	text, err := yaml.Marshal(&root)
	if err != nil {
		return "", &FieldError{Field: "document", Reason: err.Error()}
	}
	return string(text), nil
}

func (s *Section) applyToMapping(root *yaml.Node) error {
	if s.isEmpty() {
		return nil
	}
	section := root
	for _, step := range strings.Split(s.Name, ".") {
		next, err := findOrAddChild(section, step)
		if err != nil {
			return &FieldError{Field: s.Name, Reason: err.Error()}
		}
		section = next
	}
	if section.Kind != yaml.MappingNode {
		return &FieldError{Field: s.Name, Reason: "is not a mapping"}
	}
	removeKeys(section, s.removals())
	for _, item := range s.Upsert {
		if err := setKey(section, item); err != nil {
			return &FieldError{Field: fmt.Sprintf("upsert.%s.%s", s.Name, item.Name), Reason: err.Error()}
		}
	}
	return nil
}

// findOrAddChild returns the value of a key of a mapping. If the key is missing, it
// appends the key with an empty mapping.
func findOrAddChild(parent *yaml.Node, name string) (*yaml.Node, error) {
	if parent.Kind != yaml.MappingNode {
		return nil, fmt.Errorf("the parent of %q is not a mapping", name)
	}
	if at := keyIndex(parent, name); at >= 0 {
		return parent.Content[at+1], nil
	}
	created := &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map"}
	parent.Content = append(parent.Content, keyNode(name), created)
	return created, nil
}

func keyNode(name string) *yaml.Node {
	key := &yaml.Node{}
	key.SetString(name)
	return key
}

// keyIndex returns the index of a key among a mapping's nodes, -1 if it is missing. The
// value of the key is the next node.
func keyIndex(mapping *yaml.Node, name string) int {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == name {
			return i
		}
	}
	return -1
}

func removeKeys(mapping *yaml.Node, removed map[string]bool) {
	remaining := mapping.Content[:0]
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if !removed[mapping.Content[i].Value] {
			remaining = append(remaining, mapping.Content[i], mapping.Content[i+1])
		}
	}
	mapping.Content = remaining
}

// setKey adds an item to a mapping or replaces the item of the same name.
func setKey(mapping *yaml.Node, item Item) error {
	var value yaml.Node
	if err := yaml.Unmarshal([]byte(item.Value), &value); err != nil {
		return err
	}
	if value.Kind != yaml.DocumentNode || len(value.Content) != 1 {
		return fmt.Errorf("%q has no value", item.Name)
	}
	if at := keyIndex(mapping, item.Name); at >= 0 {
		mapping.Content[at+1] = value.Content[0]
		return nil
	}
	mapping.Content = append(mapping.Content, keyNode(item.Name), value.Content[0])
	return nil
}
