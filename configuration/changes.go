package configuration

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

// ErrVersion means that the version of a configuration is not above the one in
// the table.
var ErrVersion = errors.New("configuration: version is not newer")

// UnchangedPrerequisite requires that the configuration is still the one in the view:
// of two updates built on the same view, the second fails.
func UnchangedPrerequisite(current registry.View) registry.Record {
	for _, record := range current.Lookup(catalog.ConfigurationName, catalog.TypeConfiguration) {
		return registry.Equals(record)
	}
	return registry.Absent(catalog.ConfigurationName, catalog.TypeConfiguration)
}

// Changes returns what turns the configuration in the view into the document.
// Records that already are as the document wants them are left alone, so the
// result grows with the difference. Evacuations stay with the zones that stay.
// The error is a *Problems, ErrVersion, or about a table that cannot be read.
func Changes(current registry.View, document *Document, version uint64, author, text string) ([]registry.Record, error) {
	if err := document.Validate(); err != nil {
		return nil, err
	}
	wanted := func(work *difference) { work.wantDocument(document) }
	return changes(current, wanted, version, author, text)
}

// RouteMapChanges is Changes for a map of routes by host and path. zones are the
// fleet's zones with their regions.
func RouteMapChanges(current registry.View, routes *routemap.Map, zones map[string]string, text string) ([]registry.Record, error) {
	if err := routes.Validate(); err != nil {
		return nil, err
	}
	wanted := func(work *difference) { work.wantMap(routes, zones) }
	return changes(current, wanted, routes.Version, "", text)
}

// changes collects what one configuration wants and drops what it leaves out.
func changes(current registry.View, wanted func(*difference), version uint64, author, text string) ([]registry.Record, error) {
	marker, err := currentMarker(current)
	if err != nil {
		return nil, err
	}
	if version <= marker.Version {
		return nil, fmt.Errorf("%w: %d, the table has %d", ErrVersion, version, marker.Version)
	}
	work := &difference{current: current, wanted: map[setName]bool{}, dropped: map[setName]bool{}}
	wanted(work)
	digests := work.wantText(text)
	work.want(catalog.ConfigurationRecord(catalog.Configuration{Version: version, Author: author, Chunks: digests}))
	work.dropUnwanted()
	work.dropText(marker.Chunks)
	return work.changes, nil
}

// wantMap requires the records of a map of routes, in a fixed order.
func (d *difference) wantMap(routes *routemap.Map, zones map[string]string) {
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		d.want(catalog.RegionRecord(zones[zone], catalog.Region{Capacity: 1}))
		d.want(catalog.ZoneRecord(zone, catalog.Zone{Region: zones[zone]}))
	}
	d.wantRoutes(routes)
}

// wantRoutes requires the records of services and routes by host and path.
func (d *difference) wantRoutes(routes *routemap.Map) {
	for _, service := range routes.Services {
		d.want(catalog.PoolRecord(service))
	}
	for _, route := range routes.Routes {
		d.want(catalog.PathRouteRecord(route))
	}
	d.want(catalog.RequestLimitsRecord(routes.Limits))
}

func currentMarker(current registry.View) (catalog.Configuration, error) {
	contents, err := catalog.ReadConfigurationHeader(current)
	if err != nil {
		return catalog.Configuration{}, fmt.Errorf("configuration: reading the current version: %w", err)
	}
	return contents, nil
}

// setName names one set of the table.
type setName struct {
	name registry.Name
	kind registry.Type
}

// difference collects the changes from a view to the records wanted.
type difference struct {
	current registry.View
	wanted  map[setName]bool
	dropped map[setName]bool
	changes []registry.Record
}

// want requires a record as the only one of its set.
func (d *difference) want(record registry.Record) {
	key := setName{record.Name, record.Type}
	if d.wanted[key] {
		return
	}
	d.wanted[key] = true
	held := d.current.Lookup(record.Name, record.Type)
	if len(held) == 1 && bytes.Equal(held[0].Data, record.Data) {
		return
	}
	d.changes = append(d.changes, registry.Add(record))
}

// wantDocument requires the records of every object, in a fixed order.
func (d *difference) wantDocument(document *Document) {
	for _, name := range slices.Sorted(maps.Keys(document.Regions)) {
		region := document.Regions[name]
		d.want(catalog.RegionRecord(name, catalog.Region{Spill: region.Spill, Capacity: region.Capacity}))
		for _, zone := range region.Zones {
			d.want(catalog.ZoneRecord(zone, catalog.Zone{Region: name}))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(document.Services)) {
		service := document.Services[name]
		d.want(catalog.ServiceRecord(name, catalog.Service{Kind: service.Kind, MaxConcurrency: service.MaxConcurrency}))
	}
	for _, name := range slices.Sorted(maps.Keys(document.Routes)) {
		route := document.Routes[name]
		d.want(catalog.RouteRecord(name, catalog.Route{
			Service: route.Service, Class: route.Class, Home: route.Home, Weight: weightOrDefault(route.Weight),
		}))
	}
	for _, name := range slices.Sorted(maps.Keys(document.Clients)) {
		d.want(catalog.ClientRecord(name, catalog.Client{Region: document.Clients[name]}))
	}
	for _, name := range slices.Sorted(maps.Keys(document.Homes)) {
		d.want(catalog.HomeRecord(name, catalog.Home{Regions: document.Homes[name]}))
	}
	for _, name := range slices.Sorted(maps.Keys(document.Tenants)) {
		tenant := document.Tenants[name]
		d.want(catalog.TenantRecord(name, catalog.Tenant{Home: tenant.Home, Weight: weightOrDefault(tenant.Weight)}))
	}
	d.want(catalog.LimitsRecord(catalog.Limits(document.Limits)))
	if !document.HTTP.empty() {
		d.wantRoutes(document.routeMap())
	}
}

// defaultWeight is the share of a route or tenant that names none.
const defaultWeight = 1

func weightOrDefault(weight int) int {
	if weight == 0 {
		return defaultWeight
	}
	return weight
}

// wantText requires the chunks of the text and returns their digests.
func (d *difference) wantText(text string) [][]byte {
	records, digests := catalog.ChunkRecords(text)
	for _, record := range records {
		d.want(record)
	}
	return digests
}

// dropText removes the chunks of the former text that the new one does not use.
func (d *difference) dropText(former [][]byte) {
	for _, name := range catalog.ChunkNames(former) {
		d.drop(name, catalog.TypeDocumentChunk)
	}
}

// dropUnwanted removes the objects that the document no longer has, and the
// evacuations of zones that go.
func (d *difference) dropUnwanted() {
	kinds := []registry.Type{
		catalog.TypeRegion, catalog.TypeZone, catalog.TypeService, catalog.TypeRoute,
		catalog.TypeClient, catalog.TypeHome, catalog.TypeTenant,
		catalog.TypePathRoute, catalog.TypePool,
	}
	for _, kind := range kinds {
		d.current.Walk(catalog.ParentName(kind), kind, func(record registry.Record) bool {
			d.drop(record.Name, kind)
			return true
		})
	}
	if len(d.current.Lookup(catalog.ConfigurationName, catalog.TypeRequestLimits)) > 0 {
		d.drop(catalog.ConfigurationName, catalog.TypeRequestLimits)
	}
	d.current.Walk(catalog.ParentName(catalog.TypeZone), catalog.TypeEvacuation, func(record registry.Record) bool {
		if !d.wanted[setName{record.Name, catalog.TypeZone}] {
			d.drop(record.Name, catalog.TypeEvacuation)
		}
		return true
	})
}

// drop removes one set, once, unless it is wanted.
func (d *difference) drop(name registry.Name, kind registry.Type) {
	key := setName{name, kind}
	if d.wanted[key] || d.dropped[key] {
		return
	}
	d.dropped[key] = true
	d.changes = append(d.changes, registry.DeleteSet(name, kind))
}
