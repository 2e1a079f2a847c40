// Package patch changes named items of a document and leaves the rest as
// its author wrote it: items are added, replaced or removed by their names. It is
// pure, and knows no document's meaning: whoever applies a change judges the
// result.
//
// Removing a name that the document does not have is ignored, as RFC 2136
// (section 3.4.2.3) does with records: a condition belongs into the version that
// the change is built on.
package patch

import "fmt"

// MaxItems bounds the items that one change names.
const MaxItems = 50_000

// Item is one named item with its value as the author wrote it.
type Item struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Section is what a change does to one section of a document.
type Section struct {
	Name string `cbor:"1,keyasint"`
	// Upsert are the items to add, or to put in the place of those of their names.
	Upsert []Item `cbor:"2,keyasint,omitempty"`
	// Remove names the items to remove.
	Remove []string `cbor:"3,keyasint,omitempty"`
}

// Change changes sections of a document. One without items changes nothing.
type Change struct {
	Sections []Section `cbor:"1,keyasint,omitempty"`
}

// FieldError is why a change or its result cannot be used. Field names the place.
type FieldError struct {
	Field  string
	Reason string
}

func (p *FieldError) Error() string { return fmt.Sprintf("change: %s: %s", p.Field, p.Reason) }

// Validate returns a *Problem for the first thing wrong with the form of the
// change: a name that is empty, stands twice, or is to be both kept and removed.
func (c *Change) Validate() error {
	sections := make(map[string]bool, len(c.Sections))
	items := 0
	for i := range c.Sections {
		section := &c.Sections[i]
		if section.Name == "" || sections[section.Name] {
			return &FieldError{Field: section.Name, Reason: "sections need names of their own"}
		}
		sections[section.Name] = true
		items += len(section.Upsert) + len(section.Remove)
		if err := section.validate(); err != nil {
			return err
		}
	}
	if items > MaxItems {
		return &FieldError{Field: "change", Reason: fmt.Sprintf("names %d items, at most %d", items, MaxItems)}
	}
	return nil
}

func (s *Section) validate() error {
	const kept, removed = 1, 2
	seen := make(map[string]int, len(s.Upsert)+len(s.Remove))
	note := func(field, name string, use int) error {
		switch {
		case name == "":
			return &FieldError{Field: field, Reason: "has no name"}
		case seen[name] == use:
			return &FieldError{Field: field, Reason: fmt.Sprintf("%q stands twice", name)}
		case seen[name] != 0:
			return &FieldError{Field: field, Reason: fmt.Sprintf("%q is upserted as well", name)}
		}
		seen[name] = use
		return nil
	}
	for i, item := range s.Upsert {
		if err := note(fmt.Sprintf("upsert.%s[%d]", s.Name, i), item.Name, kept); err != nil {
			return err
		}
	}
	for i, name := range s.Remove {
		if err := note(fmt.Sprintf("remove.%s[%d]", s.Name, i), name, removed); err != nil {
			return err
		}
	}
	return nil
}

// upserts are a section's items to add or replace, by name.
func (s *Section) upserts() map[string]string {
	values := make(map[string]string, len(s.Upsert))
	for _, item := range s.Upsert {
		values[item.Name] = item.Value
	}
	return values
}

// removals are the names to remove.
func (s *Section) removals() map[string]bool {
	names := make(map[string]bool, len(s.Remove))
	for _, name := range s.Remove {
		names[name] = true
	}
	return names
}
