package registry

import (
	"bytes"
	"errors"
	"fmt"
)

// ErrSchema is wrapped by the errors of NewSchema.
var ErrSchema = errors.New("registry: invalid schema")

// TypeDeclaration declares one record type.
type TypeDeclaration struct {
	Type Type
	Name string // mnemonic, e.g. "ROUTE"
	// Singleton types have at most one record at a name: adding one replaces it, as
	// with SOA and CNAME (section 1.1.5).
	Singleton bool
	// Key, if set, extracts a key from the data: adding a record replaces one with an
	// equal key, as with WKS (section 1.1.5).
	Key func(data []byte) []byte
	// Check, if set, validates added data during the prescan (section 7.14). If it
	// fails, the update is answered with FormErr.
	Check func(data []byte) error
}

// Schema is the set of record types that a table recognizes (section 3.4.1.2).
type Schema struct {
	kinds map[Type]TypeDeclaration
}

// wksKeyBytes is the size of the address and protocol at the start of WKS data.
const wksKeyBytes = 5

// NewSchema returns a schema with NS, CNAME, SOA, WKS and the given kinds. It returns
// ErrSchema if a type is below FirstPrivateType, a name is empty, or a type or name is
// declared twice.
func NewSchema(kinds ...TypeDeclaration) (*Schema, error) {
	schema := &Schema{kinds: standardKinds()}
	names := map[string]bool{}
	for _, kind := range schema.kinds {
		names[kind.Name] = true
	}
	for _, kind := range kinds {
		if kind.Type < FirstPrivateType {
			return nil, fmt.Errorf("%w: type %d of %q is below %d", ErrSchema, kind.Type, kind.Name, FirstPrivateType)
		}
		if _, taken := schema.kinds[kind.Type]; taken {
			return nil, fmt.Errorf("%w: type %d is declared twice", ErrSchema, kind.Type)
		}
		if kind.Name == "" || names[kind.Name] {
			return nil, fmt.Errorf("%w: name %q of type %d is empty or already declared", ErrSchema, kind.Name, kind.Type)
		}
		names[kind.Name] = true
		schema.kinds[kind.Type] = kind
	}
	return schema, nil
}

// Kind returns the declaration of a type.
func (s *Schema) Kind(recordType Type) (TypeDeclaration, bool) {
	kind, known := s.kinds[recordType]
	return kind, known
}

// standardKinds declares the types for which the draft defines rules (section 1.1.5).
func standardKinds() map[Type]TypeDeclaration {
	return map[Type]TypeDeclaration{
		TypeNS:    {Type: TypeNS, Name: "NS"},
		TypeCNAME: {Type: TypeCNAME, Name: "CNAME", Singleton: true},
		TypeSOA:   {Type: TypeSOA, Name: "SOA", Singleton: true, Check: checkSOAData},
		TypeWKS:   {Type: TypeWKS, Name: "WKS", Key: wksKey, Check: checkWKS},
	}
}

func wksKey(data []byte) []byte {
	return data[:min(wksKeyBytes, len(data))]
}

func checkWKS(data []byte) error {
	if len(data) < wksKeyBytes {
		return fmt.Errorf("registry: WKS data has %d octets, at least %d required", len(data), wksKeyBytes)
	}
	return nil
}

func checkSOAData(data []byte) error {
	_, err := decodeSOA(data)
	return err
}

// replaces reports whether added data replaces existing data (section 1.1.5).
func (k TypeDeclaration) replaces(existing, data []byte) bool {
	if k.Singleton {
		return true
	}
	if k.Key != nil && bytes.Equal(k.Key(existing), k.Key(data)) {
		return true
	}
	return bytes.Equal(existing, data)
}
