// Package scenarios embeds the shipped fault scenarios; package internal/scenario
// reads them.
package scenarios

import (
	"embed"
	"io/fs"
)

// Files holds the scenarios of the fault suite, one file each.
//
//go:embed *.yaml
var Files embed.FS

//go:embed planted/*.yaml
var planted embed.FS

// Planted returns the folder of the short scenarios that show the planted defects.
func Planted() fs.FS {
	folder, err := fs.Sub(planted, "planted")
	if err != nil {
		panic("scenarios: " + err.Error()) // impossible: the name is a valid constant
	}
	return folder
}
