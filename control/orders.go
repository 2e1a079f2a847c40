package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// orderRetryInterval is the pause before an order looks for a primary again.
const orderRetryInterval = 50 * time.Millisecond

// Orders. An order's first answer is a record, written by the same update as its
// effect and under the prerequisite that no answer to it exists. So it takes
// effect once and is answered alike for ever, whoever leads. A refusal is written
// by an update of its own. What is malformed is answered without a record.

// order carries an order out, here or at the primary, and answers when it is in
// force everywhere, when it is refused, or when ctx ends.
func (n *Node) order(ctx context.Context, request peer.OperationRequest) peer.OperationReply {
	task, problem := newTask(request)
	if problem != nil {
		return peer.OperationReply{Error: problem}
	}
	for {
		observed := n.observe()
		reply, final := n.tryOrder(ctx, observed, task)
		if final {
			return reply
		}
		if !n.pause(ctx, observed) {
			return peer.OperationReply{Error: task.unfinished()}
		}
	}
}

// pause waits for a moment, or less if something changed that matters to an
// order. It returns false when ctx or the node ended.
func (n *Node) pause(ctx context.Context, before *observation) bool {
	wait, cancel := context.WithTimeout(ctx, orderRetryInterval)
	defer cancel()
	n.waitUntil(wait, func(o *observation) bool {
		return o.primary != before.primary || o.status.Leader != before.status.Leader
	})
	select {
	case <-n.done:
		return false
	default:
		return ctx.Err() == nil
	}
}

// tryOrder makes one attempt. It is not final when another attempt may succeed.
func (n *Node) tryOrder(ctx context.Context, observed *observation, task *task) (peer.OperationReply, bool) {
	if observed.primary {
		return n.decideOrder(ctx, observed, task)
	}
	primary := n.primaryAddress(observed)
	if primary == "" || primary == n.options.PeerAddress {
		return peer.OperationReply{}, false
	}
	if task.request.Hops >= maxHops {
		return peer.OperationReply{Error: noPrimary("forwarded too often without reaching the primary", api.OutcomeUnknown)}, true
	}
	reply, err := n.forwardOrder(ctx, primary, task.request)
	task.sent = true
	if err != nil {
		n.log.Debug("order not forwarded", "order", task.id(), "primary", primary, "error", err)
		return peer.OperationReply{}, false
	}
	if reply.Error != nil && reply.Error.Code == api.CodeNoPrimary {
		return peer.OperationReply{}, false // it speaks for that node alone, not for earlier attempts
	}
	return reply, true
}

func (n *Node) decideOrder(ctx context.Context, observed *observation, task *task) (peer.OperationReply, bool) {
	if task.request.Replicas != nil {
		return n.decideReplicas(ctx, task)
	}
	facts, err := ask(ctx, n, func(time.Duration) orderFacts { return n.machine.orderFacts(task) })
	if err != nil || !facts.primary {
		return peer.OperationReply{}, false
	}
	if facts.known {
		return n.repeatAnswer(ctx, task, facts)
	}
	if task.request.RouteMap != nil {
		if reply, refused, final := n.reviewRouteMap(ctx, task, facts); refused {
			return reply, final
		}
	}
	plan, err := task.plan(facts)
	if err != nil {
		return peer.OperationReply{Error: internalError(err)}, true
	}
	if planted.Active(planted.AcknowledgeUnwritten) && facts.contents.Version() > 0 {
		return peer.OperationReply{Answer: orderAnswer(task.id(), plan.answer, observed.serial+1)}, true
	}
	if planted.Active(planted.PrimaryStays) && n.clock()-observed.contact > n.options.Lease.Duration {
		return peer.OperationReply{Answer: orderAnswer(task.id(), plan.answer, observed.serial+1)}, true
	}
	result, err := n.propose(ctx, plan.update)
	task.sent = task.sent || !errors.Is(err, ErrNotPrimary)
	if err != nil {
		return peer.OperationReply{}, false
	}
	if result.Code != registry.NoError {
		return n.outraced(task, result)
	}
	n.log.Info("order decided", "order", task.id(), "accepted", plan.answer.Accepted, "code", plan.answer.Code, "version", plan.answer.Version, "serial", result.Serial, "term", observed.status.Term)
	return n.acknowledge(ctx, task, plan.answer, result.Serial)
}

// outraced tells a decision that another one overtook, which is taken anew, from
// an update that can never be applied.
func (n *Node) outraced(task *task, result registry.Result) (peer.OperationReply, bool) {
	if result.Section == registry.SectionPrerequisite {
		return peer.OperationReply{}, false
	}
	n.log.Error("order's update failed", "order", task.id(), "code", result.Code.String(), "section", result.Section, "reason", result.Reason)
	return peer.OperationReply{Error: internalError(fmt.Errorf("update answered %s in section %q", result.Code, result.Section))}, true
}

// repeatAnswer gives the first answer to an order again.
func (n *Node) repeatAnswer(ctx context.Context, task *task, facts orderFacts) (peer.OperationReply, bool) {
	if facts.stored.Digest != task.digest {
		return peer.OperationReply{Error: &api.Error{
			Code:    api.CodeOperationConflict,
			Outcome: api.OutcomeRefused,
			Message: "this order id was used for another order",
			Field:   "order_id",
		}}, true
	}
	if planted.Active(planted.RefuseResentOrder) {
		facts.stored.Accepted, facts.stored.Code = false, string(api.CodeVersionConflict)
	}
	return n.acknowledge(ctx, task, facts.stored, facts.serial)
}

// acknowledge answers with a stored decision: a refusal at once, an acceptance
// once its serial is in force at every gateway that may place requests.
func (n *Node) acknowledge(ctx context.Context, task *task, decided catalog.OperationResult, serial uint32) (peer.OperationReply, bool) {
	answer := orderAnswer(task.id(), decided, serial)
	if !decided.Accepted {
		return peer.OperationReply{Answer: answer}, true
	}
	inForce := false
	started := n.clock()
	n.waitUntil(ctx, func(o *observation) bool {
		inForce = o.primary && o.inForceKnown && !registry.SerialLess(o.inForce, serial)
		return inForce || !o.primary
	})
	if !inForce {
		return peer.OperationReply{}, false
	}
	n.metrics.inForceSeconds.Observe((n.clock() - started).Seconds())
	return peer.OperationReply{Answer: answer}, true
}

func orderAnswer(id string, decided catalog.OperationResult, serial uint32) *api.OperationResult {
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

// orderFacts is what the loop tells about an order.
type orderFacts struct {
	primary bool
	// known is true if the order was decided: stored is its answer, visible since serial.
	known  bool
	stored catalog.OperationResult
	serial uint32
	// contents and number are what a new decision builds on; surplus are the
	// answers that a new one pushes out.
	contents *catalog.State
	number   uint64
	surplus  []registry.Name
}

func (m *machine) orderFacts(task *task) orderFacts {
	if _, serving := m.serving(); !serving {
		return orderFacts{}
	}
	facts := orderFacts{primary: true, contents: m.contents, number: m.applied, surplus: m.orders.surplus(orderLimit)}
	facts.stored, facts.known = m.contents.OperationResult(task.id())
	facts.serial = m.orders.serials[catalog.OperationName(task.id())]
	return facts
}

func invalid(field, message string) *api.Error {
	return &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: message, Field: field}
}

func internalError(err error) *api.Error {
	return &api.Error{Code: api.CodeInternal, Outcome: api.OutcomeUnknown, Message: err.Error()}
}
