package catalog

import (
	"encoding/base32"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"github.com/deckpulley/deckpulley/registry"
)

// MaxObjectNameBytes bounds the length of an object's name, in octets.
const MaxObjectNameBytes = 128

// ErrObjectName is wrapped by the errors of CheckObjectName and ObjectName.
var ErrObjectName = errors.New("catalog: invalid object name")

// The labels of a registry name consist of letters and digits and ignore case, while
// an object's name may contain any octet. It is therefore escaped reversibly. In the
// short form, which is one label, lower case letters, digits and "-" are unchanged, and
// any other octet becomes escapeByte and two hexadecimal digits. A name whose short form
// exceeds a label has the long form: longPrefix and the name in base 32, split over
// several labels. A short form never begins with longPrefix, so the forms are distinct.
const (
	escapeByte = '_'
	longPrefix = "__"
)

var longEncoding = base32.HexEncoding.WithPadding(base32.NoPadding)

// CheckObjectName returns an error unless the name is valid for an object: 1 to
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

// ServiceName returns the registry name of a service. Like the functions below, it
// returns the empty name, which no table contains, if CheckObjectName rejects the
// service's name.
func ServiceName(service string) registry.Name { return serviceKind.name(service) }

// RouteName returns the registry name of a route, given the model name that callers use.
func RouteName(model string) registry.Name { return routeKind.name(model) }

// PathRouteName returns the registry name of a route by host and path.
func PathRouteName(route string) registry.Name { return pathRouteKind.name(route) }

// RegionName returns the registry name of a region.
func RegionName(region string) registry.Name { return regionKind.name(region) }

// ZoneName returns the registry name of a zone and of its evacuation.
func ZoneName(zone string) registry.Name { return zoneKind.name(zone) }

// ClientName returns the registry name of a client group.
func ClientName(client string) registry.Name { return clientKind.name(client) }

// HomeName returns the registry name of a home rule.
func HomeName(home string) registry.Name { return homeKind.name(home) }

// TenantName returns the registry name of a tenant.
func TenantName(tenant string) registry.Name { return tenantKind.name(tenant) }

// ReplicaName returns the registry name of a replica, its drain and its condition.
func ReplicaName(replica string) registry.Name { return replicaKind.name(replica) }

// GatewayName returns the registry name of a gateway.
func GatewayName(gateway string) registry.Name { return gatewayKind.name(gateway) }

// OperationName returns the registry name of the result of the operation with an id.
func OperationName(id string) registry.Name { return operationKind.name(id) }

// ObjectName returns the name of the object that is stored at a registry name. It is
// the inverse of the functions above and accepts only names that they return, so that
// no object is stored twice. It rejects ConfigurationName, which has no object name.
func ObjectName(name registry.Name) (string, error) {
	labels := name.Labels()
	if len(labels) < 3 || !name.In(Apex) {
		return "", fmt.Errorf("%w: %q is not the name of an object", ErrObjectName, name)
	}
	object, err := unescape(labels[:len(labels)-2])
	if err != nil {
		return "", err
	}
	parent := Apex.Child(labels[len(labels)-2])
	if objectName(parent, object) != name {
		return "", fmt.Errorf("%w: %q is not the canonical name of %q", ErrObjectName, name, object)
	}
	return object, nil
}

// objectName returns the registry name of an object below a parent, empty if
// CheckObjectName rejects the object's name.
func objectName(parent registry.Name, object string) registry.Name {
	if CheckObjectName(object) != nil {
		return ""
	}
	name := parent
	for _, label := range escape(object) {
		name = name.Child(label)
	}
	return name
}

// escape returns the labels of an object's name, the one nearest the apex first.
func escape(object string) []string {
	short := escapeShort(object)
	if len(short) <= registry.MaxLabelBytes {
		return []string{short}
	}
	rest := longPrefix + strings.ToLower(longEncoding.EncodeToString([]byte(object)))
	var labels []string
	for len(rest) > registry.MaxLabelBytes {
		labels = append(labels, rest[:registry.MaxLabelBytes])
		rest = rest[registry.MaxLabelBytes:]
	}
	return append(labels, rest)
}

func escapeShort(object string) string {
	var label strings.Builder
	for i := 0; i < len(object); i++ {
		octet := object[i]
		if isPlain(octet) {
			label.WriteByte(octet)
			continue
		}
		label.WriteByte(escapeByte)
		label.WriteString(hex.EncodeToString([]byte{octet}))
	}
	return label.String()
}

// isPlain reports whether an octet needs no escape in a label.
func isPlain(octet byte) bool {
	return octet >= 'a' && octet <= 'z' || octet >= '0' && octet <= '9' || octet == '-'
}

// unescape is the inverse of escape, except that the labels are in the order of the
// registry name: the one nearest the apex is the last.
func unescape(labels []string) (string, error) {
	nearest := labels[len(labels)-1]
	if strings.HasPrefix(nearest, longPrefix) {
		return unescapeLong(labels)
	}
	if len(labels) > 1 {
		return "", fmt.Errorf("%w: a short form of %d labels, want 1", ErrObjectName, len(labels))
	}
	return unescapeShort(nearest)
}

func unescapeLong(labels []string) (string, error) {
	var text strings.Builder
	for i := len(labels) - 1; i >= 0; i-- {
		text.WriteString(labels[i])
	}
	encoded := strings.TrimPrefix(text.String(), longPrefix)
	object, err := longEncoding.DecodeString(strings.ToUpper(encoded))
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrObjectName, err)
	}
	return string(object), nil
}

func unescapeShort(label string) (string, error) {
	const escapedBytes = 3 // escapeByte and two digits
	var object strings.Builder
	for i := 0; i < len(label); i++ {
		if label[i] != escapeByte {
			object.WriteByte(label[i])
			continue
		}
		if i+escapedBytes > len(label) {
			return "", fmt.Errorf("%w: incomplete escape sequence in %q", ErrObjectName, label)
		}
		octet, err := hex.DecodeString(label[i+1 : i+escapedBytes])
		if err != nil {
			return "", fmt.Errorf("%w: %w", ErrObjectName, err)
		}
		object.Write(octet)
		i += escapedBytes - 1
	}
	return object.String(), nil
}
