package scenario

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/deckpulley/deckpulley/internal/fleet/operator"
)

func (r *runner) performOrder(ctx context.Context, step Step) error {
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

// nextDocument is a document that differs from all earlier ones. It is called
// with configuring held.
func (r *runner) nextDocument() (string, error) {
	r.routes++
	return r.options.Deployment.WithRoute(fmt.Sprintf("extra-%d", r.routes))
}

// configure sends one more configuration, first to the named node if there is
// one, then to any.
func (r *runner) configure(ctx context.Context, first string) error {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	document, err := r.nextDocument()
	if err != nil {
		return err
	}
	by := r.operators[0]
	order := by.Configuration(r.version, document)
	if first == "" {
		answer, err := r.send(ctx, by, order)
		return r.take(answer, err)
	}
	on, err := r.resolve(ctx, first)
	if err != nil {
		return err
	}
	if len(on.nodes) != 1 {
		return fmt.Errorf("target: %s is not one node", first)
	}
	answer, err := by.SendTo(ctx, on.nodes[0].OperatorAddress, order)
	if err != nil {
		answer, err = r.send(ctx, by, order)
	}
	return r.take(answer, err)
}

// take keeps the version of an accepted configuration.
func (r *runner) take(answer operator.Answer, err error) error {
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

var errAccepted = errors.New("accepted, not refused")

func (r *runner) configureBad(ctx context.Context) error {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	r.routes++
	document, err := r.options.Deployment.WithBadRoute(fmt.Sprintf("bad-%d", r.routes))
	if err != nil {
		return err
	}
	by := r.operators[0]
	answer, err := r.send(ctx, by, by.Configuration(r.version, document))
	if err == nil && answer.Accepted {
		return errAccepted
	}
	return err
}

// outrace sends a configuration on the version before the present one.
func (r *runner) outrace(ctx context.Context) error {
	if err := r.configure(ctx, ""); err != nil {
		return err
	}
	r.configuring.Lock()
	defer r.configuring.Unlock()
	document, err := r.nextDocument()
	if err != nil {
		return err
	}
	by := r.operators[1]
	answer, err := r.send(ctx, by, by.Configuration(r.version-1, document))
	if err == nil && answer.Accepted {
		return errAccepted
	}
	return err
}

// race lets two operators build on one version through different nodes.
func (r *runner) race(ctx context.Context) error {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	answers := make([]operator.Answer, len(r.operators))
	failures := make([]error, len(r.operators))
	var both sync.WaitGroup
	for i, by := range r.operators {
		document, err := r.nextDocument()
		if err != nil {
			return err
		}
		order := by.Configuration(r.version, document)
		both.Add(1)
		go func() {
			defer both.Done()
			answers[i], failures[i] = r.send(ctx, by, order)
		}()
	}
	both.Wait()
	winners := 0
	for _, answer := range answers {
		if answer.Accepted {
			winners++
			r.version = answer.Version
		}
	}
	if err := errors.Join(failures...); err != nil {
		return err
	}
	if winners != 1 {
		return fmt.Errorf("%d operators won, not one", winners)
	}
	return nil
}

// loseAnswer sends a configuration, loses the answer and sends the same order
// again until it is answered, then to every node.
func (r *runner) loseAnswer(ctx context.Context) error {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	document, err := r.nextDocument()
	if err != nil {
		return err
	}
	by := r.operators[0]
	order := by.Configuration(r.version, document)
	by.SendAndLose(ctx, r.operatorAddresses(0)[0], order)
	answer, err := r.send(ctx, by, order)
	if err := r.take(answer, err); err != nil {
		return err
	}
	return r.sendEverywhere(ctx, by, order)
}

// resendMaximum bounds the orders that are sent again, the newest ones.
const resendMaximum = 10

func (r *runner) resend(ctx context.Context) error {
	r.orderMutex.Lock()
	orders := append([]operator.Operation(nil), r.orders[max(0, len(r.orders)-resendMaximum):]...)
	r.orderMutex.Unlock()
	var all []error
	for _, order := range orders {
		all = append(all, r.sendEverywhere(ctx, r.operators[1], order))
	}
	return errors.Join(all...)
}

// sendEverywhere sends an order to each running node until it answers.
func (r *runner) sendEverywhere(ctx context.Context, by *operator.Operator, order operator.Operation) error {
	ctx, cancel := context.WithTimeout(ctx, orderPatience)
	defer cancel()
	for _, node := range r.fleet.Controls() {
		if !node.Running() {
			continue
		}
		for {
			_, err := by.SendTo(ctx, node.OperatorAddress, order)
			if err == nil {
				break
			}
			if !sleep(ctx, conditionStep) {
				return fmt.Errorf("sending order %s again to %s: %w", order.ID, node.Name, err)
			}
		}
	}
	return nil
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

// fillSenders is how many orders are on their way at once.
const fillSenders = 16

// fill writes orders that withdraw an evacuation that there is not: each is an
// entry of the log that a restart must replay.
func (r *runner) fill(ctx context.Context, count int) error {
	zone := r.options.Deployment.Regions[0].Zone
	by := r.operators[1]
	numbers := make(chan int)
	failures := make(chan error, count)
	var senders sync.WaitGroup
	for range fillSenders {
		senders.Add(1)
		go func() {
			defer senders.Done()
			for range numbers {
				limited, cancel := context.WithTimeout(ctx, orderPatience)
				_, err := by.Send(limited, by.Evacuation(zone, true))
				cancel()
				if err != nil {
					failures <- err
				}
			}
		}()
	}
	for number := range count {
		numbers <- number
	}
	close(numbers)
	senders.Wait()
	close(failures)
	for err := range failures {
		return err
	}
	return nil
}
