package control

import (
	"fmt"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/places"
	"github.com/deckpulley/deckpulley/registry"
)

// Decisions. What an order changes follows from the facts at the primary alone; the
// prerequisites of the update make it void if they have changed meanwhile.

// plan is a decision and the update that makes it so.
type plan struct {
	update registry.Update
	answer places.Order
}

func (t *task) plan(facts orderFacts) (plan, error) {
	if t.request.Configuration != nil {
		return t.planConfiguration(facts)
	}
	if t.request.RouteMap != nil {
		return t.planRouteMap(facts)
	}
	return t.planEvacuation(facts), nil
}

// planConfiguration accepts a document that was built on the current version.
// Either way the decision holds only while that version is the current one.
func (t *task) planConfiguration(facts orderFacts) (plan, error) {
	order := t.request.Configuration
	base := configuration.BasePrerequisite(facts.contents.View())
	current := facts.contents.Version()
	if order.BaseVersion != current && !planted.Active(planted.AcceptOldBase) {
		reason := fmt.Sprintf("built on version %d, the current version is %d", order.BaseVersion, current)
		return t.refuse(facts, base, api.CodeVersionConflict, "base_version", reason), nil
	}
	version := current + 1
	changes, err := configuration.Changes(facts.contents.View(), t.document, version, order.Author, order.Document)
	if err != nil {
		return plan{}, err
	}
	answer := places.Order{Digest: t.digest, Accepted: true, Version: version, Number: facts.number}
	return t.decide(facts, answer, order.Author, []registry.Record{base}, changes), nil
}

// planEvacuation empties a zone of the current configuration, or withdraws that.
func (t *task) planEvacuation(facts orderFacts) plan {
	order := t.request.Evacuation
	name := places.ZoneName(order.Zone)
	if _, known := facts.contents.Zones()[order.Zone]; !known {
		reason := fmt.Sprintf("the configuration has no zone %q", order.Zone)
		return t.refuse(facts, registry.Absent(name, places.TypeZone), api.CodeNotFound, "zone", reason)
	}
	change := registry.DeleteSet(name, places.TypeEvacuation)
	if !order.Withdraw {
		change = registry.Add(places.EvacuationRecord(order.Zone, places.Evacuation{Author: order.Author, Order: order.OrderID}))
	}
	answer := places.Order{Digest: t.digest, Accepted: true, Version: facts.contents.Version(), Number: facts.number}
	exists := registry.Exists(name, places.TypeZone)
	return t.decide(facts, answer, order.Author, []registry.Record{exists}, []registry.Record{change})
}

func (t *task) refuse(facts orderFacts, while registry.Record, code api.Code, field, reason string) plan {
	answer := places.Order{
		Digest:  t.digest,
		Version: facts.contents.Version(),
		Number:  facts.number,
		Code:    string(code),
		Field:   field,
		Reason:  reason,
	}
	return t.decide(facts, answer, "", []registry.Record{while}, nil)
}

// decide adds the answer's record to the changes, once: no answer may exist.
func (t *task) decide(facts orderFacts, answer places.Order, author string, prerequisites, changes []registry.Record) plan {
	name := places.OrderName(t.id())
	prerequisites = append(prerequisites, registry.Absent(name, places.TypeOrder))
	changes = append(changes, registry.Add(places.OrderRecord(t.id(), answer)))
	for _, oldest := range facts.surplus {
		changes = append(changes, registry.DeleteSet(oldest, places.TypeOrder))
	}
	update := registry.NewUpdate(places.Apex, prerequisites, changes)
	update.Requestor = requestorOperator + author
	return plan{update: update, answer: answer}
}
