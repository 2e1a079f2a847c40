// Package patch adds, replaces and removes named items of a document, and leaves the
// rest of the document as its author wrote it. Its functions are pure and do not
// interpret the document: the caller validates the result.
//
// The removal of a name that the document does not have is ignored, as RFC 2136
// (section 3.4.2.3) does with records. A change that depends on the current content has
// to state the version of the document that it is based on.
package patch

import "fmt"

// MaxItems bounds the number of items that one change names.
const MaxItems = 50_000

// Item is one named item with its value as the author wrote it.
type Item struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Section lists the changes to one section of a document.
type Section struct {
	Name string `cbor:"1,keyasint"`
	// Upsert are the items to add. An item replaces an existing one of the same name.
	Upsert []Item `cbor:"2,keyasint,omitempty"`
	// Remove are the names of the items to remove.
	Remove []string `cbor:"3,keyasint,omitempty"`
}

// Change is a change of sections of a document. Without items it changes nothing.
type Change struct {
	Sections []Section `cbor:"1,keyasint,omitempty"`
}

// FieldError reports why a change, or a document to which it is applied, is invalid.
// Field is the path of the invalid part.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns a message with the field and the reason.
func (e *FieldError) Error() string { return fmt.Sprintf("change: %s: %s", e.Field, e.Reason) }

// Validate returns a *FieldError for the first invalid part of the change: a name that
// is empty, is listed twice, or is both upserted and removed, or too many items.
func (c *Change) Validate() error {
	sections := make(map[string]bool, len(c.Sections))
	items := 0
	for i := range c.Sections {
		section := &c.Sections[i]
		if section.Name == "" || sections[section.Name] {
			return &FieldError{Field: section.Name, Reason: "section name is empty or repeated"}
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

// operation is the operation of a section on one item.
type operation int

const (
	operationNone operation = iota
	operationUpsert
	operationRemove
)

func (s *Section) validate() error {
	operations := make(map[string]operation, len(s.Upsert)+len(s.Remove))
	for i, item := range s.Upsert {
		if reason := addOperation(operations, item.Name, operationUpsert); reason != "" {
			return &FieldError{Field: fmt.Sprintf("upsert.%s[%d]", s.Name, i), Reason: reason}
		}
	}
	for i, name := range s.Remove {
		if reason := addOperation(operations, name, operationRemove); reason != "" {
			return &FieldError{Field: fmt.Sprintf("remove.%s[%d]", s.Name, i), Reason: reason}
		}
	}
	return nil
}

// addOperation records the operation on a name. It returns the reason why the operation
// is invalid, "" if it is valid.
func addOperation(operations map[string]operation, name string, added operation) string {
	switch {
	case name == "":
		return "name is empty"
	case operations[name] == added:
		return fmt.Sprintf("%q is listed twice", name)
	case operations[name] != operationNone:
		return fmt.Sprintf("%q is also upserted", name)
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
