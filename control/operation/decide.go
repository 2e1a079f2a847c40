package operation

import (
	"fmt"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/control/apierror"
	"github.com/deckpulley/deckpulley/control/permission"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/patch"
	"github.com/deckpulley/deckpulley/registry"
)

// Facts are the primary's state on which a decision is based. If the relevant state has
// changed before the decision's update is applied, a prerequisite of the update fails.
type Facts struct {
	Catalog *catalog.State
	// Sequence orders the stored results by age.
	Sequence uint64
	// ExcessOperations are the names of the oldest stored results, which the decision's
	// update deletes.
	ExcessOperations []registry.Name
}

// Decision is the result of an operation and the update that puts it into effect.
type Decision struct {
	Update registry.Update
	Answer catalog.OperationResult
}

// Decide decides an operation that has an id. A refusal is a decision too. The error is
// an internal one, or the *api.Error of an operation on the route map that
// RefuseRouteMap refuses.
func (o *Operation) Decide(facts Facts) (Decision, error) {
	if o.request.Configuration != nil {
		return o.decideConfiguration(facts)
	}
	if o.request.ConfigurationChange != nil {
		return o.decideConfigurationChange(facts)
	}
	if o.request.RouteMap != nil {
		return o.decideRouteMap(facts)
	}
	return o.decideEvacuation(facts), nil
}

// decideConfiguration accepts a document whose base version is the current version.
// Its decision, also a refusal, is valid only while that version is current.
func (o *Operation) decideConfiguration(facts Facts) (Decision, error) {
	request := o.request.Configuration
	if refused, stale := o.refuseStaleBase(facts, request.BaseVersion); stale && !planted.Active(planted.AcceptOldBase) {
		return refused, nil
	}
	return o.acceptDocument(facts, o.document, request.Author, request.Document)
}

// decideConfigurationChange applies a change to the current document, if the change's
// base version is the current version and the result is valid.
func (o *Operation) decideConfigurationChange(facts Facts) (Decision, error) {
	request := o.request.ConfigurationChange
	if refused, stale := o.refuseStaleBase(facts, request.BaseVersion); stale {
		return refused, nil
	}
	text, document, problem := changedDocument(facts.Catalog, o.change)
	if problem != nil {
		return o.refuse(facts, unchangedPrerequisite(facts), problem), nil
	}
	return o.acceptDocument(facts, document, request.Author, text)
}

// changedDocument returns the current document with a change applied.
func changedDocument(current *catalog.State, change *patch.Change) (string, *configuration.Document, *api.Error) {
	record, _ := current.Configuration()
	text, err := patch.ApplyYAML(record.Document, change)
	if err != nil {
		return "", nil, invalidChange(err)
	}
	document, err := configuration.Load(text)
	if err != nil {
		return "", nil, invalidDocument(err)
	}
	return text, document, nil
}

// refuseStaleBase refuses an operation whose base version is not the current version.
func (o *Operation) refuseStaleBase(facts Facts, base uint64) (refused Decision, stale bool) {
	if base == facts.Catalog.Version() {
		return Decision{}, false
	}
	return o.refuse(facts, unchangedPrerequisite(facts), versionConflict(base, facts.Catalog.Version())), true
}

func versionConflict(base, current uint64) *api.Error {
	return &api.Error{
		Code:    api.CodeVersionConflict,
		Outcome: api.OutcomeRefused,
		Message: fmt.Sprintf("built on version %d, the current version is %d", base, current),
		Field:   "base_version",
	}
}

// unchangedPrerequisite requires that the configuration is unchanged.
func unchangedPrerequisite(facts Facts) registry.Record {
	return configuration.UnchangedPrerequisite(facts.Catalog.View())
}

// acceptDocument accepts a document as the next version.
func (o *Operation) acceptDocument(facts Facts, document *configuration.Document, author, text string) (Decision, error) {
	version := facts.Catalog.Version() + 1
	changes, err := configuration.Changes(facts.Catalog.View(), document, version, author, text)
	if err != nil {
		return Decision{}, err
	}
	return o.accept(facts, version, author, unchangedPrerequisite(facts), changes), nil
}

// RefuseEvacuation returns the reason why an evacuation may not be executed on a state, nil
// if it may: its operator did not know the last change of the zone, so that it may be an
// operation from before that change, which was delayed on its way. The refusal is not
// stored.
func (o *Operation) RefuseEvacuation(current *catalog.State) *api.Error {
	request := o.request.Evacuation
	known := o.request.KnownSerial
	unchanged := current.IsEvacuated(request.Zone) != request.Withdraw
	if known == nil || unchanged || !current.EvacuationChangedSince(request.Zone, *known) {
		return nil
	}
	return &api.Error{
		Code:    api.CodeVersionConflict,
		Outcome: api.OutcomeRefused,
		Message: fmt.Sprintf("the evacuation of zone %q may have changed after serial %d", request.Zone, *known),
	}
}

// decideEvacuation evacuates a zone of the current configuration, or ends its
// evacuation. The decision is valid only while the zone's evacuation is unchanged.
func (o *Operation) decideEvacuation(facts Facts) Decision {
	request := o.request.Evacuation
	name := catalog.ZoneName(request.Zone)
	if _, known := facts.Catalog.Zones()[request.Zone]; !known {
		return o.refuse(facts, registry.Absent(name, catalog.TypeZone), &api.Error{
			Code:    api.CodeNotFound,
			Message: fmt.Sprintf("the configuration has no zone %q", request.Zone),
			Field:   "zone",
		})
	}
	change := registry.DeleteRRset(name, catalog.TypeEvacuation)
	if !request.Withdraw {
		change = registry.Add(catalog.EvacuationRecord(request.Zone, catalog.Evacuation{Author: request.Author, OperationID: request.OperationID}))
	}
	decision := o.accept(facts, facts.Catalog.Version(), request.Author, registry.Exists(name, catalog.TypeZone), []registry.Record{change})
	if o.request.KnownSerial != nil {
		decision.Update.Prerequisites = append(decision.Update.Prerequisites, unchangedEvacuation(facts.Catalog, request.Zone))
	}
	return decision
}

// unchangedEvacuation requires that the evacuation of a zone is as in a state.
func unchangedEvacuation(current *catalog.State, zone string) registry.Record {
	name := catalog.ZoneName(zone)
	for _, record := range current.View().Lookup(name, catalog.TypeEvacuation) {
		return registry.Equals(record)
	}
	return registry.Absent(name, catalog.TypeEvacuation)
}

// accept returns a decision with changes, valid under a prerequisite. The version is
// that of the configuration after the changes.
func (o *Operation) accept(facts Facts, version uint64, author string, prerequisite registry.Record, changes []registry.Record) Decision {
	answer := catalog.OperationResult{Digest: o.digest, Accepted: true, Version: version, Sequence: facts.Sequence}
	return o.decision(facts, answer, author, prerequisite, changes)
}

// refuse returns a decision without changes, valid under a prerequisite.
func (o *Operation) refuse(facts Facts, prerequisite registry.Record, reason *api.Error) Decision {
	answer := catalog.OperationResult{
		Digest:   o.digest,
		Version:  facts.Catalog.Version(),
		Sequence: facts.Sequence,
		Code:     string(reason.Code),
		Field:    reason.Field,
		Reason:   reason.Message,
	}
	return o.decision(facts, answer, "", prerequisite, nil)
}

// decision adds the record of the result to the changes, and the prerequisite that no
// result is stored yet.
func (o *Operation) decision(facts Facts, answer catalog.OperationResult, author string, prerequisite registry.Record, changes []registry.Record) Decision {
	noResult := registry.Absent(catalog.OperationName(o.ID()), catalog.TypeOperation)
	changes = append(changes, registry.Add(catalog.OperationResultRecord(o.ID(), answer)))
	for _, oldest := range facts.ExcessOperations {
		changes = append(changes, registry.DeleteRRset(oldest, catalog.TypeOperation))
	}
	update := registry.NewUpdate(catalog.Apex, []registry.Record{prerequisite, noResult}, changes)
	update.Requestor = permission.Operator(author)
	return Decision{Update: update, Answer: answer}
}

// Answer returns the answer to an operation whose result is stored since a serial.
func Answer(id string, decided catalog.OperationResult, serial uint32) *api.OperationResult {
	answer := &api.OperationResult{
		OperationID: id,
		Accepted:    decided.Accepted,
		Version:     decided.Version,
		Serial:      serial,
	}
	if !decided.Accepted {
		answer.Error = &api.Error{
			Code:    api.Code(decided.Code),
			Outcome: api.OutcomeRefused,
			Message: decided.Reason,
			Field:   decided.Field,
		}
	}
	return answer
}

// ConflictError returns the error for an operation whose id was used for another one.
func ConflictError() *api.Error {
	return &api.Error{
		Code:    api.CodeOperationConflict,
		Outcome: api.OutcomeRefused,
		Message: "this order id was used for another order",
		Field:   "order_id",
	}
}

// UnfinishedError returns the error for an operation whose deadline has passed. The
// operation may have been executed if it was sent to a primary or proposed.
func UnfinishedError(maybeExecuted bool) *api.Error {
	if !maybeExecuted {
		return apierror.NoPrimary("no primary was reached in time; the order was not executed", api.OutcomeRefused)
	}
	return apierror.Pending("the order is not yet known to be in force everywhere; send it again with the same order id")
}
