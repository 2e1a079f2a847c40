// Package scenarios holds the shipped fault scenarios.
package scenarios

import "embed"

// Files are the scenario files.
//
//go:embed *.yaml
var Files embed.FS
