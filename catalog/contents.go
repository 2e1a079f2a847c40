package catalog

import (
	"fmt"
	"maps"
	"slices"

	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

// State is the typed reading of one view of the table, immutable. Large sets
// (routes, clients, homes, tenants, orders) are looked up on demand; small ones
// are decoded once. Maps returned are shared and must not be changed.
type State struct {
	view          registry.View
	configuration Configuration
	configured    bool
	limits        Limits
	services      objects[Service]
	regions       objects[Region]
	zones         objects[Zone]
	evacuations   objects[Evacuation]
	listed        objects[Replica]   // as in the records
	replicas      map[string]Replica // with the regions of their zones
	drains        objects[Drain]
	conditions    objects[Condition]
	gateways      objects[Gateway]
	pathRoutes    objects[routemap.Route]
	pools         objects[routemap.Service]
	requestLimits routemap.Limits
}

// Read decodes a whole view. It costs in proportion to the small sets.
func Read(view registry.View) (*State, error) {
	contents := &State{
		view:        view,
		services:    objects[Service]{},
		regions:     objects[Region]{},
		zones:       objects[Zone]{},
		evacuations: objects[Evacuation]{},
		listed:      objects[Replica]{},
		drains:      objects[Drain]{},
		conditions:  objects[Condition]{},
		gateways:    objects[Gateway]{},
		pathRoutes:  objects[routemap.Route]{},
		pools:       objects[routemap.Service]{},
	}
	under := []registry.Name{ConfigurationName, pathRoutesName, servicesName, regionsName, zonesName, replicasName, gatewaysName}
	for _, name := range under {
		var failure error
		view.Walk(name, registry.TypeANY, func(record registry.Record) bool {
			failure = contents.put(record)
			return failure == nil
		})
		if failure != nil {
			return nil, failure
		}
	}
	contents.limits = contents.limits.withDefaults()
	contents.setReplicaRegions()
	return contents, nil
}

// ReadConfigurationHeader decodes only the version marker of a view, without the text. It is
// the zero Configuration before the first configuration.
func ReadConfigurationHeader(view registry.View) (Configuration, error) {
	for _, record := range view.Lookup(ConfigurationName, TypeConfiguration) {
		return decodeAs[Configuration](record)
	}
	return Configuration{}, nil
}

// Next returns the reading of a newer view, given the transfer that led to it
// from the view of c. It costs in proportion to the transfer and to the small
// sets that the transfer touches; the others are shared with c.
func (c *State) Next(view registry.View, transfer registry.Transfer) (*State, error) {
	if transfer.Full || transfer.From != c.Serial() || transfer.To != view.Serial() {
		return Read(view)
	}
	next := *c
	next.view = view
	copied := map[registry.Type]bool{}
	for _, record := range transfer.Removed {
		next.own(record.Type, copied)
		if err := next.drop(record); err != nil {
			return nil, err
		}
	}
	for _, record := range transfer.Added {
		next.own(record.Type, copied)
		if err := next.put(record); err != nil {
			return nil, err
		}
	}
	next.limits = next.limits.withDefaults()
	if copied[TypeReplica] || copied[TypeZone] {
		next.setReplicaRegions()
	}
	return &next, nil
}

// setReplicaRegions derives each replica's region from its zone: a configuration
// may have moved the zone since the platform listed the replica.
func (c *State) setReplicaRegions() {
	c.replicas = make(map[string]Replica, len(c.listed))
	for name, replica := range c.listed {
		replica.Region = c.zones[replica.Zone].Region
		c.replicas[name] = replica
	}
}

// own makes the set of one kind a copy, once, before it is changed.
func (c *State) own(recordType registry.Type, copied map[registry.Type]bool) {
	if copied[recordType] {
		return
	}
	copied[recordType] = true
	if set := c.set(recordType); set != nil {
		set.copy()
	}
}

// put takes one record into the reading. Kinds that are looked up on demand are skipped.
func (c *State) put(record registry.Record) error {
	switch record.Type {
	case TypeConfiguration:
		c.configured = true
		return into(record, &c.configuration)
	case TypeLimits:
		return into(record, &c.limits)
	case TypeRequestLimits:
		return into(record, &c.requestLimits)
	}
	if set := c.set(record.Type); set != nil {
		return set.put(record)
	}
	return nil
}

// drop takes one record out of the reading.
func (c *State) drop(record registry.Record) error {
	switch record.Type {
	case TypeConfiguration:
		c.configured = false
		c.configuration = Configuration{}
	case TypeLimits:
		c.limits = Limits{}
	case TypeRequestLimits:
		c.requestLimits = routemap.Limits{}
	}
	if set := c.set(record.Type); set != nil {
		return set.drop(record)
	}
	return nil
}

// set returns the decoded objects of a kind, nil for a kind that is not a set or
// that is looked up on demand.
func (c *State) set(recordType registry.Type) objectSet {
	switch recordType {
	case TypeService:
		return &c.services
	case TypeRegion:
		return &c.regions
	case TypeZone:
		return &c.zones
	case TypeEvacuation:
		return &c.evacuations
	case TypeReplica:
		return &c.listed
	case TypeDrain:
		return &c.drains
	case TypeCondition:
		return &c.conditions
	case TypeGateway:
		return &c.gateways
	case TypePathRoute:
		return &c.pathRoutes
	case TypePool:
		return &c.pools
	}
	return nil
}

// into decodes into a cleared value.
func into[T any](record registry.Record, value *T) error {
	decoded, err := decodeAs[T](record)
	if err != nil {
		return err
	}
	*value = decoded
	return nil
}

// lookup decodes the one record of a type at a name.
func lookup[T any](view registry.View, name registry.Name, recordType registry.Type) (T, bool) {
	var none T
	if name == "" {
		return none, false
	}
	records := view.Lookup(name, recordType)
	if len(records) != 1 {
		return none, false
	}
	value, err := decodeAs[T](records[0])
	if err != nil {
		return none, false
	}
	return value, true
}

// View returns the view that was read.
func (c *State) View() registry.View { return c.view }

// Version returns the configuration version, zero before the first configuration.
func (c *State) Version() uint64 { return c.configuration.Version }

// Serial returns the serial of the view.
func (c *State) Serial() uint32 { return c.view.Serial() }

// Configuration returns the version marker with the document's text.
// It is false before the first configuration.
func (c *State) Configuration() (Configuration, bool) {
	if !c.configured {
		return Configuration{}, false
	}
	configuration := c.configuration
	text, err := joinDocument(c.view, configuration.Chunks)
	if err != nil {
		return Configuration{}, false
	}
	configuration.Document = text
	return configuration, true
}

// ConfigurationHeader returns the version marker without the text, at no cost.
func (c *State) ConfigurationHeader() (Configuration, bool) { return c.configuration, c.configured }

// Limits returns the set points, defaults filled in.
func (c *State) Limits() Limits { return c.limits }

// Service returns a service.
func (c *State) Service(service string) (Service, bool) {
	value, found := c.services[service]
	return value, found
}

// Services returns all services.
func (c *State) Services() map[string]Service { return c.services }

// Route returns the route of a model name.
func (c *State) Route(model string) (Route, bool) {
	return lookup[Route](c.view, RouteName(model), TypeRoute)
}

// Regions returns all regions.
func (c *State) Regions() map[string]Region { return c.regions }

// Zones returns all zones.
func (c *State) Zones() map[string]Zone { return c.zones }

// IsEvacuated reports whether a zone is evacuated.
func (c *State) IsEvacuated(zone string) bool {
	_, found := c.evacuations[zone]
	return found && !planted.Active(planted.IgnoreEvacuation)
}

// Evacuations returns all evacuations by zone.
func (c *State) Evacuations() map[string]Evacuation { return c.evacuations }

// Client returns the mapping of a client group.
func (c *State) Client(client string) (Client, bool) {
	return lookup[Client](c.view, ClientName(client), TypeClient)
}

// Home returns a home rule.
func (c *State) Home(home string) (Home, bool) {
	return lookup[Home](c.view, HomeName(home), TypeHome)
}

// Tenant returns a tenant.
func (c *State) Tenant(tenant string) (Tenant, bool) {
	return lookup[Tenant](c.view, TenantName(tenant), TypeTenant)
}

// Replicas returns all replicas, each in the region that its zone has now; the
// region is empty if the configuration no longer has the zone.
func (c *State) Replicas() map[string]Replica { return c.replicas }

// IsDraining reports whether the platform drains a replica.
func (c *State) IsDraining(replica string) bool {
	_, found := c.drains[replica]
	return found && !planted.Active(planted.IgnoreDrainList)
}

// Condition returns the condition of a replica.
func (c *State) Condition(replica string) (Condition, bool) {
	value, found := c.conditions[replica]
	return value, found
}

// Gateways returns the member records of all gateways, up or not.
func (c *State) Gateways() map[string]Gateway { return c.gateways }

// PathRoutes returns the routes by host and path, by name.
func (c *State) PathRoutes() map[string]routemap.Route { return c.pathRoutes }

// Pools returns the services that routes by host and path lead to.
func (c *State) Pools() map[string]routemap.Service { return c.pools }

// RouteMap returns the map of routes by host and path, in the order of the names.
func (c *State) RouteMap() *routemap.Map {
	routes := &routemap.Map{Version: c.Version(), Limits: c.requestLimits}
	for _, name := range slices.Sorted(maps.Keys(c.pathRoutes)) {
		routes.Routes = append(routes.Routes, c.pathRoutes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		routes.Services = append(routes.Services, c.pools[name])
	}
	return routes
}

// RequestLimits returns what clients of routes by host and path may send.
func (c *State) RequestLimits() routemap.Limits { return c.requestLimits }

// OperationResult returns the stored answer to an order.
func (c *State) OperationResult(order string) (OperationResult, bool) {
	return lookup[OperationResult](c.view, OperationName(order), TypeOperation)
}

// WalkOperationResults calls visit for the stored answers until it returns false. The
// order of the visits is that of the places, not of the answers' age.
func (c *State) WalkOperationResults(visit func(order string, answer OperationResult) bool) error {
	var failure error
	c.view.Walk(ordersName, TypeOperation, func(record registry.Record) bool {
		order, err := ObjectName(record.Name)
		if err == nil {
			var answer OperationResult
			answer, err = decodeAs[OperationResult](record)
			if err == nil {
				return visit(order, answer)
			}
		}
		failure = fmt.Errorf("reading orders: %w", err)
		return false
	})
	return failure
}
