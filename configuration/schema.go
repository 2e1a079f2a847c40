package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/invopop/jsonschema"
)

// JSONSchema returns the JSON schema of documents, for use by editors. It covers fields,
// types and ranges, but not references between names, which only Validate checks.
func JSONSchema() ([]byte, error) {
	reflector := &jsonschema.Reflector{Anonymous: true}
	schema := reflector.Reflect(&Document{})
	schema.Title = "deckpulley configuration"
	data, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("generating the JSON schema: %w", err)
	}
	return append(data, '\n'), nil
}
