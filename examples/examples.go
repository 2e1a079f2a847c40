// Package examples holds the example configuration of each deployment.
package examples

import (
	"embed"
	"fmt"
)

//go:embed *.yaml
var files embed.FS

// Deployments lists the names that Configuration knows.
func Deployments() []string { return []string{"kodovka", "georgia"} }

// Configuration returns the text of a deployment's document.
func Configuration(deployment string) (string, error) {
	text, err := files.ReadFile(deployment + ".yaml")
	if err != nil {
		return "", fmt.Errorf("no example configuration of %q, there are %q", deployment, Deployments())
	}
	return string(text), nil
}
