package control

import (
	"context"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/directory"
)

// A control node that is not taken into the group, since that is whole, still
// answers: it passes orders on to the primary and questions of clients to a member.

const (
	// whereAge is how long a member's answer to a client's question is given again.
	whereAge = 500 * time.Millisecond
	// whereTimeout bounds the question to one member.
	whereTimeout = 300 * time.Millisecond
	// whereMembers bounds the members that are asked for one answer.
	whereMembers = 2
)

// whereRequest asks a member where clients of a region should go.
type whereRequest struct {
	Region string `cbor:"1,keyasint"`
	Limit  int    `cbor:"2,keyasint"`
}

// whereReply is empty if the member does not know.
type whereReply struct {
	Addresses []string `cbor:"1,keyasint,omitempty"`
}

// outsider is what a node outside of the group keeps of the group that it found.
type outsider struct {
	mutex sync.Mutex
	// primary is the peers' address that the group's members named last.
	primary string
	where   map[whereRequest]whereAnswer
}

type whereAnswer struct {
	at        time.Time
	addresses []string
}

// notePrimary keeps the primary that a member named.
func (o *outsider) notePrimary(address string) {
	if address == "" {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.primary = address
}

func (o *outsider) knownPrimary() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.primary
}

// outside is true while this node has nothing of a group: it has found none, or it
// was not taken in.
func (o *observation) outside() bool { return len(o.status.Membership.Members) == 0 }

// primaryAddress is the peers' address of the primary, empty if unknown.
func (n *Node) primaryAddress(observed *observation) string {
	if observed.outside() {
		return n.outsider.knownPrimary()
	}
	return observed.leaderAddress()
}

// Where returns the addresses of the gateways that a client of a region should
// use, at most limit. It is empty when none is known.
func (n *Node) Where(region string, limit int) []string {
	question := whereRequest{Region: region, Limit: limit}
	if n.observe().outside() {
		return n.askWhere(question)
	}
	return n.where(question)
}

// where answers from this node's own copy.
func (n *Node) where(asked whereRequest) []string {
	observed := n.observe()
	if observed.contents == nil {
		return nil
	}
	question := directory.Query{Region: asked.Region, Limit: asked.Limit, Node: n.options.Name}
	question.Partitioned = observed.status.Leader == consensus.None
	return question.Answer(observed.contents.Gateways())
}

// askWhere answers by a member's word, which it keeps for a moment.
func (n *Node) askWhere(asked whereRequest) []string {
	n.outsider.mutex.Lock()
	kept, found := n.outsider.where[asked]
	n.outsider.mutex.Unlock()
	if found && time.Since(kept.at) < whereAge {
		return kept.addresses
	}
	for _, address := range n.membersToAsk() {
		addresses := n.callWhere(address, asked)
		if len(addresses) == 0 {
			continue
		}
		n.outsider.mutex.Lock()
		if n.outsider.where == nil || len(n.outsider.where) >= maxContacts {
			n.outsider.where = make(map[whereRequest]whereAnswer)
		}
		n.outsider.where[asked] = whereAnswer{at: time.Now(), addresses: addresses}
		n.outsider.mutex.Unlock()
		return addresses
	}
	return nil
}

// membersToAsk are the primary, if it is known, and others that were heard of.
func (n *Node) membersToAsk() []string {
	var addresses []string
	if primary := n.outsider.knownPrimary(); primary != "" {
		addresses = append(addresses, primary)
	}
	for _, address := range n.knownAddresses() {
		if len(addresses) >= whereMembers {
			break
		}
		if address != n.outsider.knownPrimary() {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (n *Node) callWhere(address string, asked whereRequest) []string {
	ctx, cancel := context.WithTimeout(context.Background(), whereTimeout)
	defer cancel()
	var reply whereReply
	if err := n.network.Call(ctx, address, kindWhere, &asked, &reply); err != nil {
		n.log.Debug("not told where clients should go", "member", address, "error", err)
		return nil
	}
	return reply.Addresses
}

// serveWhere answers a node without a group, from this node's own copy alone.
func (n *Node) serveWhere(_ context.Context, _ string, decode func(any) error) (any, error) {
	var asked whereRequest
	if err := decode(&asked); err != nil {
		return nil, err
	}
	return &whereReply{Addresses: n.where(asked)}, nil
}
