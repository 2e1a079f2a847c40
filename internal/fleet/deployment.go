// Package fleet runs a complete deployment on one machine as ordinary processes on
// loopback addresses: three control nodes, eight gateways, stand-ins for the replicas
// and for the platform. It writes their settings, keys and tokens into a run folder
// and ends every process that it started.
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

// RegionPlan is the layout of one region, which has one zone.
type RegionPlan struct {
	Name string
	Zone string
	// Gateways, Models and Webs are numbers of gateways, of model replicas and of
	// replicas of the web service.
	Gateways int
	Models   int
	Webs     int
}

// Deployment is the layout of a deployment with its configuration.
type Deployment struct {
	Name    string
	Regions []RegionPlan
	// ModelService and WebService are names of services in the configuration.
	ModelService string
	WebService   string
	// Document is the text of the configuration.
	Document string
}

// modelCounts are the numbers of model replicas by deployment, in the order of the
// regions.
var modelCounts = map[string][]int{
	"kodovka": {5, 4, 3},
	"georgia": {4, 3, 2},
}

// The regions and their numbers of gateways and of replicas of the web service are the
// same in each deployment.
var (
	regionNames   = []string{"north", "central", "south"}
	gatewayCounts = []int{3, 3, 2}
)

const websPerRegion = 1

// Deployments returns the names that LoadDeployment knows, sorted.
func Deployments() []string {
	return slices.Sorted(maps.Keys(modelCounts))
}

// LoadDeployment returns a deployment with its example configuration.
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

// serviceOfKind returns the name of the one service of a kind.
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
