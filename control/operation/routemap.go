package operation

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/control/apierror"
	"github.com/deckpulley/deckpulley/patch"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/routemap"
)

// Operations on the route map arrive without an id. Their id is derived from their base
// version and text, so that a resent operation is recognized by any node. A refusal is
// not stored, since the same operation may be valid in a later state; it is returned
// only on a state that was the newest when the operation arrived.

const (
	routeMapIDPrefix       = "map-"
	routeMapChangeIDPrefix = "map-change-"
	// routeMapIDBytes is the length of the SHA-256 prefix that identifies an operation.
	routeMapIDBytes = 20
	// versionMember is the member of a map's text that contains its version.
	versionMember = "version"
)

func (o *Operation) checkRouteMap(request *peer.RouteMapOperation) *api.Error {
	if len(request.Text) > configuration.MaxDocumentBytes {
		return apierror.Invalid("text", fmt.Sprintf("has %d bytes, at most %d", len(request.Text), configuration.MaxDocumentBytes))
	}
	kind := "routemap"
	if request.Change == nil {
		if err := request.Map.Validate(); err != nil {
			return invalidMap(err)
		}
	} else {
		kind = "routemap change"
		if err := request.Change.Text.Validate(); err != nil {
			return invalidChange(err)
		}
	}
	o.routeMapID = routeMapID(request)
	o.digest = digestOf(kind, request.BaseVersion, request.Text)
	return nil
}

func invalidMap(err error) *api.Error {
	var problem *routemap.FieldError
	if errors.As(err, &problem) {
		return apierror.Invalid(problem.Field, problem.Reason)
	}
	return apierror.Invalid("", err.Error())
}

func routeMapID(request *peer.RouteMapOperation) string {
	prefix := routeMapIDPrefix
	if request.Change != nil {
		prefix = routeMapChangeIDPrefix
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%d\n%s", request.BaseVersion, request.Text))
	return prefix + hex.EncodeToString(sum[:routeMapIDBytes])
}

// RefuseRouteMap returns the reason why an operation on the route map may not be
// executed on the newest state, nil if it may.
func (o *Operation) RefuseRouteMap(newest *catalog.State) *api.Error {
	request := o.request.RouteMap
	current := newest.Version()
	switch {
	case request.BaseVersion != current:
		return versionConflict(request.BaseVersion, current)
	case request.Version() <= current:
		return apierror.Invalid("version", fmt.Sprintf("must be above the current version %d", current))
	default:
		_, problem := resultingRouteMap(request, newest)
		return problem
	}
}

// decideRouteMap replaces the current map. The decision is valid only while the map's
// base version is the current version.
func (o *Operation) decideRouteMap(facts Facts) (Decision, error) {
	request := o.request.RouteMap
	result, problem := resultingRouteMap(request, facts.Catalog)
	if problem != nil {
		return Decision{}, problem
	}
	changes, err := configuration.RouteMapChanges(facts.Catalog.View(), result.routes, request.Zones, result.text)
	if err != nil {
		return Decision{}, err
	}
	return o.accept(facts, result.routes.Version, "", unchangedPrerequisite(facts), changes), nil
}

// routeMapWithText is a route map and the text that it was read from.
type routeMapWithText struct {
	routes *routemap.Map
	text   string
}

// resultingRouteMap returns the map that results from an operation on the current
// configuration. The primary applies a change when it decides the operation, so that
// the change applies to the state at the operation's position in the log.
func resultingRouteMap(request *peer.RouteMapOperation, current *catalog.State) (routeMapWithText, *api.Error) {
	if request.Change == nil {
		return routeMapWithText{routes: &request.Map, text: request.Text}, nil
	}
	record, _ := current.Configuration()
	version := json.RawMessage(strconv.FormatUint(request.Change.Map.Version, 10))
	text, err := patch.ApplyJSON(record.Document, &request.Change.Text, map[string]json.RawMessage{versionMember: version})
	if err != nil {
		return routeMapWithText{}, invalidChange(err)
	}
	if len(text) > configuration.MaxDocumentBytes {
		return routeMapWithText{}, apierror.Invalid("text", fmt.Sprintf("the changed document has %d bytes, at most %d", len(text), configuration.MaxDocumentBytes))
	}
	routes := current.RouteMap().Apply(&request.Change.Map)
	if err := routes.Validate(); err != nil {
		return routeMapWithText{}, invalidMap(err)
	}
	return routeMapWithText{routes: routes, text: text}, nil
}
