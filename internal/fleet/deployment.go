// Package fleet runs a complete deployment on one machine as ordinary processes on
// loopback addresses: three control nodes, eight gateways, and test doubles (stand-ins)
// for the replicas and the platform. It writes their settings, keys and tokens to a run
// folder and terminates every process that it started.
package fleet

import (
	"fmt"
	"maps"
	"slices"

	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/examples"
)

// Kinds of services in the configuration.
const (
	KindModel = "model"
	KindWeb   = "web"
)

// RegionPlan describes one region, which consists of a single zone.
type RegionPlan struct {
	Name string
	Zone string
	// Gateways, Models and Webs are the numbers of gateways, model replicas and web
	// service replicas.
	Gateways int
	Models   int
	Webs     int
}

// Deployment describes the regions and the configuration of a deployment.
type Deployment struct {
	Name    string
	Regions []RegionPlan
	// ModelService and WebService are the names of the model service and the web service
	// in the configuration.
	ModelService string
	WebService   string
	// Document is the configuration as YAML text.
	Document string
}

// modelCounts holds the number of model replicas per region, in the order of regionNames,
// by deployment name.
var modelCounts = map[string][]int{
	"kodovka": {5, 4, 3},
	"georgia": {4, 3, 2},
}

// All deployments have the same regions, with the same numbers of gateways and web service
// replicas.
var (
	regionNames   = []string{"north", "central", "south"}
	gatewayCounts = []int{3, 3, 2}
)

const websPerRegion = 1

// Deployments returns the names that LoadDeployment accepts, sorted.
func Deployments() []string {
	return slices.Sorted(maps.Keys(modelCounts))
}

// LoadDeployment returns the named deployment with its example configuration.
func LoadDeployment(name string) (Deployment, error) {
	counts, ok := modelCounts[name]
	if !ok {
		return Deployment{}, fmt.Errorf("unknown deployment %q: must be one of %v", name, Deployments())
	}
	text, err := examples.Configuration(name)
	if err != nil {
		return Deployment{}, err
	}
	deployment := Deployment{Name: name, Document: text}
	for i, region := range regionNames {
		deployment.Regions = append(deployment.Regions, RegionPlan{
			Name: region, Zone: region + "-1", Gateways: gatewayCounts[i], Models: counts[i], Webs: websPerRegion,
		})
	}
	document, err := deployment.parseDocument()
	if err != nil {
		return Deployment{}, err
	}
	if deployment.ModelService, err = serviceOfKind(document, KindModel); err != nil {
		return Deployment{}, err
	}
	if deployment.WebService, err = serviceOfKind(document, KindWeb); err != nil {
		return Deployment{}, err
	}
	return deployment, nil
}

// serviceOfKind returns the name of the only service of the given kind. It fails unless
// there is exactly one.
func serviceOfKind(document configuration.Document, kind string) (string, error) {
	var names []string
	for name, service := range document.Services {
		if service.Kind == kind {
			names = append(names, name)
		}
	}
	if len(names) != 1 {
		return "", fmt.Errorf("the configuration has %d services of kind %s, want exactly one", len(names), kind)
	}
	return names[0], nil
}
