package fleet

import (
	"errors"
	"fmt"
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/deckpulley/deckpulley/configuration"
)

// parseDocument parses the text of the configuration.
func (d Deployment) parseDocument() (configuration.Document, error) {
	var document configuration.Document
	if err := yaml.Unmarshal([]byte(d.Document), &document); err != nil {
		return configuration.Document{}, fmt.Errorf("parsing the configuration of %s: %w", d.Name, err)
	}
	return document, nil
}

// homes returns the home rules of the configuration: the allowed regions by home name.
func (d Deployment) homes() map[string][]string {
	document, err := d.parseDocument()
	if err != nil {
		return nil
	}
	return document.Homes
}

// SpareZone returns the smallest zone that is not the only home of any request. All
// requests can be served while this zone is evacuated.
func (d Deployment) SpareZone() string {
	required := map[string]bool{} // by region
	for _, regions := range d.homes() {
		if len(regions) == 1 {
			required[regions[0]] = true
		}
	}
	for _, plan := range slices.Backward(d.Regions) {
		if !required[plan.Name] {
			return plan.Zone
		}
	}
	return d.Regions[len(d.Regions)-1].Zone
}

// WithRoute returns the configuration text with an additional route from model to the web
// service.
func (d Deployment) WithRoute(model string) (string, error) {
	return addRoute(d.Document, model, d.WebService)
}

// WithBadRoute returns the configuration text with an additional route to a service that
// does not exist, which validation rejects.
func (d Deployment) WithBadRoute(model string) (string, error) {
	return addRoute(d.Document, model, missingService)
}

var errNoRoutes = errors.New("the configuration has no routes")

const (
	missingService = "no-such-service"
	routesField    = "routes"
	// addedClass is the class of an added route.
	addedClass = "fetch"
)

// addRoute edits the YAML node tree of the text, which preserves comments.
func addRoute(text, model, service string) (string, error) {
	var document yaml.Node
	if err := yaml.Unmarshal([]byte(text), &document); err != nil {
		return "", fmt.Errorf("parsing the configuration: %w", err)
	}
	routes, err := routesOf(&document)
	if err != nil {
		return "", err
	}
	route := &yaml.Node{Kind: yaml.MappingNode}
	route.Content = []*yaml.Node{scalar("service"), scalar(service), scalar("class"), scalar(addedClass)}
	routes.Content = append(routes.Content, scalar(model), route)
	changed, err := yaml.Marshal(&document)
	if err != nil {
		return "", fmt.Errorf("encoding the configuration: %w", err)
	}
	return string(changed), nil
}

// routesOf returns the mapping node of the routes. The content of a mapping node alternates
// between keys and values.
func routesOf(document *yaml.Node) (*yaml.Node, error) {
	if len(document.Content) == 0 {
		return nil, errNoRoutes
	}
	fields := document.Content[0].Content
	for i := 0; i+1 < len(fields); i += 2 {
		if fields[i].Value == routesField {
			return fields[i+1], nil
		}
	}
	return nil, errNoRoutes
}

func scalar(value string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Value: value}
}
