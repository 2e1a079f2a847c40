// Package operator simulates a human operator. It sends an operation to one control node
// after the other, and resends it with the same operation ID if the answer is lost. It logs
// the operations sent, the answers and the state read back.
package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/fleet/wait"
)

// Operator is a simulated operator with an access token. It is safe for concurrent use.
type Operator struct {
	name       string
	token      string
	addresses  func() []string
	log        *eventlog.Writer
	client     *http.Client
	operations atomic.Uint64 // number of operations created so far
}

const (
	// attemptTimeout limits one attempt. A node answers once the operation is in force.
	attemptTimeout = 8 * time.Second
	// serverWait is how long a node may wait before it answers that an operation is
	// pending.
	serverWait = 6 * time.Second
	// retryInterval is the pause between two rounds over the nodes.
	retryInterval = 100 * time.Millisecond
	// lostAnswerTimeout is how long SendAndLose waits before it closes the connection.
	lostAnswerTimeout = 50 * time.Millisecond
)

// New returns an operator. The function addresses returns the operator addresses of the
// control nodes in the order in which they are tried.
func New(name, token string, addresses func() []string, log *eventlog.Writer) *Operator {
	return &Operator{
		name: name, token: token, addresses: addresses, log: log,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// errNoAnswer means that the result of an attempt is unknown.
var errNoAnswer = errors.New("no definite answer")

// Send sends the operation to one node after the other until a node gives a definite answer
// or ctx ends.
func (o *Operator) Send(ctx context.Context, operation Operation) (Answer, error) {
	start := time.Now()
	var answer Answer
	err := o.tryNodes(ctx, func(address string) error {
		var err error
		answer, err = o.SendTo(ctx, address, operation)
		return err
	})
	if err != nil {
		return Answer{}, fmt.Errorf("operation %s: %w", operation.ID, err)
	}
	answer.Took = time.Since(start)
	return answer, nil
}

// tryNodes calls attempt with the address of one node after the other until it
// returns nil, or until ctx ends.
func (o *Operator) tryNodes(ctx context.Context, attempt func(address string) error) error {
	var last error
	for {
		for _, address := range o.addresses() {
			if last = attempt(address); last == nil {
				return nil
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%w: %w", ctx.Err(), last)
			}
		}
		if wait.Sleep(ctx, retryInterval) != nil {
			return fmt.Errorf("%w: %w", ctx.Err(), last)
		}
	}
}

// SendTo sends the operation once to one node. An error means that the result of the
// operation is unknown.
func (o *Operator) SendTo(ctx context.Context, address string, operation Operation) (Answer, error) {
	o.logSent(operation, address)
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	status, text, err := o.post(ctx, address, operation)
	if err != nil {
		o.logAnswered(operation, address, checker.OperationUnknown, Answer{Message: err.Error()})
		return Answer{}, err
	}
	answer, definite := parseAnswer(status, text)
	o.logAnswered(operation, address, outcomeOf(answer, definite), answer)
	if !definite {
		return Answer{}, fmt.Errorf("%w: status %d, %s: %s", errNoAnswer, status, answer.Code, answer.Message)
	}
	return answer, nil
}

// SendAndLose sends the operation to one node and ignores the answer, to simulate a lost
// answer.
func (o *Operator) SendAndLose(ctx context.Context, address string, operation Operation) {
	o.logSent(operation, address)
	ctx, cancel := context.WithTimeout(ctx, lostAnswerTimeout)
	defer cancel()
	message := "answer dropped"
	if _, _, err := o.post(ctx, address, operation); err != nil {
		message = err.Error()
	}
	o.logAnswered(operation, address, checker.OperationUnknown, Answer{Message: message})
}

func (o *Operator) logSent(operation Operation, address string) {
	event := operation.event
	event.Kind, event.Source, event.Gateway = eventlog.OperationSent, o.name, address
	o.log.Write(event)
}

func (o *Operator) logAnswered(operation Operation, address, outcome string, answer Answer) {
	event := operation.event
	event.Kind, event.Source, event.Gateway = eventlog.OperationAnswered, o.name, address
	event.Outcome, event.Version, event.Serial = outcome, answer.Version, answer.Serial
	event.Code = string(answer.Code)
	if outcome != checker.OperationAccepted {
		event.Class = answer.Message
	}
	o.log.Write(event)
}
