package catalog

import (
	"fmt"

	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

// Record types besides SOA (the table's head) and NS (its members). The numbers are
// stored and sent: none may be changed or reused.
const (
	TypeConfiguration registry.Type = 1024 // "configuration.places."
	TypeService       registry.Type = 1025 // "<service>.services.places."
	TypeRoute         registry.Type = 1026 // "<model>.routes.places."
	TypeRegion        registry.Type = 1027 // "<region>.regions.places."
	TypeZone          registry.Type = 1028 // "<zone>.zones.places.": its region
	TypeEvacuation    registry.Type = 1029 // "<zone>.zones.places.": present while the zone is evacuated
	TypeClient        registry.Type = 1030 // "<client>.clients.places."
	TypeHome          registry.Type = 1031 // "<home>.homes.places."
	TypeTenant        registry.Type = 1032 // "<tenant>.tenants.places."
	TypeLimits        registry.Type = 1033 // "configuration.places.": set points
	TypeReplica       registry.Type = 1034 // "<replica>.replicas.places.": as listed by the platform
	TypeDrain         registry.Type = 1035 // "<replica>.replicas.places.": present while the platform is draining the replica
	TypeCondition     registry.Type = 1036 // "<replica>.replicas.places.": written by the gateway that watches the replica
	TypeGateway       registry.Type = 1037 // "<gateway>.gateways.places.": member record of a gateway
	TypeOperation     registry.Type = 1038 // "<operation id>.orders.places.": result of an operation
	TypeDocumentChunk registry.Type = 1039 // "<digest>.documents.places.": a chunk of the configuration's text
	TypePathRoute     registry.Type = 1040 // "<route>.pathroutes.places.": a route by host and path
	TypeHTTPService   registry.Type = 1041 // "<service>.services.places.": a target of such routes
	TypeRequestLimits registry.Type = 1042 // "configuration.places.": bounds on the requests of such routes
)

// Registry names at or below which the objects are stored.
const (
	ConfigurationName registry.Name = "configuration." + Apex

	documentsName  registry.Name = "documents." + Apex
	servicesName   registry.Name = "services." + Apex
	routesName     registry.Name = "routes." + Apex
	pathRoutesName registry.Name = "pathroutes." + Apex
	regionsName    registry.Name = "regions." + Apex
	zonesName      registry.Name = "zones." + Apex
	clientsName    registry.Name = "clients." + Apex
	homesName      registry.Name = "homes." + Apex
	tenantsName    registry.Name = "tenants." + Apex
	replicasName   registry.Name = "replicas." + Apex
	gatewaysName   registry.Name = "gateways." + Apex
	operationsName registry.Name = "orders." + Apex
)

// kind declares how objects of type T are stored. Each object is the data of the only
// record of this type at its registry name.
type kind[T any] struct {
	recordType registry.Type
	// label is the name of the record type in the schema. It must not change, even if T
	// is renamed.
	label string
	// parent is the registry name below which the objects are stored, Apex for an object
	// at a fixed name.
	parent registry.Name
}

var (
	configurationKind = kind[Configuration]{TypeConfiguration, "CONFIGURATION", Apex}
	serviceKind       = kind[Service]{TypeService, "SERVICE", servicesName}
	routeKind         = kind[Route]{TypeRoute, "ROUTE", routesName}
	regionKind        = kind[Region]{TypeRegion, "REGION", regionsName}
	zoneKind          = kind[Zone]{TypeZone, "ZONE", zonesName}
	evacuationKind    = kind[Evacuation]{TypeEvacuation, "EVACUATION", zonesName}
	clientKind        = kind[Client]{TypeClient, "CLIENT", clientsName}
	homeKind          = kind[Home]{TypeHome, "HOME", homesName}
	tenantKind        = kind[Tenant]{TypeTenant, "TENANT", tenantsName}
	limitsKind        = kind[Limits]{TypeLimits, "LIMITS", Apex}
	replicaKind       = kind[Replica]{TypeReplica, "REPLICA", replicasName}
	drainKind         = kind[Drain]{TypeDrain, "DRAIN", replicasName}
	conditionKind     = kind[Condition]{TypeCondition, "CONDITION", replicasName}
	gatewayKind       = kind[Gateway]{TypeGateway, "GATEWAY", gatewaysName}
	operationKind     = kind[OperationResult]{TypeOperation, "ORDER", operationsName}
	pathRouteKind     = kind[routemap.Route]{TypePathRoute, "PATHROUTE", pathRoutesName}
	poolKind          = kind[routemap.Service]{TypeHTTPService, "POOL", servicesName}
	requestLimitsKind = kind[routemap.Limits]{TypeRequestLimits, "REQUESTLIMITS", Apex}
)

// declaration is a kind without its type parameter, for the list of all kinds.
type declaration struct {
	registry.TypeDeclaration

	parent registry.Name
}

var declarations = []declaration{
	configurationKind.declaration(),
	serviceKind.declaration(),
	routeKind.declaration(),
	regionKind.declaration(),
	zoneKind.declaration(),
	evacuationKind.declaration(),
	clientKind.declaration(),
	homeKind.declaration(),
	tenantKind.declaration(),
	limitsKind.declaration(),
	replicaKind.declaration(),
	drainKind.declaration(),
	conditionKind.declaration(),
	gatewayKind.declaration(),
	operationKind.declaration(),
	chunkDeclaration,
	pathRouteKind.declaration(),
	poolKind.declaration(),
	requestLimitsKind.declaration(),
}

// chunkDeclaration declares chunks, whose octets are stored without an encoding.
var chunkDeclaration = declaration{
	TypeDeclaration: registry.TypeDeclaration{Type: TypeDocumentChunk, Name: "DOCUMENT", Singleton: true},
	parent:          documentsName,
}

// Schema returns the registry schema of the records of this package.
func Schema() *registry.Schema {
	kinds := make([]registry.TypeDeclaration, len(declarations))
	for i, declared := range declarations {
		kinds[i] = declared.TypeDeclaration
	}
	schema, err := registry.NewSchema(kinds...)
	if err != nil {
		panic(fmt.Sprintf("catalog: %v", err))
	}
	return schema
}

// ParentName returns the registry name below which the records of a type are stored,
// Apex for a type at a fixed name and for a type of another package.
func ParentName(recordType registry.Type) registry.Name {
	for i := range declarations {
		if declarations[i].Type == recordType {
			return declarations[i].parent
		}
	}
	return Apex
}

func (k kind[T]) declaration() declaration {
	return declaration{
		TypeDeclaration: registry.TypeDeclaration{Type: k.recordType, Name: k.label, Singleton: true, Check: checkEncoding[T]},
		parent:          k.parent,
	}
}

// name returns the registry name of an object of the kind, empty if CheckObjectName
// rejects the object's name.
func (k kind[T]) name(object string) registry.Name { return objectName(k.parent, object) }

// record returns the record that stores a value at a registry name.
func (k kind[T]) record(name registry.Name, value T) registry.Record {
	return registry.Record{Name: name, Type: k.recordType, Class: registry.ClassTable, Data: encode(value)}
}

// lookup returns the value stored at a registry name. It returns false if there is none
// or if its data cannot be decoded.
func (k kind[T]) lookup(view registry.View, name registry.Name) (T, bool) {
	var none T
	if name == "" {
		return none, false
	}
	records := view.Lookup(name, k.recordType)
	if len(records) != 1 {
		return none, false
	}
	value, err := decodeRecord[T](records[0])
	if err != nil {
		return none, false
	}
	return value, true
}
