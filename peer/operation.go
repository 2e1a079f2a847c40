package peer

import (
	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/patch"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

// UpdateRequest forwards one registry update to the primary, possibly through other
// nodes (RFC 2136, section 6).
type UpdateRequest struct {
	Update registry.Update `cbor:"1,keyasint"`
	// Hops is the number of nodes that have forwarded the update. It is limited, because
	// RFC 2136 has no loop detection (section 7.17).
	Hops uint8 `cbor:"2,keyasint"`
}

// UpdateReply answers UpdateRequest with the primary's response (RFC 2136, section
// 6.4).
type UpdateReply struct {
	Code   registry.ResponseCode `cbor:"1,keyasint"`
	Serial uint32                `cbor:"2,keyasint"`
	// Primary is the address to try next if Code is ServFail because this node cannot
	// reach the primary; empty if unknown.
	Primary string `cbor:"3,keyasint,omitempty"`
}

// OperationRequest forwards an operation of an operator or of the platform to the
// primary, possibly through other nodes. Exactly one of the operations is set.
type OperationRequest struct {
	Configuration *api.ConfigurationOperation `cbor:"1,keyasint,omitempty"`
	Evacuation    *api.EvacuationOperation    `cbor:"2,keyasint,omitempty"`
	Replicas      *api.ReplicaList            `cbor:"3,keyasint,omitempty"`
	Hops          uint8                       `cbor:"4,keyasint"` // as in UpdateRequest
	WaitMS        int64                       `cbor:"5,keyasint"` // how long the sender waits for the reply, in milliseconds
	RouteMap      *RouteMapOperation          `cbor:"6,keyasint,omitempty"`
	// ConfigurationChange changes named items of the configuration document.
	ConfigurationChange *api.ConfigurationPatchOperation `cbor:"7,keyasint,omitempty"`
	// KnownSerial, if set, is the registry serial up to which the operator may have known the
	// zone of an evacuation. The evacuation is rejected with api.CodeVersionConflict if it
	// would change the zone and the zone changed after that serial, or may have. Earlier
	// versions ignore it.
	KnownSerial *uint32 `cbor:"8,keyasint,omitempty"`
}

// OperationReply answers OperationRequest with the first result of the operation, or
// with an error. After an error, the outcome of the operation is unknown.
type OperationReply struct {
	Answer *api.OperationResult `cbor:"1,keyasint,omitempty"`
	Error  *api.Error           `cbor:"2,keyasint,omitempty"`
}

// RouteMapOperation replaces the route map or changes a part of it. BaseVersion and Text
// identify the operation, so that an operation that is sent again is carried out only
// once.
type RouteMapOperation struct {
	BaseVersion uint64 `cbor:"1,keyasint"`
	// Map is the complete new map; unused if Change is set.
	Map routemap.Map `cbor:"2,keyasint"`
	// Text is the map or the change in the form in which the operator wrote it.
	Text string `cbor:"3,keyasint"`
	// Zones maps the fleet's zones to their regions.
	Zones map[string]string `cbor:"4,keyasint"`
	// Change is the change that the primary applies to the map of the base version. If
	// it is nil, the primary replaces the map.
	Change *RouteMapChange `cbor:"5,keyasint,omitempty"`
}

// Version returns the version that the map has after the operation.
func (o *RouteMapOperation) Version() uint64 {
	if o.Change != nil {
		return o.Change.Map.Version
	}
	return o.Map.Version
}

// RouteMapChange is a change of the route map together with the same change of the
// map's text, which operators can read back.
type RouteMapChange struct {
	Map  routemap.Change `cbor:"1,keyasint"`
	Text patch.Change    `cbor:"2,keyasint"`
}
