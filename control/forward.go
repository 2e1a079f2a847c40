package control

import (
	"context"
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

const (
	// maxHops bounds forwarding toward the primary: the source detects no loops.
	maxHops = 3
	// updateWait bounds one watcher's update, forwarding included.
	updateWait = 5 * time.Second
	// answerSlack is left to a forwarding node to pass an answer back.
	answerSlack = 100 * time.Millisecond
	// maxOrderWait bounds how long an order may wait to be in force.
	maxOrderWait = time.Minute
)

// serveUpdate takes a watcher's update, here or on its way to the primary.
func (n *Node) serveUpdate(ctx context.Context, from string, decode func(any) error) (any, error) {
	var request peer.UpdateRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if request.Hops == 0 {
		request.Update.Requestor = requestorGateway + from
	}
	ctx, cancel := context.WithTimeout(ctx, updateWait)
	defer cancel()
	reply := n.update(ctx, request)
	return &reply, nil
}

// update answers after the primary has (section 6.4).
func (n *Node) update(ctx context.Context, request peer.UpdateRequest) peer.UpdateReply {
	observed := n.observe()
	if !observed.primary {
		return n.forwardUpdate(ctx, observed, request)
	}
	result, err := n.propose(ctx, request.Update)
	if err != nil {
		return peer.UpdateReply{Code: registry.ServFail, Serial: observed.serial, Primary: n.observe().leaderAddress()}
	}
	return peer.UpdateReply{Code: result.Code, Serial: result.Serial}
}

func (n *Node) forwardUpdate(ctx context.Context, observed *observation, request peer.UpdateRequest) peer.UpdateReply {
	primary := observed.leaderAddress()
	failed := peer.UpdateReply{Code: registry.ServFail, Serial: observed.serial, Primary: primary}
	if primary == "" || primary == n.options.PeerAddress || request.Hops >= maxHops {
		return failed
	}
	request.Hops++
	var reply peer.UpdateReply
	if err := n.network.Call(ctx, primary, peer.KindUpdate, &request, &reply); err != nil {
		n.log.Debug("update not forwarded", "primary", primary, "error", err)
		return failed
	}
	return reply
}

// serveOrder takes an order that another control node forwards.
func (n *Node) serveOrder(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var request peer.OperationRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	wait := min(max(time.Duration(request.WaitMS)*time.Millisecond, answerSlack), maxOrderWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply := n.order(ctx, request)
	return &reply, nil
}

// forwardOrder passes an order to the primary, and gives up when another node
// becomes that: the first may be frozen. An error leaves the order's fate open.
func (n *Node) forwardOrder(ctx context.Context, primary string, request peer.OperationRequest) (peer.OperationReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		n.waitUntil(ctx, func(o *observation) bool { return n.primaryAddress(o) != primary })
		cancel()
	}()
	request.Hops++
	if deadline, bounded := ctx.Deadline(); bounded {
		request.WaitMS = (time.Until(deadline) - answerSlack).Milliseconds()
	}
	var reply peer.OperationReply
	if err := n.network.Call(ctx, primary, peer.KindOperation, &request, &reply); err != nil {
		return peer.OperationReply{}, err
	}
	if reply.Answer == nil && reply.Error == nil {
		return peer.OperationReply{}, errors.New("control: empty reply to an order")
	}
	return reply, nil
}

// readIndexRequest asks the primary how far a reader must have applied to see
// everything that was acknowledged before. A lost one is asked again.
type readIndexRequest struct{}

type readIndexReply struct {
	Index uint64 `cbor:"1,keyasint"`
}

func (n *Node) serveReadIndex(ctx context.Context, _ string, _ func(any) error) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	index, err := n.ownReadIndex(ctx)
	if err != nil {
		return nil, err
	}
	return &readIndexReply{Index: index}, nil
}

// ownReadIndex is the primary's commit index, once a majority has answered a
// heartbeat that was sent after the question.
func (n *Node) ownReadIndex(ctx context.Context) (uint64, error) {
	question, err := ask(ctx, n, n.machine.readQuestion)
	if err != nil || !question.primary {
		return 0, ErrNotPrimary
	}
	confirmed := false
	n.waitUntil(ctx, func(o *observation) bool {
		if !o.primary || o.status.Term != question.term {
			return true
		}
		confirmed = o.contactKnown && o.contact >= question.asked
		return confirmed
	})
	if !confirmed {
		return 0, ErrNotPrimary
	}
	return question.commit, nil
}

// readQuestion is what must be confirmed before a read may be answered.
type readQuestion struct {
	primary bool
	term    uint64
	commit  uint64
	asked   time.Duration
}

func (m *machine) readQuestion(now time.Duration) readQuestion {
	if _, serving := m.serving(); !serving {
		return readQuestion{}
	}
	status := m.group.Status()
	return readQuestion{primary: true, term: status.Term, commit: status.Commit, asked: now}
}

// linearizable waits until this node has applied everything that was
// acknowledged before the call, and returns what it then shows.
func (n *Node) linearizable(ctx context.Context) (*observation, *api.Error) {
	index, err := n.readIndex(ctx)
	if err != nil {
		return nil, noPrimary("the primary could not be asked: "+err.Error(), api.OutcomeRefused)
	}
	if !n.waitUntil(ctx, func(o *observation) bool { return o.applied >= index }) {
		return nil, noPrimary("this node is behind the primary", api.OutcomeRefused)
	}
	return n.observe(), nil
}

func (n *Node) readIndex(ctx context.Context) (uint64, error) {
	observed := n.observe()
	if observed.primary {
		return n.ownReadIndex(ctx)
	}
	primary := observed.leaderAddress()
	if primary == "" || primary == n.options.PeerAddress {
		return 0, ErrNotPrimary
	}
	var reply readIndexReply
	if err := n.network.Call(ctx, primary, kindReadIndex, &readIndexRequest{}, &reply); err != nil {
		return 0, err
	}
	return reply.Index, nil
}

// noPrimaryRetryAfter is when an answer without a primary is worth another try.
const noPrimaryRetryAfter = 300 * time.Millisecond

func noPrimary(message string, outcome api.Outcome) *api.Error {
	return &api.Error{
		Code:         api.CodeNoPrimary,
		Outcome:      outcome,
		Message:      message,
		Retry:        true,
		RetryAfterMS: noPrimaryRetryAfter.Milliseconds(),
	}
}
