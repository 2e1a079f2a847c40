package executor

import (
	"context"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/control/apierror"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/operation"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/registry"
)

// decide decides an operation at the primary. An operation that was decided before gets
// its stored result again.
func (e *Executor) decide(ctx context.Context, observed *engine.Observation, execution *execution) attemptResult {
	state, err := e.engine.OperationState(ctx, execution.ID())
	if err != nil || !state.Primary {
		return tryAgain
	}
	if state.Decided {
		return e.repeatAnswer(ctx, execution, state)
	}
	if execution.IsRouteMap() {
		if attempt, refused := e.checkRouteMap(ctx, execution, state.Catalog); refused {
			return attempt
		}
	}
	if execution.IsEvacuation() {
		if reason := execution.RefuseEvacuation(state.Catalog); reason != nil {
			return rejected(reason)
		}
	}
	decision, err := execution.Decide(operation.Facts{Catalog: state.Catalog, Sequence: state.Sequence, ExcessOperations: state.ExcessOperations})
	if err != nil {
		return rejected(apierror.Internal(err))
	}
	if planted.Active(planted.AcknowledgeUnwritten) && state.Catalog.Version() > 0 {
		return answered(operation.Answer(execution.ID(), decision.Answer, observed.Serial+1))
	}
	if planted.Active(planted.PrimaryStays) && e.config.Queue.Now()-observed.QuorumContact > e.config.LeaseLength {
		return answered(operation.Answer(execution.ID(), decision.Answer, observed.Serial+1))
	}
	result, err := e.engine.Propose(ctx, decision.Update)
	execution.maybeExecuted = execution.maybeExecuted || mayHaveBeenProposed(err)
	if err != nil {
		return tryAgain
	}
	if result.Code != registry.NoError {
		return e.updateFailed(execution, result)
	}
	e.log.Info("operation decided", "order", execution.ID(), "accepted", decision.Answer.Accepted, "code", decision.Answer.Code,
		"version", decision.Answer.Version, "serial", result.Serial, "term", observed.Status.Term)
	return e.acknowledge(ctx, execution, decision.Answer, result.Serial)
}

// updateFailed handles an update that the registry did not apply. If a prerequisite
// failed, the state has changed since the decision, and another attempt decides on the
// new state. Any other update can never be applied.
func (e *Executor) updateFailed(execution *execution, result registry.Result) attemptResult {
	if result.Section == registry.SectionPrerequisite {
		return tryAgain
	}
	e.log.Error("operation update failed", "order", execution.ID(), "code", result.Code.String(), "section", result.Section, "reason", result.Reason)
	return internalError("update answered %s in section %q", result.Code, result.Section)
}

// repeatAnswer answers with the stored result of an operation that was decided before.
// It is a conflict if the stored result belongs to other content under the same id.
func (e *Executor) repeatAnswer(ctx context.Context, execution *execution, state engine.OperationState) attemptResult {
	if state.Answer.Digest != execution.Digest() {
		return rejected(operation.ConflictError())
	}
	if planted.Active(planted.RefuseResentOrder) {
		state.Answer.Accepted, state.Answer.Code = false, string(api.CodeVersionConflict)
	}
	return e.acknowledge(ctx, execution, state.Answer, state.Serial)
}

// checkRouteMap rejects an operation on the route map that the current state does not
// allow. The rejection is final only if a linearizable read confirms it and finds no
// stored result of the operation.
func (e *Executor) checkRouteMap(ctx context.Context, execution *execution, current *catalog.State) (_ attemptResult, refused bool) {
	if execution.RefuseRouteMap(current) == nil {
		return attemptResult{}, false
	}
	observed, problem := e.config.Reader.Linearizable(ctx)
	if problem != nil || !observed.Primary {
		return tryAgain, true
	}
	if _, decided := observed.Catalog.OperationResult(execution.ID()); decided {
		return tryAgain, true
	}
	if reason := execution.RefuseRouteMap(observed.Catalog); reason != nil {
		return rejected(reason), true
	}
	return tryAgain, true
}

// acknowledge answers with a stored result: a refusal immediately, an acceptance
// once its serial is in force at every gateway that may place requests.
func (e *Executor) acknowledge(ctx context.Context, execution *execution, decided catalog.OperationResult, serial uint32) attemptResult {
	answer := operation.Answer(execution.ID(), decided, serial)
	if !decided.Accepted {
		return answered(answer)
	}
	inForce := false
	started := e.config.Queue.Now()
	e.engine.WaitUntil(ctx, func(o *engine.Observation) bool {
		inForce = o.Primary && o.InForceKnown && !registry.SerialLess(o.InForce, serial) && !o.Status.SoleCopy
		return inForce || !o.Primary
	})
	if !inForce {
		return tryAgain
	}
	e.config.Metrics.InForceSeconds.Observe((e.config.Queue.Now() - started).Seconds())
	return answered(answer)
}
