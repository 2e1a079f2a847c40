package configuration

import "github.com/deckpulley/deckpulley/examples"

// Example returns the text of the example document of a deployment. The error for an
// unknown deployment lists the deployments that have one.
func Example(deployment string) (string, error) {
	return examples.Configuration(deployment)
}
