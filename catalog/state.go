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
// objects are decoded once; large ones (routes, clients, homes, tenants, operation
// results) are looked up in the view on demand. The maps that its methods return are
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
	storedReplicas objects[Replica]   // as stored in the records
	replicas       map[string]Replica // with the current regions of their zones
	drains         objects[Drain]
	conditions     objects[Condition]
	gateways       objects[Gateway]
	pathRoutes     objects[routemap.Route]
	pools          objects[routemap.Service]
	requestLimits  routemap.Limits
	// evacuationSerials has the serial of the last change of a zone's evacuation, by the
	// zone's registry name, as far as Next has seen it. Earlier changes were at readSerial at
	// the latest, which is the serial of the view that Read decoded.
	evacuationSerials map[registry.Name]uint32
	readSerial        uint32
}

// decodedNames are the registry names below which Read decodes records. Everything else
// is looked up on demand.
var decodedNames = []registry.Name{
	ConfigurationName, pathRoutesName, servicesName, regionsName, zonesName, replicasName, gatewaysName,
}

// Read decodes a view. Its cost is proportional to the small sets, not to the whole
// view. The error names the record that cannot be decoded.
func Read(view registry.View) (*State, error) {
	state := &State{
		view:           view,
		readSerial:     view.Serial(),
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
	for _, name := range decodedNames {
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

// ReadConfigurationHeader decodes the header of the configuration in a view, which is a
// Configuration without its text. It is zero before the first configuration.
func ReadConfigurationHeader(view registry.View) (Configuration, error) {
	for _, record := range view.Lookup(ConfigurationName, TypeConfiguration) {
		return decodeRecord[Configuration](record)
	}
	return Configuration{}, nil
}

// Next returns the state of a newer view, given the transfer from the view of s to the
// newer one. Its cost is proportional to the transfer and to the small sets that the
// transfer changes; the other sets are shared with s. If the transfer is a full one or
// has other serials than the two views, Next reads the whole view.
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
	if cloned[TypeEvacuation] {
		next.recordEvacuations(transfer)
	}
	next.limits = next.limits.withDefaults()
	if cloned[TypeReplica] || cloned[TypeZone] {
		next.setReplicaRegions()
	}
	return &next, nil
}

// recordEvacuations records the serial of a transfer for the evacuations that it changes.
func (s *State) recordEvacuations(transfer registry.Transfer) {
	serials := maps.Clone(s.evacuationSerials)
	if serials == nil {
		serials = make(map[registry.Name]uint32)
	}
	for _, record := range slices.Concat(transfer.Removed, transfer.Added) {
		if record.Type == TypeEvacuation {
			serials[record.Name] = transfer.To
		}
	}
	s.evacuationSerials = serials
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

// cloneSet gives s its own map of the objects of a type, unless it already has one: the
// former state continues to use the shared map.
func (s *State) cloneSet(recordType registry.Type, cloned map[registry.Type]bool) {
	if cloned[recordType] {
		return
	}
	cloned[recordType] = true
	if set := s.set(recordType); set != nil {
		set.clone()
	}
}

// put adds a decoded record to the state. It ignores types that are looked up on demand.
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

// remove removes a record from the state. It is the inverse of put.
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
	case TypeHTTPService:
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

// Configuration returns the configuration with its text. It assembles the text from
// the chunks, at a cost proportional to the text's size. It returns false before the
// first configuration and while a chunk is missing.
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

// ConfigurationHeader returns the configuration without its text, at constant cost. It
// returns false before the first configuration.
func (s *State) ConfigurationHeader() (Configuration, bool) { return s.configuration, s.configured }

// Limits returns the set points with defaults applied.
func (s *State) Limits() Limits { return s.limits }

// Service returns the service with a name.
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

// EvacuationChangedSince reports whether the evacuation of a zone was begun or ended after a
// serial, or may have been: a state knows no changes from before it was first read.
func (s *State) EvacuationChangedSince(zone string, serial uint32) bool {
	changed, found := s.evacuationSerials[ZoneName(zone)]
	if !found {
		changed = s.readSerial
	}
	return registry.SerialLess(serial, changed)
}

// Evacuations returns all evacuations by zone.
func (s *State) Evacuations() map[string]Evacuation { return s.evacuations }

// Client returns the region in which the requests of a client group are served.
func (s *State) Client(client string) (Client, bool) {
	return clientKind.lookup(s.view, ClientName(client))
}

// Home returns the regions that a home rule allows.
func (s *State) Home(home string) (Home, bool) {
	return homeKind.lookup(s.view, HomeName(home))
}

// Tenant returns the home rule and weight of a tenant. It returns false for a tenant
// that the configuration does not list.
func (s *State) Tenant(tenant string) (Tenant, bool) {
	return tenantKind.lookup(s.view, TenantName(tenant))
}

// Replicas returns all replicas by name, each with the current region of its zone. The
// region is empty if the configuration no longer has the zone.
func (s *State) Replicas() map[string]Replica { return s.replicas }

// IsDraining reports whether the platform is draining a replica.
func (s *State) IsDraining(replica string) bool {
	_, found := s.drains[replica]
	return found && !planted.Active(planted.IgnoreDrainList)
}

// Condition returns the last condition that the gateway which watches a replica wrote.
func (s *State) Condition(replica string) (Condition, bool) {
	value, found := s.conditions[replica]
	return value, found
}

// Gateways returns the member records of all gateways by name, including gateways that
// are down.
func (s *State) Gateways() map[string]Gateway { return s.gateways }

// PathRoutes returns the routes by host and path, keyed by name.
func (s *State) PathRoutes() map[string]routemap.Route { return s.pathRoutes }

// HTTPServices returns the services that are targets of routes by host and path, keyed by
// name.
func (s *State) HTTPServices() map[string]routemap.Service { return s.pools }

// RouteMap returns a new route map of the routes by host and path, sorted by name.
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

// RequestLimits returns the limits on requests to routes by host and path.
func (s *State) RequestLimits() routemap.Limits { return s.requestLimits }

// OperationResult returns the stored result of the operation with an id.
func (s *State) OperationResult(id string) (OperationResult, bool) {
	return operationKind.lookup(s.view, OperationName(id))
}

// WalkOperationResults calls visit for each stored operation result until visit returns
// false. The results are in the order of their registry names, not of their age.
func (s *State) WalkOperationResults(visit func(id string, result OperationResult) bool) error {
	var failure error
	s.view.Walk(operationsName, TypeOperation, func(record registry.Record) bool {
		id, result, err := decodeOperationResult(record)
		if err != nil {
			failure = fmt.Errorf("reading operation results: %w", err)
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
