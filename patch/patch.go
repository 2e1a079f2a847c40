// Package patch changes named items of a document and leaves the rest as its
// author wrote it: items are added, replaced or removed by name. It is pure, and
// knows nothing of a document's meaning: whoever applies a change validates the
// result.
//
// Removing a name that the document does not have is ignored, as RFC 2136
// (section 3.4.2.3) does with records: a condition belongs into the version that
// the change is built on.
package patch

import "fmt"

// MaxItems limits the items that one change names.
const MaxItems = 50_000

// Item is one named item with its value as the author wrote it.
type Item struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Section is what a change does to one section of a document.
type Section struct {
	Name string `cbor:"1,keyasint"`
	// Upsert are the items to add, or to replace those of the same names with.
	Upsert []Item `cbor:"2,keyasint,omitempty"`
	// Remove names the items to remove.
	Remove []string `cbor:"3,keyasint,omitempty"`
}

// Change changes sections of a document. One without items changes nothing.
type Change struct {
	Sections []Section `cbor:"1,keyasint,omitempty"`
}

// FieldError reports why a change or its result is invalid. Field is the path to
// the invalid part.
type FieldError struct {
	Field  string
	Reason string
}

// Error names the field and the reason.
func (e *FieldError) Error() string { return fmt.Sprintf("change: %s: %s", e.Field, e.Reason) }

// Validate returns a *FieldError for the first invalid part of the change: a name
// that is empty, is listed twice, or is to be both upserted and removed.
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

// operation is what a section does to one item.
type operation int

const (
	operationNone operation = iota
	operationUpsert
	operationRemove
)

func (s *Section) validate() error {
	operations := make(map[string]operation, len(s.Upsert)+len(s.Remove))
	for i, item := range s.Upsert {
		if reason := add(operations, item.Name, operationUpsert); reason != "" {
			return &FieldError{Field: fmt.Sprintf("upsert.%s[%d]", s.Name, i), Reason: reason}
		}
	}
	for i, name := range s.Remove {
		if reason := add(operations, name, operationRemove); reason != "" {
			return &FieldError{Field: fmt.Sprintf("remove.%s[%d]", s.Name, i), Reason: reason}
		}
	}
	return nil
}

// add records the operation on a name and returns why it is invalid, "" if it is
// valid.
func add(operations map[string]operation, name string, added operation) string {
	switch {
	case name == "":
		return "has no name"
	case operations[name] == added:
		return fmt.Sprintf("%q stands twice", name)
	case operations[name] != operationNone:
		return fmt.Sprintf("%q is upserted as well", name)
	}
	operations[name] = added
	return ""
}

// isEmpty reports whether the section changes nothing.
func (s *Section) isEmpty() bool { return len(s.Upsert)+len(s.Remove) == 0 }

// upserts returns the values to add or replace, by name.
func (s *Section) upserts() map[string]string {
	values := make(map[string]string, len(s.Upsert))
	for _, item := range s.Upsert {
		values[item.Name] = item.Value
	}
	return values
}

// removals returns the set of names to remove.
func (s *Section) removals() map[string]bool {
	names := make(map[string]bool, len(s.Remove))
	for _, name := range s.Remove {
		names[name] = true
	}
	return names
}
