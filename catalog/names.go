package catalog

import (
	"encoding/base32"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"github.com/deckpulley/deckpulley/registry"
)

// MaxObjectNameBytes bounds the name of anything that has a place in the table.
const MaxObjectNameBytes = 128

// ErrObjectName is wrapped by the errors of CheckObjectName and of name decoding.
var ErrObjectName = errors.New("places: invalid object name")

// Names under which the kinds of objects are kept.
const (
	ConfigurationName registry.Name = "configuration." + Apex
	documentsName     registry.Name = "documents." + Apex
	servicesName      registry.Name = "services." + Apex
	routesName        registry.Name = "routes." + Apex
	pathRoutesName    registry.Name = "pathroutes." + Apex
	regionsName       registry.Name = "regions." + Apex
	zonesName         registry.Name = "zones." + Apex
	clientsName       registry.Name = "clients." + Apex
	homesName         registry.Name = "homes." + Apex
	tenantsName       registry.Name = "tenants." + Apex
	replicasName      registry.Name = "replicas." + Apex
	gatewaysName      registry.Name = "gateways." + Apex
	ordersName        registry.Name = "orders." + Apex
)

// Object names become labels reversibly: lower case letters, digits and "-"
// stand for themselves, any other octet is "_" and two hexadecimal digits. A name
// too long for one label is longMark and its octets in base 32, over several labels.
const (
	escapeMark = '_'
	longMark   = "__"
)

var longEncoding = base32.HexEncoding.WithPadding(base32.NoPadding)

// CheckObjectName reports whether a name can have a place in the table: 1 to
// MaxObjectNameBytes octets.
func CheckObjectName(object string) error {
	if object == "" {
		return fmt.Errorf("%w: empty", ErrObjectName)
	}
	if len(object) > MaxObjectNameBytes {
		return fmt.Errorf("%w: %d octets, at most %d", ErrObjectName, len(object), MaxObjectNameBytes)
	}
	return nil
}

// ParentName returns the name below which records of a kind are, the apex if they are
// at a fixed name.
func ParentName(recordType registry.Type) registry.Name {
	switch recordType {
	case TypeService, TypePool:
		return servicesName
	case TypePathRoute:
		return pathRoutesName
	case TypeRoute:
		return routesName
	case TypeRegion:
		return regionsName
	case TypeZone, TypeEvacuation:
		return zonesName
	case TypeClient:
		return clientsName
	case TypeHome:
		return homesName
	case TypeTenant:
		return tenantsName
	case TypeReplica, TypeDrain, TypeCondition:
		return replicasName
	case TypeGateway:
		return gatewaysName
	case TypeOperation:
		return ordersName
	case TypeDocumentChunk:
		return documentsName
	}
	return Apex
}

// ServiceName is the place of a service. Like the functions below, it returns
// the empty name, which is in no table, if CheckObjectName rejects the object.
func ServiceName(service string) registry.Name { return place(servicesName, service) }

// RouteName is the place of a route, by the model name that callers use.
func RouteName(model string) registry.Name { return place(routesName, model) }

// PathRouteName is the place of a route by host and path.
func PathRouteName(route string) registry.Name { return place(pathRoutesName, route) }

// RegionName is the place of a region.
func RegionName(region string) registry.Name { return place(regionsName, region) }

// ZoneName is the place of a zone and of its evacuation.
func ZoneName(zone string) registry.Name { return place(zonesName, zone) }

// ClientName is the place of a client group.
func ClientName(client string) registry.Name { return place(clientsName, client) }

// HomeName is the place of a home rule.
func HomeName(home string) registry.Name { return place(homesName, home) }

// TenantName is the place of a tenant.
func TenantName(tenant string) registry.Name { return place(tenantsName, tenant) }

// ReplicaName is the place of a replica, its drain order and its condition.
func ReplicaName(replica string) registry.Name { return place(replicasName, replica) }

// GatewayName is the place of a gateway.
func GatewayName(gateway string) registry.Name { return place(gatewaysName, gateway) }

// OperationName is the place of the answer to an order.
func OperationName(order string) registry.Name { return place(ordersName, order) }

// ObjectName returns the object whose place the name is: the reverse of the
// functions above. ConfigurationName has no object.
func ObjectName(name registry.Name) (string, error) {
	labels := name.Labels()
	if len(labels) < 3 || !name.In(Apex) {
		return "", fmt.Errorf("%w: %q is no object's place", ErrObjectName, name)
	}
	object, err := unescape(labels[:len(labels)-2])
	if err != nil {
		return "", err
	}
	if canonical := place(Apex.Child(labels[len(labels)-2]), object); canonical != name {
		return "", fmt.Errorf("%w: %q is not the canonical place of %q", ErrObjectName, name, object)
	}
	return object, nil
}

func place(under registry.Name, object string) registry.Name {
	if CheckObjectName(object) != nil {
		return ""
	}
	name := under
	for _, label := range escape(object) {
		name = name.Child(label)
	}
	return name
}

// escape returns the labels of an object, the one nearest the apex first.
func escape(object string) []string {
	var label strings.Builder
	for i := 0; i < len(object); i++ {
		octet := object[i]
		if isPlain(octet) {
			label.WriteByte(octet)
			continue
		}
		label.WriteByte(escapeMark)
		label.WriteString(hex.EncodeToString([]byte{octet}))
	}
	if label.Len() <= registry.MaxLabelBytes {
		return []string{label.String()}
	}
	rest := longMark + strings.ToLower(longEncoding.EncodeToString([]byte(object)))
	var labels []string
	for len(rest) > registry.MaxLabelBytes {
		labels = append(labels, rest[:registry.MaxLabelBytes])
		rest = rest[registry.MaxLabelBytes:]
	}
	return append(labels, rest)
}

func isPlain(octet byte) bool {
	return octet >= 'a' && octet <= 'z' || octet >= '0' && octet <= '9' || octet == '-'
}

// unescape reverses escape; the labels come in the order of the name.
func unescape(labels []string) (string, error) {
	nearest := labels[len(labels)-1]
	if !strings.HasPrefix(nearest, longMark) {
		if len(labels) > 1 {
			return "", fmt.Errorf("%w: %d labels", ErrObjectName, len(labels))
		}
		return unescapeShort(nearest)
	}
	var text strings.Builder
	for i := len(labels) - 1; i >= 0; i-- {
		text.WriteString(labels[i])
	}
	raw, err := longEncoding.DecodeString(strings.ToUpper(strings.TrimPrefix(text.String(), longMark)))
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrObjectName, err)
	}
	return string(raw), nil
}

func unescapeShort(label string) (string, error) {
	var object strings.Builder
	for i := 0; i < len(label); i++ {
		if label[i] != escapeMark {
			object.WriteByte(label[i])
			continue
		}
		if i+3 > len(label) {
			return "", fmt.Errorf("%w: short escape in %q", ErrObjectName, label)
		}
		octet, err := hex.DecodeString(label[i+1 : i+3])
		if err != nil {
			return "", fmt.Errorf("%w: %w", ErrObjectName, err)
		}
		object.Write(octet)
		i += 2
	}
	return object.String(), nil
}
