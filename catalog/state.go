package catalog

import (
	"fmt"
	"maps"
	"slices"

	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

// State is the typed form of one registry view. It is immutable. Small sets of
// objects are decoded once; large ones (routes, clients, homes, tenants, results of
// operations) are looked up in the view on demand. The maps that it returns are
// shared with other states and must not be changed.
type State struct {
	view           registry.View
	configuration  Configuration
	configured     bool
	limits         Limits
	services       objects[Service]
	regions        objects[Region]
	zones          objects[Zone]
	evacuations    objects[Evacuation]
	storedReplicas objects[Replica]   // as in the records
	replicas       map[string]Replica // as in the records, but in the regions of their zones
	drains         objects[Drain]
	conditions     objects[Condition]
	gateways       objects[Gateway]
	pathRoutes     objects[routemap.Route]
	pools          objects[routemap.Service]
	requestLimits  routemap.Limits
}

// namesRead are the registry names below which Read decodes all that State keeps
// decoded.
var namesRead = []registry.Name{
	ConfigurationName, pathRoutesName, servicesName, regionsName, zonesName, replicasName, gatewaysName,
}

// Read decodes a view. Its cost grows with the small sets, not with the view. The
// error names the record that cannot be decoded.
func Read(view registry.View) (*State, error) {
	state := &State{
		view:           view,
		services:       objects[Service]{},
		regions:        objects[Region]{},
		zones:          objects[Zone]{},
		evacuations:    objects[Evacuation]{},
		storedReplicas: objects[Replica]{},
		drains:         objects[Drain]{},
		conditions:     objects[Condition]{},
		gateways:       objects[Gateway]{},
		pathRoutes:     objects[routemap.Route]{},
		pools:          objects[routemap.Service]{},
	}
	for _, name := range namesRead {
		var failure error
		view.Walk(name, registry.TypeANY, func(record registry.Record) bool {
			failure = state.put(record)
			return failure == nil
		})
		if failure != nil {
			return nil, failure
		}
	}
	state.limits = state.limits.withDefaults()
	state.setReplicaRegions()
	return state, nil
}

// ReadConfigurationHeader decodes the header of the configuration in a view: the Configuration
// without its text. It is zero before the first configuration.
func ReadConfigurationHeader(view registry.View) (Configuration, error) {
	for _, record := range view.Lookup(ConfigurationName, TypeConfiguration) {
		return decodeRecord[Configuration](record)
	}
	return Configuration{}, nil
}

// Next returns the state of a newer view, given the transfer that leads to it from
// the view of s. Its cost grows with the transfer and with the small sets that the
// transfer changes; the other sets are shared with s. After a transfer that does
// not lead from s to the view, it reads the whole view.
func (s *State) Next(view registry.View, transfer registry.Transfer) (*State, error) {
	if transfer.Full || transfer.From != s.Serial() || transfer.To != view.Serial() {
		return Read(view)
	}
	next := *s
	next.view = view
	cloned := map[registry.Type]bool{}
	for _, record := range transfer.Removed {
		next.cloneSet(record.Type, cloned)
		if err := next.remove(record); err != nil {
			return nil, err
		}
	}
	for _, record := range transfer.Added {
		next.cloneSet(record.Type, cloned)
		if err := next.put(record); err != nil {
			return nil, err
		}
	}
	next.limits = next.limits.withDefaults()
	if cloned[TypeReplica] || cloned[TypeZone] {
		next.setReplicaRegions()
	}
	return &next, nil
}

// setReplicaRegions derives each replica's region from its zone, since a
// configuration may have moved the zone after the platform listed the replica.
func (s *State) setReplicaRegions() {
	s.replicas = make(map[string]Replica, len(s.storedReplicas))
	for name, replica := range s.storedReplicas {
		replica.Region = s.zones[replica.Zone].Region
		s.replicas[name] = replica
	}
}

// cloneSet gives s its own map of the objects of a type, unless it has been cloned
// before: the former state goes on using the shared map.
func (s *State) cloneSet(recordType registry.Type, cloned map[registry.Type]bool) {
	if cloned[recordType] {
		return
	}
	cloned[recordType] = true
	if set := s.set(recordType); set != nil {
		set.clone()
	}
}

// put decodes an added record. It ignores types that are looked up on demand.
func (s *State) put(record registry.Record) error {
	switch record.Type {
	case TypeConfiguration:
		s.configured = true
		return decodeInto(record, &s.configuration)
	case TypeLimits:
		return decodeInto(record, &s.limits)
	case TypeRequestLimits:
		return decodeInto(record, &s.requestLimits)
	}
	if set := s.set(record.Type); set != nil {
		return set.put(record)
	}
	return nil
}

// remove undoes put for a removed record.
func (s *State) remove(record registry.Record) error {
	switch record.Type {
	case TypeConfiguration:
		s.configured = false
		s.configuration = Configuration{}
	case TypeLimits:
		s.limits = Limits{}
	case TypeRequestLimits:
		s.requestLimits = routemap.Limits{}
	}
	if set := s.set(record.Type); set != nil {
		return set.remove(record)
	}
	return nil
}

// set returns the decoded objects of a type, nil for a type that is not a set or
// that is looked up on demand.
func (s *State) set(recordType registry.Type) objectSet {
	switch recordType {
	case TypeService:
		return &s.services
	case TypeRegion:
		return &s.regions
	case TypeZone:
		return &s.zones
	case TypeEvacuation:
		return &s.evacuations
	case TypeReplica:
		return &s.storedReplicas
	case TypeDrain:
		return &s.drains
	case TypeCondition:
		return &s.conditions
	case TypeGateway:
		return &s.gateways
	case TypePathRoute:
		return &s.pathRoutes
	case TypePool:
		return &s.pools
	}
	return nil
}

// View returns the registry view that the state was read from.
func (s *State) View() registry.View { return s.view }

// Version returns the version of the configuration, 0 before the first one.
func (s *State) Version() uint64 { return s.configuration.Version }

// Serial returns the zone serial of the view.
func (s *State) Serial() uint32 { return s.view.Serial() }

// Configuration returns the configuration with its text, which it joins from
// the chunks at the cost of the text's size. It is false before the first
// configuration and while a chunk is missing.
func (s *State) Configuration() (Configuration, bool) {
	if !s.configured {
		return Configuration{}, false
	}
	configuration := s.configuration
	text, err := joinChunks(s.view, configuration.Chunks)
	if err != nil {
		return Configuration{}, false
	}
	configuration.Document = text
	return configuration, true
}

// ConfigurationHeader returns the configuration without its text, at no cost. It is false before
// the first configuration.
func (s *State) ConfigurationHeader() (Configuration, bool) { return s.configuration, s.configured }

// Limits returns the set points, with the defaults of those that are not set.
func (s *State) Limits() Limits { return s.limits }

// Service returns the service of a name.
func (s *State) Service(service string) (Service, bool) {
	value, found := s.services[service]
	return value, found
}

// Services returns all services by name.
func (s *State) Services() map[string]Service { return s.services }

// Route returns the route of the model name that callers use.
func (s *State) Route(model string) (Route, bool) {
	return routeKind.lookup(s.view, RouteName(model))
}

// Regions returns all regions by name.
func (s *State) Regions() map[string]Region { return s.regions }

// Zones returns all zones by name.
func (s *State) Zones() map[string]Zone { return s.zones }

// IsEvacuated reports whether operators have evacuated a zone.
func (s *State) IsEvacuated(zone string) bool {
	_, found := s.evacuations[zone]
	return found && !planted.Active(planted.IgnoreEvacuation)
}

// Evacuations returns all evacuations by zone.
func (s *State) Evacuations() map[string]Evacuation { return s.evacuations }

// Client returns where the requests of a client group are served.
func (s *State) Client(client string) (Client, bool) {
	return clientKind.lookup(s.view, ClientName(client))
}

// Home returns the regions that a home rule allows.
func (s *State) Home(home string) (Home, bool) {
	return homeKind.lookup(s.view, HomeName(home))
}

// Tenant returns the home and weight of a tenant. It is false for a tenant that the
// configuration does not list.
func (s *State) Tenant(tenant string) (Tenant, bool) {
	return tenantKind.lookup(s.view, TenantName(tenant))
}

// Replicas returns all replicas by name, each in the region that its zone has now;
// the region is empty if the configuration no longer has the zone.
func (s *State) Replicas() map[string]Replica { return s.replicas }

// IsDraining reports whether the platform is draining a replica.
func (s *State) IsDraining(replica string) bool {
	_, found := s.drains[replica]
	return found && !planted.Active(planted.IgnoreDrainList)
}

// Condition returns what the watcher of a replica last wrote about it.
func (s *State) Condition(replica string) (Condition, bool) {
	value, found := s.conditions[replica]
	return value, found
}

// Gateways returns the member records of all gateways by name, up or not.
func (s *State) Gateways() map[string]Gateway { return s.gateways }

// PathRoutes returns the routes by host and path, by their names.
func (s *State) PathRoutes() map[string]routemap.Route { return s.pathRoutes }

// Pools returns the target services of routes by host and path, by name.
func (s *State) Pools() map[string]routemap.Service { return s.pools }

// RouteMap returns a new map of the routes by host and path, sorted by name.
func (s *State) RouteMap() *routemap.Map {
	routes := &routemap.Map{Version: s.Version(), Limits: s.requestLimits}
	for _, name := range slices.Sorted(maps.Keys(s.pathRoutes)) {
		routes.Routes = append(routes.Routes, s.pathRoutes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		routes.Services = append(routes.Services, s.pools[name])
	}
	return routes
}

// RequestLimits returns the bounds on requests of routes by host and path.
func (s *State) RequestLimits() routemap.Limits { return s.requestLimits }

// OperationResult returns the stored result of the operation with an id.
func (s *State) OperationResult(id string) (OperationResult, bool) {
	return operationKind.lookup(s.view, OperationName(id))
}

// WalkOperationResults calls visit for the stored results of operations until it returns
// false. They come in the order of their registry names, not of their age.
func (s *State) WalkOperationResults(visit func(id string, result OperationResult) bool) error {
	var failure error
	s.view.Walk(operationsName, TypeOperation, func(record registry.Record) bool {
		id, result, err := decodeOperationResult(record)
		if err != nil {
			failure = fmt.Errorf("reading the results of operations: %w", err)
			return false
		}
		return visit(id, result)
	})
	return failure
}

// decodeOperationResult returns the operation's id and its result.
func decodeOperationResult(record registry.Record) (string, OperationResult, error) {
	id, err := ObjectName(record.Name)
	if err != nil {
		return "", OperationResult{}, err
	}
	result, err := decodeRecord[OperationResult](record)
	return id, result, err
}
