package catalog

import (
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

// ServiceRecord returns the record of a service.
func ServiceRecord(service string, value Service) registry.Record {
	return serviceKind.record(ServiceName(service), value)
}

// RouteRecord returns the record of a route.
func RouteRecord(model string, value Route) registry.Record {
	return routeKind.record(RouteName(model), value)
}

// RegionRecord returns the record of a region.
func RegionRecord(region string, value Region) registry.Record {
	return regionKind.record(RegionName(region), value)
}

// ZoneRecord returns the record of a zone.
func ZoneRecord(zone string, value Zone) registry.Record {
	return zoneKind.record(ZoneName(zone), value)
}

// EvacuationRecord returns the record whose existence evacuates a zone.
func EvacuationRecord(zone string, value Evacuation) registry.Record {
	return evacuationKind.record(ZoneName(zone), value)
}

// ClientRecord returns the record of a client group.
func ClientRecord(client string, value Client) registry.Record {
	return clientKind.record(ClientName(client), value)
}

// HomeRecord returns the record of a home rule.
func HomeRecord(home string, value Home) registry.Record {
	return homeKind.record(HomeName(home), value)
}

// TenantRecord returns the record of a tenant.
func TenantRecord(tenant string, value Tenant) registry.Record {
	return tenantKind.record(TenantName(tenant), value)
}

// LimitsRecord returns the record of the set points.
func LimitsRecord(value Limits) registry.Record {
	return limitsKind.record(ConfigurationName, value)
}

// ReplicaRecord returns the record of a replica.
func ReplicaRecord(replica string, value Replica) registry.Record {
	return replicaKind.record(ReplicaName(replica), value)
}

// DrainRecord returns the record whose existence drains a replica.
func DrainRecord(replica string, value Drain) registry.Record {
	return drainKind.record(ReplicaName(replica), value)
}

// ConditionRecord returns the record of a replica's condition.
func ConditionRecord(replica string, value Condition) registry.Record {
	return conditionKind.record(ReplicaName(replica), value)
}

// GatewayRecord returns the member record of a gateway.
func GatewayRecord(gateway string, value Gateway) registry.Record {
	return gatewayKind.record(GatewayName(gateway), value)
}

// OperationResultRecord returns the record of an operation's result.
func OperationResultRecord(id string, value OperationResult) registry.Record {
	return operationKind.record(OperationName(id), value)
}

// ConfigurationRecord returns the record of the configuration's header. The text is
// stored in chunks, see ChunkRecords.
func ConfigurationRecord(value Configuration) registry.Record {
	return configurationKind.record(ConfigurationName, value)
}

// PathRouteRecord returns the record of a route by host and path.
func PathRouteRecord(value routemap.Route) registry.Record {
	return pathRouteKind.record(PathRouteName(value.Name), value)
}

// HTTPServiceRecord returns the record of a service that is a target of routes by host
// and path.
func HTTPServiceRecord(value routemap.Service) registry.Record {
	return poolKind.record(ServiceName(value.Name), value)
}

// RequestLimitsRecord returns the record of the limits on requests to routes by host
// and path.
func RequestLimitsRecord(value routemap.Limits) registry.Record {
	return requestLimitsKind.record(ConfigurationName, value)
}
