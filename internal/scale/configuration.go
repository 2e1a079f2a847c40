package scale

import (
	"fmt"

	"go.yaml.in/yaml/v3"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/configuration"
)

// Sizes of the configuration used in measurements. The numbers of regions, zones and
// models are those of the target size.
const (
	regionCount  = 50
	zoneCount    = 102
	modelCount   = 28
	tenantCount  = 1000
	clientCount  = 100
	spillTargets = 3
)

func regionName(index int) string  { return fmt.Sprintf("region-%02d", index) }
func zoneName(index int) string    { return fmt.Sprintf("zone-%03d", index) }
func serviceName(index int) string { return fmt.Sprintf("service-%02d", index) }
func modelName(index int) string   { return fmt.Sprintf("model-%02d", index) }

// regionOfZone returns the index of a zone's region. The zones are spread evenly over
// the regions.
func regionOfZone(zone int) int { return zone % regionCount }

// gatewayLocation returns the zone and region of the gateway with the given index.
func gatewayLocation(index int) (zone, region string) {
	zoneIndex := index % zoneCount
	return zoneName(zoneIndex), regionName(regionOfZone(zoneIndex))
}

// configurationText returns the configuration document of a step. The documents of
// consecutive steps differ in one field only, the weight of a route.
func configurationText(step int) (string, error) {
	document := configuration.Document{
		Regions:  make(map[string]configuration.Region),
		Services: make(map[string]configuration.Service),
		Routes:   make(map[string]configuration.Route),
		Clients:  make(map[string]string),
		Homes:    make(map[string][]string),
		Tenants:  make(map[string]configuration.Tenant),
	}
	for i := range regionCount {
		region := configuration.Region{Capacity: 10 + i}
		for zone := i; zone < zoneCount; zone += regionCount {
			region.Zones = append(region.Zones, zoneName(zone))
		}
		for target := 1; target <= spillTargets; target++ {
			region.Spill = append(region.Spill, regionName((i+target)%regionCount))
		}
		document.Regions[regionName(i)] = region
		document.Homes[fmt.Sprintf("home-%02d", i)] = []string{regionName(i)}
	}
	for i := range modelCount {
		document.Services[serviceName(i)] = configuration.Service{Kind: configuration.KindModel, MaxConcurrency: configuration.MaxConcurrency}
		document.Routes[modelName(i)] = configuration.Route{Service: serviceName(i), Class: string(api.ClassLong), Weight: 1}
	}
	changed := document.Routes[modelName(1)]
	changed.Weight = 1 + step%configuration.MaxWeight
	document.Routes[modelName(1)] = changed
	for i := range clientCount {
		document.Clients[fmt.Sprintf("clients-%03d", i)] = regionName(i % regionCount)
	}
	for i := range tenantCount {
		tenant := configuration.Tenant{Weight: 1}
		if i%10 == 0 {
			tenant.Home = fmt.Sprintf("home-%02d", i%regionCount)
		}
		document.Tenants[fmt.Sprintf("tenant-%05d", i)] = tenant
	}
	text, err := yaml.Marshal(document)
	return string(text), err
}

// replicaList returns a platform's list of replicas, spread over all zones. Their
// addresses are from the block reserved for documentation (RFC 5737), since no gateway
// of the measurement connects to them.
func replicaList(count int) api.ReplicaList {
	list := api.ReplicaList{Replicas: make([]api.ReplicaEntry, count)}
	for i := range list.Replicas {
		list.Replicas[i] = api.ReplicaEntry{
			ID:      fmt.Sprintf("replica-%05d", i),
			Service: serviceName(i % modelCount),
			Zone:    zoneName(i % zoneCount),
			Address: fmt.Sprintf("192.0.2.%d:%d", 1+i%250, 8000+i/250),
		}
	}
	return list
}
