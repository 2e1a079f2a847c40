package executor

import (
	"context"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/control/operation"
	"github.com/deckpulley/deckpulley/registry"
)

// executeReplicas replaces the registry's list of replicas by the platform's. It answers
// after the commit and does not wait until gateways have activated the change.
func (e *Executor) executeReplicas(ctx context.Context, execution *execution, list *api.ReplicaList) attemptResult {
	e.replicasMutex.Lock()
	defer e.replicasMutex.Unlock()
	observed, problem := e.config.Reader.Linearizable(ctx)
	if problem != nil || !observed.Primary {
		return tryAgain
	}
	update, problem := operation.ReplicaUpdate(observed.Catalog, list)
	if problem != nil {
		return rejected(problem)
	}
	answer := &api.OperationResult{Accepted: true, Version: observed.Catalog.Version(), Serial: observed.Serial}
	if len(update.Changes) == 0 {
		return answered(answer)
	}
	result, err := e.engine.Propose(ctx, update)
	execution.maybeExecuted = execution.maybeExecuted || mayHaveBeenProposed(err)
	if err != nil {
		return tryAgain
	}
	if result.Code != registry.NoError {
		return e.updateFailed(execution, result)
	}
	e.log.Info("replica list applied", "replicas", len(list.Replicas), "changes", len(update.Changes), "serial", result.Serial, "term", observed.Status.Term)
	answer.Serial = result.Serial
	return answered(answer)
}
