package catalog

import (
	"fmt"

	"github.com/deckpulley/deckpulley/internal/canonical"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

var (
	encoding = canonical.Encoding()
	decoding = canonical.Decoding(canonical.Bounds{})
)

// Schema returns the kinds of records of this package.
func Schema() *registry.Schema {
	schema, err := registry.NewSchema(
		singleton[Configuration](TypeConfiguration, "CONFIGURATION"),
		singleton[Service](TypeService, "SERVICE"),
		singleton[Route](TypeRoute, "ROUTE"),
		singleton[Region](TypeRegion, "REGION"),
		singleton[Zone](TypeZone, "ZONE"),
		singleton[Evacuation](TypeEvacuation, "EVACUATION"),
		singleton[Client](TypeClient, "CLIENT"),
		singleton[Home](TypeHome, "HOME"),
		singleton[Tenant](TypeTenant, "TENANT"),
		singleton[Limits](TypeLimits, "LIMITS"),
		singleton[Replica](TypeReplica, "REPLICA"),
		singleton[Drain](TypeDrain, "DRAIN"),
		singleton[Condition](TypeCondition, "CONDITION"),
		singleton[Gateway](TypeGateway, "GATEWAY"),
		singleton[OperationResult](TypeOperation, "ORDER"),
		registry.Kind{Type: TypeDocumentChunk, Name: "DOCUMENT", Singleton: true},
		singleton[routemap.Route](TypePathRoute, "PATHROUTE"),
		singleton[routemap.Service](TypePool, "POOL"),
		singleton[routemap.Limits](TypeRequestLimits, "REQUESTLIMITS"),
	)
	if err != nil {
		panic(fmt.Sprintf("places: %v", err))
	}
	return schema
}

// singleton declares a kind of which a name holds one record with data of type T.
func singleton[T any](recordType registry.Type, name string) registry.Kind {
	return registry.Kind{
		Type:      recordType,
		Name:      name,
		Singleton: true,
		Check: func(data []byte) error {
			var value T
			return decode(data, &value)
		},
	}
}

func encode(value any) []byte {
	data, err := encoding.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("places: encoding %T: %v", value, err))
	}
	return data
}

func decode(data []byte, value any) error {
	if err := decoding.Unmarshal(data, value); err != nil {
		return fmt.Errorf("places: decoding %T: %w", value, err)
	}
	return nil
}

// decodeAs reads the data of a record as its kind's type.
func decodeAs[T any](record registry.Record) (T, error) {
	var value T
	if err := decode(record.Data, &value); err != nil {
		return value, fmt.Errorf("record at %s: %w", record.Name, err)
	}
	return value, nil
}

func newRecord(name registry.Name, recordType registry.Type, value any) registry.Record {
	return registry.Record{Name: name, Type: recordType, Class: registry.ClassTable, Data: encode(value)}
}

// ServiceRecord returns the record of a service.
func ServiceRecord(service string, value Service) registry.Record {
	return newRecord(ServiceName(service), TypeService, value)
}

// RouteRecord returns the record of a route.
func RouteRecord(model string, value Route) registry.Record {
	return newRecord(RouteName(model), TypeRoute, value)
}

// RegionRecord returns the record of a region.
func RegionRecord(region string, value Region) registry.Record {
	return newRecord(RegionName(region), TypeRegion, value)
}

// ZoneRecord returns the record of a zone.
func ZoneRecord(zone string, value Zone) registry.Record {
	return newRecord(ZoneName(zone), TypeZone, value)
}

// EvacuationRecord returns the record that evacuates a zone while it exists.
func EvacuationRecord(zone string, value Evacuation) registry.Record {
	return newRecord(ZoneName(zone), TypeEvacuation, value)
}

// ClientRecord returns the record of a client group.
func ClientRecord(client string, value Client) registry.Record {
	return newRecord(ClientName(client), TypeClient, value)
}

// HomeRecord returns the record of a home rule.
func HomeRecord(home string, value Home) registry.Record {
	return newRecord(HomeName(home), TypeHome, value)
}

// TenantRecord returns the record of a tenant.
func TenantRecord(tenant string, value Tenant) registry.Record {
	return newRecord(TenantName(tenant), TypeTenant, value)
}

// LimitsRecord returns the record of the set points.
func LimitsRecord(value Limits) registry.Record {
	return newRecord(ConfigurationName, TypeLimits, value)
}

// ReplicaRecord returns the record of a replica.
func ReplicaRecord(replica string, value Replica) registry.Record {
	return newRecord(ReplicaName(replica), TypeReplica, value)
}

// DrainRecord returns the record that drains a replica while it exists.
func DrainRecord(replica string, value Drain) registry.Record {
	return newRecord(ReplicaName(replica), TypeDrain, value)
}

// ConditionRecord returns the record of a replica's condition.
func ConditionRecord(replica string, value Condition) registry.Record {
	return newRecord(ReplicaName(replica), TypeCondition, value)
}

// GatewayRecord returns the member record of a gateway.
func GatewayRecord(gateway string, value Gateway) registry.Record {
	return newRecord(GatewayName(gateway), TypeGateway, value)
}

// OperationResultRecord returns the record of the answer to an order.
func OperationResultRecord(order string, value OperationResult) registry.Record {
	return newRecord(OperationName(order), TypeOperation, value)
}

// ConfigurationRecord returns the version marker. The document's text is not in
// it but in its chunks, see DocumentRecords.
func ConfigurationRecord(value Configuration) registry.Record {
	return newRecord(ConfigurationName, TypeConfiguration, value)
}

// PathRouteRecord returns the record of a route by host and path.
func PathRouteRecord(value routemap.Route) registry.Record {
	return newRecord(PathRouteName(value.Name), TypePathRoute, value)
}

// PoolRecord returns the record of a service that routes by path lead to.
func PoolRecord(value routemap.Service) registry.Record {
	return newRecord(ServiceName(value.Name), TypePool, value)
}

// RequestLimitsRecord returns the record of what clients may send.
func RequestLimitsRecord(value routemap.Limits) registry.Record {
	return newRecord(ConfigurationName, TypeRequestLimits, value)
}
