package configuration

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

// ErrVersion means that the version of a configuration is not higher than the version in
// the registry.
var ErrVersion = errors.New("configuration: version is not newer")

// UnchangedPrerequisite returns the prerequisite that the configuration has not changed
// since the view. Of two updates based on the same view, the second then fails.
func UnchangedPrerequisite(current registry.View) registry.Record {
	for _, record := range current.Lookup(catalog.ConfigurationName, catalog.TypeConfiguration) {
		return registry.Equals(record)
	}
	return registry.Absent(catalog.ConfigurationName, catalog.TypeConfiguration)
}

// Changes returns the update section that replaces the configuration in the view by the
// document. It omits records that the view already has, so that its size is proportional
// to the difference. The evacuation of a zone remains if the document has the zone. The
// error is a *DocumentError, wraps ErrVersion, or reports a record that cannot be
// decoded.
func Changes(current registry.View, document *Document, version uint64, author, text string) ([]registry.Record, error) {
	if err := document.Validate(); err != nil {
		return nil, err
	}
	header := catalog.Configuration{Version: version, Author: author}
	return diff(current, header, text, func(changes *changeSet) { changes.requireDocument(document) })
}

// RouteMapChanges is like Changes for a map of routes by host and path. zones has the
// region of each of the fleet's zones. The error is that of the map's Validate, wraps
// ErrVersion, or reports a record that cannot be decoded.
func RouteMapChanges(current registry.View, routes *routemap.Map, zones map[string]string, text string) ([]registry.Record, error) {
	if err := routes.Validate(); err != nil {
		return nil, err
	}
	header := catalog.Configuration{Version: routes.Version}
	return diff(current, header, text, func(changes *changeSet) { changes.requireRouteMap(routes, zones) })
}

// diff returns the changes from the view to a configuration with the header, the text
// and the objects that requireObjects requires. All other configured objects in the view
// are removed.
func diff(current registry.View, header catalog.Configuration, text string, requireObjects func(*changeSet)) ([]registry.Record, error) {
	former, err := catalog.ReadConfigurationHeader(current)
	if err != nil {
		return nil, fmt.Errorf("configuration: reading the current version: %w", err)
	}
	if header.Version <= former.Version {
		return nil, fmt.Errorf("%w: version %d, the registry has version %d", ErrVersion, header.Version, former.Version)
	}
	changes := newChangeSet(current)
	requireObjects(changes)
	header.Chunks = changes.requireText(text)
	changes.require(catalog.ConfigurationRecord(header))
	changes.removeObjects()
	changes.removeText(former.Chunks)
	return changes.records, nil
}

// recordSet identifies the records of one type at one name (an RRset in RFC 2136).
type recordSet struct {
	name       registry.Name
	recordType registry.Type
}

// changeSet collects the changes from a view to the required records. Removals come
// last, when all required records are known.
type changeSet struct {
	view     registry.View
	required map[recordSet]bool
	removed  map[recordSet]bool
	records  []registry.Record // the update section, in order
}

func newChangeSet(view registry.View) *changeSet {
	return &changeSet{view: view, required: map[recordSet]bool{}, removed: map[recordSet]bool{}}
}

// require requires a record to be the only one of its set. If several records of a set
// are required, the first one is used.
func (c *changeSet) require(record registry.Record) {
	set := recordSet{record.Name, record.Type}
	if c.required[set] {
		return
	}
	c.required[set] = true
	current := c.view.Lookup(record.Name, record.Type)
	if len(current) == 1 && bytes.Equal(current[0].Data, record.Data) {
		return
	}
	c.records = append(c.records, registry.Add(record))
}

// remove removes a set unless it is required or already removed.
func (c *changeSet) remove(name registry.Name, recordType registry.Type) {
	set := recordSet{name, recordType}
	if c.required[set] || c.removed[set] {
		return
	}
	c.removed[set] = true
	c.records = append(c.records, registry.DeleteRRset(name, recordType))
}

// requireDocument requires the records of all objects of a document, in a fixed order.
func (c *changeSet) requireDocument(document *Document) {
	for name, region := range sorted(document.Regions) {
		c.require(catalog.RegionRecord(name, catalog.Region{Spill: region.Spill, Capacity: region.Capacity}))
		for _, zone := range region.Zones {
			c.require(catalog.ZoneRecord(zone, catalog.Zone{Region: name}))
		}
	}
	for name, service := range sorted(document.Services) {
		c.require(catalog.ServiceRecord(name, catalog.Service{Kind: service.Kind, MaxConcurrency: service.MaxConcurrency}))
	}
	for name, route := range sorted(document.Routes) {
		c.require(catalog.RouteRecord(name, catalog.Route{
			Service: route.Service, Class: route.Class, Home: route.Home, Weight: weightOrDefault(route.Weight),
		}))
	}
	for name, region := range sorted(document.Clients) {
		c.require(catalog.ClientRecord(name, catalog.Client{Region: region}))
	}
	for name, regions := range sorted(document.Homes) {
		c.require(catalog.HomeRecord(name, catalog.Home{Regions: regions}))
	}
	for name, tenant := range sorted(document.Tenants) {
		c.require(catalog.TenantRecord(name, catalog.Tenant{Home: tenant.Home, Weight: weightOrDefault(tenant.Weight)}))
	}
	c.require(catalog.LimitsRecord(catalog.Limits(document.Limits)))
	if !document.HTTP.empty() {
		c.requireRoutes(document.routeMap())
	}
}

// requireRouteMap requires the records of a map of routes and of the fleet's zones,
// in a fixed order.
func (c *changeSet) requireRouteMap(routes *routemap.Map, zones map[string]string) {
	for zone, region := range sorted(zones) {
		c.require(catalog.RegionRecord(region, catalog.Region{Capacity: 1}))
		c.require(catalog.ZoneRecord(zone, catalog.Zone{Region: region}))
	}
	c.requireRoutes(routes)
}

// requireRoutes requires the records of services and routes by host and path.
func (c *changeSet) requireRoutes(routes *routemap.Map) {
	for _, service := range routes.Services {
		c.require(catalog.HTTPServiceRecord(service))
	}
	for _, route := range routes.Routes {
		c.require(catalog.PathRouteRecord(route))
	}
	c.require(catalog.RequestLimitsRecord(routes.Limits))
}

// requireText requires the chunks of a text and returns their digests.
func (c *changeSet) requireText(text string) [][]byte {
	records, digests := catalog.ChunkRecords(text)
	for _, record := range records {
		c.require(record)
	}
	return digests
}

// configuredTypes are the record types that only a configuration creates.
var configuredTypes = []registry.Type{
	catalog.TypeRegion, catalog.TypeZone, catalog.TypeService, catalog.TypeRoute,
	catalog.TypeClient, catalog.TypeHome, catalog.TypeTenant,
	catalog.TypePathRoute, catalog.TypeHTTPService,
}

// removeObjects removes the objects that are not required, and the evacuations of
// removed zones.
func (c *changeSet) removeObjects() {
	for _, recordType := range configuredTypes {
		c.view.Walk(catalog.ParentName(recordType), recordType, func(record registry.Record) bool {
			c.remove(record.Name, recordType)
			return true
		})
	}
	if len(c.view.Lookup(catalog.ConfigurationName, catalog.TypeRequestLimits)) > 0 {
		c.remove(catalog.ConfigurationName, catalog.TypeRequestLimits)
	}
	c.view.Walk(catalog.ParentName(catalog.TypeZone), catalog.TypeEvacuation, func(record registry.Record) bool {
		if !c.required[recordSet{record.Name, catalog.TypeZone}] {
			c.remove(record.Name, catalog.TypeEvacuation)
		}
		return true
	})
}

// removeText removes the chunks of the former text that are not required.
func (c *changeSet) removeText(former [][]byte) {
	for _, name := range catalog.ChunkNames(former) {
		c.remove(name, catalog.TypeDocumentChunk)
	}
}
