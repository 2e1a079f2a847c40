package results

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// Save writes a record to a file. It creates the file's folder if necessary.
func Save(path string, record Record) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("saving the record: %w", err)
	}
	text, err := json.MarshalIndent(record, "", "  ")
	if err != nil {
		return fmt.Errorf("encoding the record: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("saving the record: %w", err)
	}
	return nil
}

// Load reads a record that Save wrote.
func Load(path string) (Record, error) {
	var record Record
	text, err := os.ReadFile(path)
	if err != nil {
		return record, fmt.Errorf("loading a record: %w", err)
	}
	if err := json.Unmarshal(text, &record); err != nil {
		return record, fmt.Errorf("loading %s: %w", path, err)
	}
	return record, nil
}
