package soak

import (
	"encoding/json"
	"os"
)

// ReplaceSettings writes settings to a file, which it replaces as a whole: a process that is
// starting ends if it reads half of it.
func ReplaceSettings(path string, settings any) error {
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}
