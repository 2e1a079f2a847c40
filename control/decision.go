package control

import (
	"fmt"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/patch"
	"github.com/deckpulley/deckpulley/registry"
)

// Decisions. What an order changes follows from the facts at the primary alone; the
// prerequisites of the update make it void if they have changed meanwhile.

// plan is a decision and the update that makes it so.
type plan struct {
	update registry.Update
	answer catalog.OperationResult
}

func (t *task) plan(facts orderFacts) (plan, error) {
	if t.request.Configuration != nil {
		return t.planConfiguration(facts)
	}
	if t.request.ConfigurationChange != nil {
		return t.planConfigurationChange(facts)
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
	if refused, stale := t.refuseOldBase(facts, order.BaseVersion); stale && !planted.Active(planted.AcceptOldBase) {
		return refused, nil
	}
	return t.acceptDocument(facts, t.document, order.Author, order.Document)
}

// planConfigurationChange makes a change to the document of the version that it
// was built on, if that is the current one and the result is valid.
func (t *task) planConfigurationChange(facts orderFacts) (plan, error) {
	order := t.request.ConfigurationChange
	if refused, stale := t.refuseOldBase(facts, order.BaseVersion); stale {
		return refused, nil
	}
	text, document, problem := changedDocument(facts.contents, t.change)
	if problem != nil {
		base := configuration.UnchangedPrerequisite(facts.contents.View())
		return t.refuse(facts, base, problem.Code, problem.Field, problem.Message), nil
	}
	return t.acceptDocument(facts, document, order.Author, text)
}

// changedDocument is the current document with a change made to it.
func changedDocument(contents *catalog.State, change *patch.Change) (string, *configuration.Document, *api.Error) {
	current, _ := contents.Configuration()
	text, err := patch.ApplyYAML(current.Document, change)
	if err != nil {
		return "", nil, invalidChange(err)
	}
	document, err := configuration.Load(text)
	if err != nil {
		return "", nil, invalidDocument(err)
	}
	return text, document, nil
}

// refuseOldBase refuses what was not built on the current version.
func (t *task) refuseOldBase(facts orderFacts, base uint64) (refused plan, stale bool) {
	current := facts.contents.Version()
	if base == current {
		return plan{}, false
	}
	reason := fmt.Sprintf("built on version %d, the current version is %d", base, current)
	while := configuration.UnchangedPrerequisite(facts.contents.View())
	return t.refuse(facts, while, api.CodeVersionConflict, "base_version", reason), true
}

// acceptDocument makes a document the next version.
func (t *task) acceptDocument(facts orderFacts, document *configuration.Document, author, text string) (plan, error) {
	version := facts.contents.Version() + 1
	base := configuration.UnchangedPrerequisite(facts.contents.View())
	changes, err := configuration.Changes(facts.contents.View(), document, version, author, text)
	if err != nil {
		return plan{}, err
	}
	answer := catalog.OperationResult{Digest: t.digest, Accepted: true, Version: version, Sequence: facts.number}
	return t.decide(facts, answer, author, []registry.Record{base}, changes), nil
}

// planEvacuation empties a zone of the current configuration, or withdraws that.
func (t *task) planEvacuation(facts orderFacts) plan {
	order := t.request.Evacuation
	name := catalog.ZoneName(order.Zone)
	if _, known := facts.contents.Zones()[order.Zone]; !known {
		reason := fmt.Sprintf("the configuration has no zone %q", order.Zone)
		return t.refuse(facts, registry.Absent(name, catalog.TypeZone), api.CodeNotFound, "zone", reason)
	}
	change := registry.DeleteSet(name, catalog.TypeEvacuation)
	if !order.Withdraw {
		change = registry.Add(catalog.EvacuationRecord(order.Zone, catalog.Evacuation{Author: order.Author, OperationID: order.OperationID}))
	}
	answer := catalog.OperationResult{Digest: t.digest, Accepted: true, Version: facts.contents.Version(), Sequence: facts.number}
	exists := registry.Exists(name, catalog.TypeZone)
	return t.decide(facts, answer, order.Author, []registry.Record{exists}, []registry.Record{change})
}

func (t *task) refuse(facts orderFacts, while registry.Record, code api.Code, field, reason string) plan {
	answer := catalog.OperationResult{
		Digest:   t.digest,
		Version:  facts.contents.Version(),
		Sequence: facts.number,
		Code:     string(code),
		Field:    field,
		Reason:   reason,
	}
	return t.decide(facts, answer, "", []registry.Record{while}, nil)
}

// decide adds the answer's record to the changes, once: no answer may exist.
func (t *task) decide(facts orderFacts, answer catalog.OperationResult, author string, prerequisites, changes []registry.Record) plan {
	name := catalog.OperationName(t.id())
	prerequisites = append(prerequisites, registry.Absent(name, catalog.TypeOperation))
	changes = append(changes, registry.Add(catalog.OperationResultRecord(t.id(), answer)))
	for _, oldest := range facts.surplus {
		changes = append(changes, registry.DeleteSet(oldest, catalog.TypeOperation))
	}
	update := registry.NewUpdate(catalog.Apex, prerequisites, changes)
	update.Requestor = requestorOperator + author
	return plan{update: update, answer: answer}
}
