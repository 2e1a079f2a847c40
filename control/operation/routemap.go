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

// Operations on the route map come without an id: what they build on and their text
// identify them, so that one sent again to any node is the same operation. A refusal
// leaves no record, since a later state may admit the same operation; it is given
// only on a state that was the newest when the operation came.

const (
	routeMapIDPrefix       = "map-"
	routeMapChangeIDPrefix = "map-change-"
	// routeMapIDBytes is the part of the SHA-256 that identifies an operation.
	routeMapIDBytes = 20
	// versionMember is the member of a map's text that has its version.
	versionMember = "version"
)

func (o *Operation) checkRouteMap(request *peer.RouteMapOperation) *api.Error {
	if len(request.Text) > configuration.MaxDocumentBytes {
		return apierror.Invalid("text", fmt.Sprintf("must have at most %d bytes", configuration.MaxDocumentBytes))
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

// RefuseRouteMap returns why an operation on the route map may not be executed on
// the newest state, nil if it may.
func (o *Operation) RefuseRouteMap(newest *catalog.State) *api.Error {
	request := o.request.RouteMap
	current := newest.Version()
	switch {
	case request.BaseVersion != current:
		return versionConflict(request.BaseVersion, current)
	case request.Version() <= current:
		return apierror.Invalid("version", fmt.Sprintf("must be above the current version %d", current))
	default:
		_, problem := routeMapAfter(request, newest)
		return problem
	}
}

// decideRouteMap makes the map the current one, if the version that it was built on
// still is.
func (o *Operation) decideRouteMap(facts Facts) (Decision, error) {
	request := o.request.RouteMap
	after, problem := routeMapAfter(request, facts.Catalog)
	if problem != nil {
		return Decision{}, problem
	}
	changes, err := configuration.RouteMapChanges(facts.Catalog.View(), after.routes, request.Zones, after.text)
	if err != nil {
		return Decision{}, err
	}
	return o.accept(facts, after.routes.Version, "", basePrerequisite(facts), changes), nil
}

// routeMapWithText is a route map and the text that it was read from.
type routeMapWithText struct {
	routes *routemap.Map
	text   string
}

// routeMapAfter is what an operation makes of the current configuration. A change is
// made to it by the primary, in the operation's place in the log.
func routeMapAfter(request *peer.RouteMapOperation, current *catalog.State) (routeMapWithText, *api.Error) {
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
