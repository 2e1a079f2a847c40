// Package executor executes operators' operations. The primary decides them; any other
// node forwards them to the primary. An operation is retried until it is in force
// everywhere, is refused, or its deadline passes. A change is in force once every
// gateway that holds a lease has activated it.
package executor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/control/apierror"
	"github.com/deckpulley/deckpulley/control/discovery"
	"github.com/deckpulley/deckpulley/control/driver"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/eventqueue"
	"github.com/deckpulley/deckpulley/control/metrics"
	"github.com/deckpulley/deckpulley/control/operation"
	"github.com/deckpulley/deckpulley/control/readindex"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

const (
	// MaxWait bounds how long a request may wait for its operation to be in force.
	MaxWait = time.Minute
	// retryInterval is the pause between two attempts of an operation.
	retryInterval = 50 * time.Millisecond
	// labelAccepted is the metric label of an accepted operation.
	labelAccepted = "accepted"
)

// Config configures an Executor. Every field is required.
type Config struct {
	// PeerAddress is this node's own peer address.
	PeerAddress string
	// LeaseLength is the length of the gateways' leases.
	LeaseLength time.Duration

	Queue    *eventqueue.Queue
	Engine   *engine.Engine
	Network  transport.Network
	Reader   *readindex.Reader
	Contacts *discovery.Contacts
	Metrics  *metrics.Metrics
	Logger   *slog.Logger
}

// Executor executes the operations of one node. Its methods are safe for concurrent use.
type Executor struct {
	config Config
	log    *slog.Logger
	engine *engine.Engine
	// replicasMutex serializes updates of the replica list. It is held from reading the
	// registry until the update is committed.
	replicasMutex sync.Mutex
}

// New returns the executor of a node.
func New(config Config) *Executor {
	return &Executor{config: config, log: config.Logger, engine: config.Engine}
}

// execution is the execution of one operation by this node, over all its attempts.
type execution struct {
	*operation.Operation
	// maybeExecuted is true once an attempt may have executed the operation.
	maybeExecuted bool
}

// attemptResult is the result of one attempt to execute an operation. It is not final if
// another attempt may succeed.
type attemptResult struct {
	reply peer.OperationReply
	final bool
}

var tryAgain = attemptResult{}

func rejected(problem *api.Error) attemptResult {
	return attemptResult{reply: peer.OperationReply{Error: problem}, final: true}
}

func answered(answer *api.OperationResult) attemptResult {
	return attemptResult{reply: peer.OperationReply{Answer: answer}, final: true}
}

// Submit executes an operation that an operator has sent to this node, and counts its
// result in the metrics.
func (e *Executor) Submit(ctx context.Context, request peer.OperationRequest) peer.OperationReply {
	reply := e.Execute(ctx, request)
	e.config.Metrics.Operations.WithLabelValues(resultLabel(reply)).Inc()
	return reply
}

func resultLabel(reply peer.OperationReply) string {
	switch {
	case reply.Error != nil:
		return string(reply.Error.Code)
	case reply.Answer.Error != nil:
		return string(reply.Answer.Error.Code)
	default:
		return labelAccepted
	}
}

// Execute executes an operation at this node or at the primary. It returns when the
// operation is in force everywhere, when it is refused, or when ctx ends.
func (e *Executor) Execute(ctx context.Context, request peer.OperationRequest) peer.OperationReply {
	checked, problem := operation.New(request)
	if problem != nil {
		return peer.OperationReply{Error: problem}
	}
	execution := &execution{Operation: checked}
	for {
		observed := e.engine.Observe()
		if attempt := e.attempt(ctx, observed, execution); attempt.final {
			return attempt.reply
		}
		if !e.pause(ctx, observed) {
			return peer.OperationReply{Error: operation.UnfinishedError(execution.maybeExecuted)}
		}
	}
}

// pause waits for retryInterval, or until this node becomes or ceases to be the primary
// or the leader changes. It returns false once ctx has ended or the node has stopped.
func (e *Executor) pause(ctx context.Context, before *engine.Observation) bool {
	wait, cancel := context.WithTimeout(ctx, retryInterval)
	defer cancel()
	e.engine.WaitUntil(wait, func(o *engine.Observation) bool {
		return o.Primary != before.Primary || o.Status.Leader != before.Status.Leader
	})
	select {
	case <-e.config.Queue.Done():
		return false
	default:
		return ctx.Err() == nil
	}
}

func (e *Executor) attempt(ctx context.Context, observed *engine.Observation, execution *execution) attemptResult {
	if !observed.Primary {
		return e.forward(ctx, observed, execution)
	}
	if list := execution.Replicas(); list != nil {
		return e.executeReplicas(ctx, execution, list)
	}
	return e.decide(ctx, observed, execution)
}

// internalError rejects an operation whose update can never be applied.
func internalError(format string, arguments ...any) attemptResult {
	return rejected(apierror.Internal(fmt.Errorf(format, arguments...)))
}

// mayHaveBeenProposed reports whether an update may have been proposed, given the error
// of its proposal.
func mayHaveBeenProposed(err error) bool { return !errors.Is(err, driver.ErrNotPrimary) }
