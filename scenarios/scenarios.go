// Package scenarios holds the shipped fault scenarios.
package scenarios

import (
	"embed"
	"io/fs"
)

// Files are the scenario files.
//
//go:embed *.yaml
var Files embed.FS

//go:embed planted/*.yaml
var planted embed.FS

// Planted are the short scenarios that show the planted defects.
func Planted() fs.FS {
	folder, err := fs.Sub(planted, "planted")
	if err != nil {
		panic("scenarios: " + err.Error()) // the name is a constant
	}
	return folder
}
