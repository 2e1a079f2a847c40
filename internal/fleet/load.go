package fleet

import (
	"fmt"
	"sort"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// Profile is the deployment's traffic in the names of its configuration: its
// regions, home rules, client groups, routes and services.
func (d Deployment) Profile() (*workload.Profile, error) {
	profile, err := workload.ByName(d.Name)
	if err != nil {
		return nil, err
	}
	var document configuration.Document
	if err := yaml.Unmarshal([]byte(d.Document), &document); err != nil {
		return nil, fmt.Errorf("parsing the configuration of %s: %w", d.Name, err)
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
	if profile.Clients, err = clientPrefix(document, d.Regions); err != nil {
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
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// clientPrefix is what the client groups' names have before the region's.
func clientPrefix(document configuration.Document, regions []RegionPlan) (string, error) {
	for _, name := range sortedNames(document.Clients) {
		for _, plan := range regions {
			if prefix, ok := strings.CutSuffix(name, plan.Name); ok {
				return prefix, nil
			}
		}
	}
	return "", fmt.Errorf("no client group is named after a region")
}

func routeOfClass(document configuration.Document, class string) (model, service string, err error) {
	for _, name := range sortedNames(document.Routes) {
		if document.Routes[name].Class == class {
			return name, document.Routes[name].Service, nil
		}
	}
	return "", "", fmt.Errorf("the configuration has no route of class %s", class)
}
