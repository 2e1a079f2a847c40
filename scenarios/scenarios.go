// Package scenarios embeds the shipped fault scenarios. Package internal/scenario
// parses and runs them.
package scenarios

import (
	"embed"
	"io/fs"
)

// Files contains the scenarios of the fault suite, one per file.
//
//go:embed *.yaml
var Files embed.FS

//go:embed planted/*.yaml
var planted embed.FS

// Planted returns the folder of the short scenarios in which the planted defects
// show up.
func Planted() fs.FS {
	folder, err := fs.Sub(planted, "planted")
	if err != nil {
		panic("scenarios: " + err.Error()) // cannot happen: the name is a valid constant
	}
	return folder
}
