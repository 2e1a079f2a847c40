// Package executor executes operators' operations: here if this node is the primary,
// and otherwise by forwarding them to it. An operation is tried again until it is in
// force everywhere, is refused, or its time runs out.
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
	// MaxWait bounds how long an operation may wait to be in force.
	MaxWait = time.Minute
	// retryInterval is the pause before an operation looks for a primary again.
	retryInterval = 50 * time.Millisecond
	// labelAccepted is the label of an accepted operation in the metrics.
	labelAccepted = "accepted"
)

// Config sets up an Executor. All are required.
type Config struct {
	// PeerAddress is this node's own.
	PeerAddress string
	// LeaseLength is that of the gateways' leases.
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
	// replicas is held while a list of replicas is compared and proposed: one at a time.
	replicas sync.Mutex
}

// New returns the executor of a node.
func New(config Config) *Executor {
	return &Executor{config: config, log: config.Logger, engine: config.Engine}
}

// execution is one operation on its way through this node.
type execution struct {
	*operation.Operation
	// sent is true once the operation may have been executed.
	sent bool
}

// attempt is what became of one attempt. It is not final when another attempt may
// succeed.
type attempt struct {
	reply peer.OperationReply
	final bool
}

var tryAgain = attempt{}

func rejected(problem *api.Error) attempt {
	return attempt{reply: peer.OperationReply{Error: problem}, final: true}
}

func answered(answer *api.OperationResult) attempt {
	return attempt{reply: peer.OperationReply{Answer: answer}, final: true}
}

// Submit executes an operation that came from outside of the group, and counts its
// answer.
func (e *Executor) Submit(ctx context.Context, request peer.OperationRequest) peer.OperationReply {
	reply := e.Execute(ctx, request)
	e.config.Metrics.Operations.WithLabelValues(label(reply)).Inc()
	return reply
}

func label(reply peer.OperationReply) string {
	switch {
	case reply.Error != nil:
		return string(reply.Error.Code)
	case reply.Answer.Error != nil:
		return string(reply.Answer.Error.Code)
	default:
		return labelAccepted
	}
}

// Execute executes an operation, here or at the primary, and answers when it is in
// force everywhere, when it is refused, or when ctx ends.
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
			return peer.OperationReply{Error: operation.Unfinished(execution.sent)}
		}
	}
}

// pause waits for a moment, or less if something changed that matters to an
// operation. It returns false when ctx or the node ended.
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

func (e *Executor) attempt(ctx context.Context, observed *engine.Observation, execution *execution) attempt {
	if !observed.Primary {
		return e.forward(ctx, observed, execution)
	}
	if list := execution.Replicas(); list != nil {
		return e.executeReplicas(ctx, execution, list)
	}
	return e.decide(ctx, observed, execution)
}

// internalError rejects an operation whose update can never be applied.
func internalError(format string, arguments ...any) attempt {
	return rejected(apierror.Internal(fmt.Errorf(format, arguments...)))
}

// mayBeProposed says whether an update may have been proposed, by the error of its
// proposal.
func mayBeProposed(err error) bool { return !errors.Is(err, driver.ErrNotPrimary) }
