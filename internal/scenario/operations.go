package scenario

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/deckpulley/deckpulley/internal/fleet/operator"
	"github.com/deckpulley/deckpulley/internal/fleet/wait"
)

func (r *runner) performOperation(ctx context.Context, step Step) error {
	switch step.Do {
	case Configure:
		return r.configure(ctx, step.Target)
	case ConfigureBad:
		return r.configureBad(ctx)
	case Outrace:
		return r.outrace(ctx)
	case Race:
		return r.race(ctx)
	case LoseAnswer:
		return r.loseAnswer(ctx)
	case Resend:
		return r.resend(ctx)
	case Evacuate, Withdraw:
		return r.evacuate(ctx, step)
	case Fill:
		return r.fill(ctx, step.Count)
	case Read:
		return r.read(ctx)
	}
	return fmt.Errorf("unknown action %q", step.Do)
}

// newConfigurationLocked returns an operation on the given base version, with a document that
// differs from all earlier ones. The caller holds the lock configuring.
func (r *runner) newConfigurationLocked(by *operator.Operator, base uint64) (operator.Operation, error) {
	r.addedRoutes++
	document, err := r.options.Deployment.WithRoute(fmt.Sprintf("extra-%d", r.addedRoutes))
	if err != nil {
		return operator.Operation{}, err
	}
	return by.Configuration(base, document), nil
}

// configure sends a new configuration. If the target first is not empty, it sends it to that
// node first and to any node if that fails.
func (r *runner) configure(ctx context.Context, first string) error {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	by := r.operators[0]
	operation, err := r.newConfigurationLocked(by, r.version)
	if err != nil {
		return err
	}
	if first == "" {
		answer, err := r.send(ctx, by, operation)
		return r.acceptLocked(answer, err)
	}
	on, err := r.resolve(ctx, first)
	if err != nil {
		return err
	}
	if len(on.nodes) != 1 {
		return fmt.Errorf("target: %s is not a single node", first)
	}
	answer, err := by.SendTo(ctx, on.nodes[0].OperatorAddress, operation)
	if err != nil {
		answer, err = r.send(ctx, by, operation)
	}
	return r.acceptLocked(answer, err)
}

// acceptLocked records the version of a new configuration. It fails if the configuration was
// not accepted. The caller holds the lock configuring.
func (r *runner) acceptLocked(answer operator.Answer, err error) error {
	if err != nil {
		return err
	}
	if !answer.Accepted {
		return fmt.Errorf("refused: %s: %s", answer.Code, answer.Message)
	}
	r.version = answer.Version
	r.progress("version %d acknowledged after %.2f s", answer.Version, answer.Took.Seconds())
	return nil
}

var errUnexpectedlyAccepted = errors.New("operation was accepted, want it refused")

// configureBad sends an invalid configuration, which validation must reject.
func (r *runner) configureBad(ctx context.Context) error {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	r.addedRoutes++
	document, err := r.options.Deployment.WithBadRoute(fmt.Sprintf("bad-%d", r.addedRoutes))
	if err != nil {
		return err
	}
	by := r.operators[0]
	answer, err := r.send(ctx, by, by.Configuration(r.version, document))
	if err == nil && answer.Accepted {
		return errUnexpectedlyAccepted
	}
	return err
}

// outrace sends a new configuration and then one that is based on the version before it, which
// must be refused.
func (r *runner) outrace(ctx context.Context) error {
	if err := r.configure(ctx, ""); err != nil {
		return err
	}
	r.configuring.Lock()
	defer r.configuring.Unlock()
	by := r.operators[1]
	outdated, err := r.newConfigurationLocked(by, r.version-1)
	if err != nil {
		return err
	}
	answer, err := r.send(ctx, by, outdated)
	if err == nil && answer.Accepted {
		return errUnexpectedlyAccepted
	}
	return err
}

// race sends one configuration per operator concurrently through different nodes, all with the
// same base version. Exactly one must be accepted.
func (r *runner) race(ctx context.Context) error {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	var rivals []operator.Operation
	for _, by := range r.operators {
		rival, err := r.newConfigurationLocked(by, r.version)
		if err != nil {
			return err
		}
		rivals = append(rivals, rival)
	}
	answers, err := r.sendAtOnce(ctx, rivals)
	accepted := 0
	for _, answer := range answers {
		if answer.Accepted {
			accepted++
			r.version = answer.Version
		}
	}
	if err != nil {
		return err
	}
	if accepted != 1 {
		return fmt.Errorf("%d of the concurrent configurations were accepted, want exactly one", accepted)
	}
	return nil
}

// sendAtOnce sends the operations concurrently, the i-th one by the i-th operator.
func (r *runner) sendAtOnce(ctx context.Context, operations []operator.Operation) ([]operator.Answer, error) {
	answers := make([]operator.Answer, len(operations))
	failures := make([]error, len(operations))
	var sending sync.WaitGroup
	for i, operation := range operations {
		sending.Add(1)
		go func() {
			defer sending.Done()
			answers[i], failures[i] = r.send(ctx, r.operators[i], operation)
		}()
	}
	sending.Wait()
	return answers, errors.Join(failures...)
}

// loseAnswer sends a configuration and ignores the answer. It resends the same operation until
// it is answered, and then to every node.
func (r *runner) loseAnswer(ctx context.Context) error {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	by := r.operators[0]
	operation, err := r.newConfigurationLocked(by, r.version)
	if err != nil {
		return err
	}
	by.SendAndLose(ctx, r.operatorAddresses(0)[0], operation)
	answer, err := r.send(ctx, by, operation)
	if err := r.acceptLocked(answer, err); err != nil {
		return err
	}
	return r.sendEverywhere(ctx, by, operation)
}

// maximumResends is the maximum number of recent operations that resend sends again.
const maximumResends = 10

// resend sends the most recent operations again to every node, by the second operator.
func (r *runner) resend(ctx context.Context) error {
	r.operationMutex.Lock()
	operations := append([]operator.Operation(nil), r.operations[max(0, len(r.operations)-maximumResends):]...)
	r.operationMutex.Unlock()
	var failures []error
	for _, operation := range operations {
		failures = append(failures, r.sendEverywhere(ctx, r.operators[1], operation))
	}
	return errors.Join(failures...)
}

// sendEverywhere sends an operation to each running control node, repeatedly until the node
// gives a definite answer.
func (r *runner) sendEverywhere(ctx context.Context, by *operator.Operator, operation operator.Operation) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	for _, node := range r.fleet.Controls() {
		if !node.Running() {
			continue
		}
		if err := sendUntilAnswered(ctx, by, node.OperatorAddress, operation); err != nil {
			return fmt.Errorf("resending operation %s to %s: %w", operation.ID, node.Name, err)
		}
	}
	return nil
}

func sendUntilAnswered(ctx context.Context, by *operator.Operator, address string, operation operator.Operation) error {
	return wait.Poll(ctx, conditionInterval, func() error {
		_, err := by.SendTo(ctx, address, operation)
		return err
	})
}

func (r *runner) evacuate(ctx context.Context, step Step) error {
	zone := strings.TrimPrefix(step.Target, zonePrefix)
	by := r.operators[0]
	answer, err := r.send(ctx, by, by.Evacuation(zone, step.Do == Withdraw))
	if err != nil {
		return err
	}
	if !answer.Accepted {
		return fmt.Errorf("refused: %s: %s", answer.Code, answer.Message)
	}
	r.progress("%s of %s acknowledged after %.2f s", step.Do, zone, answer.Took.Seconds())
	return nil
}

// fillSenders is the number of operations that fill sends concurrently.
const fillSenders = 16

// fill sends operations that withdraw a nonexistent evacuation. Each adds an entry to the
// replicated log, which a restarted node must replay.
func (r *runner) fill(ctx context.Context, count int) error {
	zone := r.options.Deployment.Regions[0].Zone
	by := r.operators[1]
	next := make(chan struct{})
	failures := make(chan error, count)
	var senders sync.WaitGroup
	for range fillSenders {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for range next {
				if err := sendWithin(ctx, by, by.Evacuation(zone, true)); err != nil {
					failures <- err
				}
			}
		}()
	}
	for range count {
		next <- struct{}{}
	}
	close(next)
	senders.Wait()
	close(failures)
	return <-failures // nil if there was none
}

func sendWithin(ctx context.Context, by *operator.Operator, operation operator.Operation) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	_, err := by.Send(ctx, operation)
	return err
}
