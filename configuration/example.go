package configuration

import "github.com/deckpulley/deckpulley/examples"

// Example returns the text of the example document of a deployment.
func Example(deployment string) (string, error) {
	return examples.Configuration(deployment)
}
