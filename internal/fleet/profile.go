package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// Profile returns the deployment's traffic profile, with the regions, homes, client groups,
// routes and services named as in its configuration.
func (d Deployment) Profile() (*workload.Profile, error) {
	profile, err := workload.ByName(d.Name)
	if err != nil {
		return nil, err
	}
	document, err := d.parseDocument()
	if err != nil {
		return nil, err
	}
	profile.Regions = nil
	for _, plan := range d.Regions {
		profile.Regions = append(profile.Regions, workload.Region{
			Name: plan.Name, Zone: plan.Zone, ModelReplicas: plan.Models, WebReplicas: plan.Webs, ClientShare: 1,
		})
	}
	profile.Homes = nil
	for _, name := range sortedNames(document.Homes) {
		profile.Homes = append(profile.Homes, workload.Home{Name: name, Regions: document.Homes[name]})
	}
	if profile.ClientPrefix, err = clientPrefix(document, d.Regions); err != nil {
		return nil, err
	}
	for i := range profile.Mixes {
		mix := &profile.Mixes[i]
		if mix.Model, mix.Service, err = routeOfClass(document, string(mix.Class)); err != nil {
			return nil, err
		}
	}
	return profile, nil
}

func sortedNames[Value any](values map[string]Value) []string {
	return slices.Sorted(maps.Keys(values))
}

// clientPrefix returns the prefix that precedes the region name in the names of client
// groups.
func clientPrefix(document configuration.Document, regions []RegionPlan) (string, error) {
	for _, name := range sortedNames(document.Clients) {
		for _, plan := range regions {
			if prefix, ok := strings.CutSuffix(name, plan.Name); ok {
				return prefix, nil
			}
		}
	}
	return "", errors.New("no client group is named after a region")
}

// routeOfClass returns the model and the service of the first route, by model name, of the
// given class.
func routeOfClass(document configuration.Document, class string) (model, service string, err error) {
	for _, name := range sortedNames(document.Routes) {
		if document.Routes[name].Class == class {
			return name, document.Routes[name].Service, nil
		}
	}
	return "", "", fmt.Errorf("the configuration has no route of class %s", class)
}
