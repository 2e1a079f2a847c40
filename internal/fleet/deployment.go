// Package fleet runs a whole deployment on one machine as plain processes on
// loopback addresses: three control nodes, eight gateways, stand-ins for the
// replicas and for the platform. It writes their settings, keys and tokens into
// a run folder and ends everything that it started.
package fleet

import (
	"errors"
	"fmt"
	"sort"

	"go.yaml.in/yaml/v3"

	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/examples"
)

// Kinds of services.
const (
	KindModel = "model"
	KindWeb   = "web"
)

// RegionPlan says what stands in one region of one zone.
type RegionPlan struct {
	Name     string
	Zone     string
	Gateways int
	Models   int
	Webs     int
}

// Deployment is one of the deployments of today.
type Deployment struct {
	Name    string
	Regions []RegionPlan
	// ModelService and WebService are the names in the configuration.
	ModelService string
	WebService   string
	// Document is the text of the configuration.
	Document string
}

// modelCounts are the model replicas per region; each region has one replica of
// the web service.
var modelCounts = map[string][]int{
	"kodovka": {5, 4, 3},
	"georgia": {4, 3, 2},
}

var (
	regionNames   = []string{"north", "central", "south"}
	gatewayCounts = []int{3, 3, 2}
)

// Deployments lists the names that LoadDeployment knows.
func Deployments() []string {
	var names []string
	for name := range modelCounts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// LoadDeployment takes a deployment with its example configuration.
func LoadDeployment(name string) (Deployment, error) {
	counts, ok := modelCounts[name]
	if !ok {
		return Deployment{}, fmt.Errorf("unknown deployment %q: one of %v", name, Deployments())
	}
	text, err := examples.Configuration(name)
	if err != nil {
		return Deployment{}, err
	}
	deployment := Deployment{Name: name, Document: text}
	for i, region := range regionNames {
		deployment.Regions = append(deployment.Regions, RegionPlan{
			Name: region, Zone: region + "-1", Gateways: gatewayCounts[i], Models: counts[i], Webs: 1,
		})
	}
	var document configuration.Document
	if err := yaml.Unmarshal([]byte(text), &document); err != nil {
		return Deployment{}, fmt.Errorf("parsing the configuration of %s: %w", name, err)
	}
	if deployment.ModelService, err = serviceOfKind(document, KindModel); err != nil {
		return Deployment{}, err
	}
	if deployment.WebService, err = serviceOfKind(document, KindWeb); err != nil {
		return Deployment{}, err
	}
	return deployment, nil
}

func serviceOfKind(document configuration.Document, kind string) (string, error) {
	var names []string
	for name, service := range document.Services {
		if service.Kind == kind {
			names = append(names, name)
		}
	}
	if len(names) != 1 {
		return "", fmt.Errorf("the configuration has %d services of kind %s, not one", len(names), kind)
	}
	return names[0], nil
}

// Homes are the home rules of the configuration.
func (d Deployment) Homes() map[string][]string {
	var document configuration.Document
	if yaml.Unmarshal([]byte(d.Document), &document) != nil {
		return nil
	}
	return document.Homes
}

// SpareZone is the smallest zone that no home rule depends on alone: with it
// evacuated, everything can still be served.
func (d Deployment) SpareZone() string {
	only := map[string]bool{}
	for _, regions := range d.Homes() {
		if len(regions) == 1 {
			only[regions[0]] = true
		}
	}
	for i := len(d.Regions) - 1; i >= 0; i-- {
		if !only[d.Regions[i].Name] {
			return d.Regions[i].Zone
		}
	}
	return d.Regions[len(d.Regions)-1].Zone
}

// WithRoute returns the configuration's text with one more route to the web
// service.
func (d Deployment) WithRoute(model string) (string, error) {
	return addRoute(d.Document, model, d.WebService)
}

// WithBadRoute returns the text with a route to a service that does not exist.
func (d Deployment) WithBadRoute(model string) (string, error) {
	return addRoute(d.Document, model, "no-such-service")
}

var errNoRoutes = errors.New("the configuration has no routes")

func addRoute(text, model, service string) (string, error) {
	var document yaml.Node
	if err := yaml.Unmarshal([]byte(text), &document); err != nil {
		return "", fmt.Errorf("parsing the configuration: %w", err)
	}
	if len(document.Content) == 0 {
		return "", errNoRoutes
	}
	root := document.Content[0]
	for i := 0; i+1 < len(root.Content); i += 2 {
		if root.Content[i].Value != "routes" {
			continue
		}
		entry := &yaml.Node{Kind: yaml.MappingNode}
		entry.Content = []*yaml.Node{scalar("service"), scalar(service), scalar("class"), scalar("fetch")}
		routes := root.Content[i+1]
		routes.Content = append(routes.Content, scalar(model), entry)
		changed, err := yaml.Marshal(&document)
		if err != nil {
			return "", fmt.Errorf("writing the configuration: %w", err)
		}
		return string(changed), nil
	}
	return "", errNoRoutes
}

func scalar(value string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Value: value}
}
