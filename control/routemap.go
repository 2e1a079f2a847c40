package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/patch"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

// Orders for a map of routes. Callers give them no id: what they build on and
// their text are the identity, so that an order sent again to any node is the
// same order. A refusal leaves no record, since a later state may admit the same
// order; it is given only on a state that was the newest when the order came.

const (
	routeMapIDPrefix       = "map-"
	routeMapChangeIDPrefix = "map-change-"
	// routeMapIDBytes is the part of the SHA-256 that names an order.
	routeMapIDBytes = 20
	// versionMember is the member of a map's text that has its version.
	versionMember = "version"
)

// checkRouteMap checks the form of an order for a map of routes.
func (t *task) checkRouteMap(order *peer.RouteMapOperation) *api.Error {
	if len(order.Text) > configuration.MaxDocumentBytes {
		return invalid("text", fmt.Sprintf("must have at most %d bytes", configuration.MaxDocumentBytes))
	}
	kind := "routemap"
	if order.Change == nil {
		if err := order.Map.Validate(); err != nil {
			return invalidMap(err)
		}
	} else {
		kind = "routemap change"
		if err := order.Change.Text.Validate(); err != nil {
			return invalidChange(err)
		}
	}
	t.routeMapID = routeMapID(order)
	t.digest = digestOf(kind, order.BaseVersion, order.Text)
	return nil
}

func invalidMap(err error) *api.Error {
	var problem *routemap.FieldError
	if errors.As(err, &problem) {
		return invalid(problem.Field, problem.Reason)
	}
	return invalid("", err.Error())
}

func routeMapID(order *peer.RouteMapOperation) string {
	prefix := routeMapIDPrefix
	if order.Change != nil {
		prefix = routeMapChangeIDPrefix
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%d\n%s", order.BaseVersion, order.Text))
	return prefix + hex.EncodeToString(sum[:routeMapIDBytes])
}

// routeMapResult is the map that an order leads to, and its text.
type routeMapResult struct {
	routes *routemap.Map
	text   string
}

// resultOf is what an order makes of the current configuration. A change is made
// to it by the primary, in the order's place in the log.
func resultOf(order *peer.RouteMapOperation, contents *catalog.State) (routeMapResult, *api.Error) {
	if order.Change == nil {
		return routeMapResult{routes: &order.Map, text: order.Text}, nil
	}
	current, _ := contents.Configuration()
	version := json.RawMessage(strconv.FormatUint(order.Change.Map.Version, 10))
	text, err := patch.ApplyJSON(current.Document, &order.Change.Text, map[string]json.RawMessage{versionMember: version})
	if err != nil {
		return routeMapResult{}, invalidChange(err)
	}
	if len(text) > configuration.MaxDocumentBytes {
		return routeMapResult{}, invalid("text", fmt.Sprintf("the changed document has %d bytes, at most %d", len(text), configuration.MaxDocumentBytes))
	}
	routes := contents.RouteMap().Apply(&order.Change.Map)
	if err := routes.Validate(); err != nil {
		return routeMapResult{}, invalidMap(err)
	}
	return routeMapResult{routes: routes, text: text}, nil
}

// refuseRouteMap returns why an order may not be carried out on the newest
// state, nil if it may.
func (t *task) refuseRouteMap(contents *catalog.State) *api.Error {
	order := t.request.RouteMap
	current := contents.Version()
	switch {
	case order.BaseVersion != current:
		return &api.Error{
			Code:    api.CodeVersionConflict,
			Outcome: api.OutcomeRefused,
			Message: fmt.Sprintf("built on version %d, the current version is %d", order.BaseVersion, current),
			Field:   "base_version",
		}
	case order.Version() <= current:
		return invalid("version", fmt.Sprintf("must be above the current version %d", current))
	default:
		_, problem := resultOf(order, contents)
		return problem
	}
}

// planRouteMap makes the map the current one, if the version that it was built
// on still is.
func (t *task) planRouteMap(facts orderFacts) (plan, error) {
	order := t.request.RouteMap
	result, problem := resultOf(order, facts.contents)
	if problem != nil {
		return plan{}, problem
	}
	base := configuration.UnchangedPrerequisite(facts.contents.View())
	changes, err := configuration.RouteMapChanges(facts.contents.View(), result.routes, order.Zones, result.text)
	if err != nil {
		return plan{}, err
	}
	answer := catalog.OperationResult{Digest: t.digest, Accepted: true, Version: result.routes.Version, Sequence: facts.number}
	return t.decide(facts, answer, "", []registry.Record{base}, changes), nil
}

// reviewRouteMap refuses an order that the newest state does not admit. It is
// final only if the state is proven to be the newest and holds no answer yet.
func (n *Node) reviewRouteMap(ctx context.Context, task *task, facts orderFacts) (reply peer.OperationReply, refused, final bool) {
	if task.refuseRouteMap(facts.contents) == nil {
		return peer.OperationReply{}, false, false
	}
	observed, problem := n.linearizable(ctx)
	if problem != nil || !observed.primary {
		return peer.OperationReply{}, true, false
	}
	if _, known := observed.contents.OperationResult(task.id()); known {
		return peer.OperationReply{}, true, false
	}
	if reason := task.refuseRouteMap(observed.contents); reason != nil {
		return peer.OperationReply{Error: reason}, true, true
	}
	return peer.OperationReply{}, true, false
}

// Order carries an order out, here or at the primary. It answers when the order
// is in force everywhere, when it is refused, or when ctx ends.
func (n *Node) Order(ctx context.Context, request peer.OperationRequest) peer.OperationReply {
	reply := n.order(ctx, request)
	n.metrics.orders.WithLabelValues(answerLabel(reply)).Inc()
	return reply
}

// Current returns the newest configuration: its version and text as they were
// handed over, and false before the first one. It waits for proof that nothing
// newer was acknowledged.
func (n *Node) Current(ctx context.Context) (catalog.Configuration, bool, *api.Error) {
	observed, problem := n.linearizable(ctx)
	if problem != nil {
		return catalog.Configuration{}, false, problem
	}
	if observed.contents == nil {
		return catalog.Configuration{}, false, nil
	}
	current, configured := observed.contents.Configuration()
	return current, configured, nil
}
