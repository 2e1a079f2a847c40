// Package examples embeds the example configuration of each deployment.
package examples

import (
	"embed"
	"fmt"
)

//go:embed *.yaml
var files embed.FS

// Deployments returns the names of the deployments that Configuration accepts.
func Deployments() []string { return []string{"kodovka", "georgia"} }

// Configuration returns the YAML text of a deployment's example configuration.
func Configuration(deployment string) (string, error) {
	text, err := files.ReadFile(deployment + ".yaml")
	if err != nil {
		return "", fmt.Errorf("unknown deployment %q, must be one of %q", deployment, Deployments())
	}
	return string(text), nil
}
