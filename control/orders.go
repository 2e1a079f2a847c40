package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/places"
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
func (n *Node) order(ctx context.Context, request peer.OrderRequest) peer.OrderReply {
	task, problem := newTask(request)
	if problem != nil {
		return peer.OrderReply{Error: problem}
	}
	for {
		observed := n.observe()
		reply, final := n.tryOrder(ctx, observed, task)
		if final {
			return reply
		}
		if !n.pause(ctx, observed) {
			return peer.OrderReply{Error: task.unfinished()}
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
func (n *Node) tryOrder(ctx context.Context, observed *observation, task *task) (peer.OrderReply, bool) {
	if observed.primary {
		return n.decideOrder(ctx, observed, task)
	}
	primary := observed.leaderAddress()
	if primary == "" || primary == n.options.PeerAddress {
		return peer.OrderReply{}, false
	}
	if task.request.Hops >= maxHops {
		return peer.OrderReply{Error: noPrimary("forwarded too often without reaching the primary", api.OutcomeUnknown)}, true
	}
	reply, err := n.forwardOrder(ctx, primary, task.request)
	task.sent = true
	if err != nil {
		n.log.Debug("order not forwarded", "order", task.id(), "primary", primary, "error", err)
		return peer.OrderReply{}, false
	}
	if reply.Error != nil && reply.Error.Code == api.CodeNoPrimary && ctx.Err() == nil {
		return peer.OrderReply{}, false
	}
	return reply, true
}

func (n *Node) decideOrder(ctx context.Context, observed *observation, task *task) (peer.OrderReply, bool) {
	if task.request.Replicas != nil {
		return n.decideReplicas(ctx, task)
	}
	facts, err := ask(ctx, n, func(time.Duration) orderFacts { return n.machine.orderFacts(task) })
	if err != nil || !facts.primary {
		return peer.OrderReply{}, false
	}
	if facts.known {
		return n.repeatAnswer(ctx, task, facts)
	}
	plan, err := task.plan(facts)
	if err != nil {
		return peer.OrderReply{Error: internalError(err)}, true
	}
	if planted.Active(planted.AcknowledgeUnwritten) && facts.contents.Version() > 0 {
		return peer.OrderReply{Answer: orderAnswer(task.id(), plan.answer, observed.serial+1)}, true
	}
	if planted.Active(planted.PrimaryStays) && n.clock()-observed.contact > n.options.Lease.Length {
		return peer.OrderReply{Answer: orderAnswer(task.id(), plan.answer, observed.serial+1)}, true
	}
	result, err := n.propose(ctx, plan.update)
	task.sent = task.sent || !errors.Is(err, ErrNotPrimary)
	if err != nil {
		return peer.OrderReply{}, false
	}
	if result.Code != registry.NoError {
		return n.outraced(task, result)
	}
	n.log.Info("order decided", "order", task.id(), "accepted", plan.answer.Accepted, "code", plan.answer.Code, "version", plan.answer.Version, "serial", result.Serial, "term", observed.status.Term)
	return n.acknowledge(ctx, task, plan.answer, result.Serial)
}

// outraced tells a decision that another one overtook, which is taken anew, from
// an update that can never be applied.
func (n *Node) outraced(task *task, result registry.Result) (peer.OrderReply, bool) {
	if result.Section == registry.SectionPrerequisite {
		return peer.OrderReply{}, false
	}
	n.log.Error("order's update failed", "order", task.id(), "code", result.Code.String(), "section", result.Section, "reason", result.Reason)
	return peer.OrderReply{Error: internalError(fmt.Errorf("update answered %s in section %q", result.Code, result.Section))}, true
}

// repeatAnswer gives the first answer to an order again.
func (n *Node) repeatAnswer(ctx context.Context, task *task, facts orderFacts) (peer.OrderReply, bool) {
	if facts.stored.Digest != task.digest {
		return peer.OrderReply{Error: &api.Error{
			Code:    api.CodeOrderConflict,
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
func (n *Node) acknowledge(ctx context.Context, task *task, decided places.Order, serial uint32) (peer.OrderReply, bool) {
	answer := orderAnswer(task.id(), decided, serial)
	if !decided.Accepted {
		return peer.OrderReply{Answer: answer}, true
	}
	inForce := false
	started := n.clock()
	n.waitUntil(ctx, func(o *observation) bool {
		inForce = o.primary && o.inForceKnown && !registry.SerialLess(o.inForce, serial)
		return inForce || !o.primary
	})
	if !inForce {
		return peer.OrderReply{}, false
	}
	n.metrics.inForceSeconds.Observe((n.clock() - started).Seconds())
	return peer.OrderReply{Answer: answer}, true
}

func orderAnswer(id string, decided places.Order, serial uint32) *api.OrderAnswer {
	answer := &api.OrderAnswer{
		OrderID:  id,
		Accepted: decided.Accepted,
		Version:  decided.Version,
		Serial:   serial,
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
	stored places.Order
	serial uint32
	// contents and number are what a new decision builds on; surplus are the
	// answers that a new one pushes out.
	contents *places.Contents
	number   uint64
	surplus  []registry.Name
}

func (m *machine) orderFacts(task *task) orderFacts {
	if _, serving := m.serving(); !serving {
		return orderFacts{}
	}
	facts := orderFacts{primary: true, contents: m.contents, number: m.applied, surplus: m.orders.surplus(orderLimit)}
	facts.stored, facts.known = m.contents.Order(task.id())
	facts.serial = m.orders.serials[places.OrderName(task.id())]
	return facts
}

// task is one order on its way through this node.
type task struct {
	request  peer.OrderRequest
	document *configuration.Document
	digest   uint64
	// sent is true once the order may have been carried out.
	sent bool
}

// newTask checks the form of an order.
func newTask(request peer.OrderRequest) (*task, *api.Error) {
	t := &task{request: request}
	switch {
	case request.Configuration != nil:
		return t, t.checkConfiguration(request.Configuration)
	case request.Evacuation != nil:
		return t, t.checkEvacuation(request.Evacuation)
	case request.Replicas != nil:
		return t, checkReplicas(request.Replicas)
	default:
		return nil, invalid("", "the request carries no order")
	}
}

func (t *task) id() string {
	switch {
	case t.request.Configuration != nil:
		return t.request.Configuration.OrderID
	case t.request.Evacuation != nil:
		return t.request.Evacuation.OrderID
	default:
		return ""
	}
}

// unfinished answers an order whose time ran out.
func (t *task) unfinished() *api.Error {
	if !t.sent {
		return noPrimary("no primary was reached in time; the order was not carried out", api.OutcomeRefused)
	}
	return &api.Error{
		Code:         api.CodePending,
		Outcome:      api.OutcomeUnknown,
		Message:      "the order is not yet known to be in force everywhere; send it again with the same order id",
		Retry:        true,
		RetryAfterMS: noPrimaryRetryAfter.Milliseconds(),
	}
}

func (t *task) checkConfiguration(order *api.ConfigurationOrder) *api.Error {
	if problem := checkOrderID(order.OrderID, order.Author); problem != nil {
		return problem
	}
	document, err := configuration.Load(order.Document)
	if err != nil {
		return invalidDocument(err)
	}
	t.document = document
	t.digest = digestOf("configuration", order.BaseVersion, order.Document)
	return nil
}

// invalidDocument names the first problem's field; the message has all of them.
func invalidDocument(err error) *api.Error {
	answer := invalid("document", err.Error())
	var problems *configuration.Problems
	if errors.As(err, &problems) && len(problems.List) > 0 && problems.List[0].Field != "" {
		answer.Field = "document." + problems.List[0].Field
	}
	return answer
}

func (t *task) checkEvacuation(order *api.EvacuationOrder) *api.Error {
	if problem := checkOrderID(order.OrderID, order.Author); problem != nil {
		return problem
	}
	if places.CheckObjectName(order.Zone) != nil {
		return invalid("zone", fmt.Sprintf("must have 1 to %d bytes", places.MaxObjectNameBytes))
	}
	t.digest = digestOf("evacuation", order.Zone, order.Withdraw)
	return nil
}

func checkOrderID(id, author string) *api.Error {
	if places.CheckObjectName(id) != nil {
		return invalid("order_id", fmt.Sprintf("must have 1 to %d bytes", places.MaxObjectNameBytes))
	}
	if len(author) > api.MaxNameBytes {
		return invalid("author", fmt.Sprintf("must have at most %d bytes", api.MaxNameBytes))
	}
	return nil
}

// digestOf hashes what an order asks for, its author apart.
func digestOf(parts ...any) uint64 {
	encoded, err := cbor.Marshal(parts)
	if err != nil {
		panic(fmt.Sprintf("control: encoding an order: %v", err))
	}
	return xxhash.Sum64(encoded)
}

// plan is a decision and the update that makes it so.
type plan struct {
	update registry.Update
	answer places.Order
}

func (t *task) plan(facts orderFacts) (plan, error) {
	if t.request.Configuration != nil {
		return t.planConfiguration(facts)
	}
	return t.planEvacuation(facts), nil
}

// planConfiguration accepts a document that was built on the current version.
// Either way the decision holds only while that version is the current one.
func (t *task) planConfiguration(facts orderFacts) (plan, error) {
	order := t.request.Configuration
	base := configuration.BasePrerequisite(facts.contents.View())
	current := facts.contents.Version()
	if order.BaseVersion != current && !planted.Active(planted.AcceptOldBase) {
		reason := fmt.Sprintf("built on version %d, the current version is %d", order.BaseVersion, current)
		return t.refuse(facts, base, api.CodeVersionConflict, "base_version", reason), nil
	}
	version := current + 1
	changes, err := configuration.Changes(facts.contents.View(), t.document, version, order.Author, order.Document)
	if err != nil {
		return plan{}, err
	}
	answer := places.Order{Digest: t.digest, Accepted: true, Version: version, Number: facts.number}
	return t.decide(facts, answer, order.Author, []registry.Record{base}, changes), nil
}

// planEvacuation empties a zone of the current configuration, or withdraws that.
func (t *task) planEvacuation(facts orderFacts) plan {
	order := t.request.Evacuation
	name := places.ZoneName(order.Zone)
	if _, known := facts.contents.Zones()[order.Zone]; !known {
		reason := fmt.Sprintf("the configuration has no zone %q", order.Zone)
		return t.refuse(facts, registry.Absent(name, places.TypeZone), api.CodeNotFound, "zone", reason)
	}
	change := registry.DeleteSet(name, places.TypeEvacuation)
	if !order.Withdraw {
		change = registry.Add(places.EvacuationRecord(order.Zone, places.Evacuation{Author: order.Author, Order: order.OrderID}))
	}
	answer := places.Order{Digest: t.digest, Accepted: true, Version: facts.contents.Version(), Number: facts.number}
	exists := registry.Exists(name, places.TypeZone)
	return t.decide(facts, answer, order.Author, []registry.Record{exists}, []registry.Record{change})
}

func (t *task) refuse(facts orderFacts, while registry.Record, code api.Code, field, reason string) plan {
	answer := places.Order{
		Digest:  t.digest,
		Version: facts.contents.Version(),
		Number:  facts.number,
		Code:    string(code),
		Field:   field,
		Reason:  reason,
	}
	return t.decide(facts, answer, "", []registry.Record{while}, nil)
}

// decide adds the answer's record to the changes, once: no answer may exist.
func (t *task) decide(facts orderFacts, answer places.Order, author string, prerequisites, changes []registry.Record) plan {
	name := places.OrderName(t.id())
	prerequisites = append(prerequisites, registry.Absent(name, places.TypeOrder))
	changes = append(changes, registry.Add(places.OrderRecord(t.id(), answer)))
	for _, oldest := range facts.surplus {
		changes = append(changes, registry.DeleteSet(oldest, places.TypeOrder))
	}
	update := registry.NewUpdate(places.Apex, prerequisites, changes)
	update.Requestor = requestorOperator + author
	return plan{update: update, answer: answer}
}

func invalid(field, message string) *api.Error {
	return &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: message, Field: field}
}

func internalError(err error) *api.Error {
	return &api.Error{Code: api.CodeInternal, Outcome: api.OutcomeUnknown, Message: err.Error()}
}
