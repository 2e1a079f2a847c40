package control

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
)

// Discovery: a node that is not a settled member asks every address it knows
// which group is there.

// maxContacts bounds the addresses that are remembered from other nodes.
const maxContacts = 64

// serveHello tells what this node is and whom it knows.
func (n *Node) serveHello(_ context.Context, _ string, decode func(any) error) (any, error) {
	var hello peer.Hello
	if err := decode(&hello); err != nil {
		return nil, err
	}
	observed := n.observe()
	return &peer.HelloReply{
		Name:                 n.options.Name,
		Identity:             observed.identity,
		Cluster:              observed.cluster,
		BootstrapCoordinator: n.promise(observed, hello),
		Leader:               observed.status.Leader,
		Members:              observed.status.Membership.Members,
	}, nil
}

// promise lets a node with a lower name form the group, and binds this one to
// the disk that it asked with: a Form sent from an earlier disk is not accepted.
func (n *Node) promise(observed *observation, hello peer.Hello) consensus.ID {
	n.formation.mutex.Lock()
	defer n.formation.mutex.Unlock()
	_, listed := n.options.InitialControl[hello.Name]
	if observed.cluster == "" && listed && hello.Identity != consensus.None && hello.Name < n.options.Name {
		n.formation.promised = hello.Identity
	}
	return n.formation.promised
}

// runDiscovery looks for the group while this node has none, does not vote, or
// hears no leader.
func (n *Node) runDiscovery(ctx context.Context) {
	ticker := time.NewTicker(n.options.DiscoveryInterval)
	defer ticker.Stop()
	for {
		if n.lookingForGroup() {
			n.discover(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) lookingForGroup() bool {
	observed := n.observe()
	return !n.settledMember(observed) || observed.leaderAddress() == ""
}

// discover asks every node that it knows of, and acts on what they say.
func (n *Node) discover(ctx context.Context) {
	replies := n.greet(ctx)
	n.learnAddresses(ctx, replies)
	observed := n.observe()
	switch {
	case observed.cluster == "" && n.mayForm(observed, replies):
		n.formGroup(ctx, replies)
	case !n.settledMember(observed) || removed(observed, replies):
		n.join(ctx, replies)
	default:
		n.completeForming(ctx, observed, replies)
	}
}

// settledMember is true if this node's own log lists it as a voter, as it is.
func (n *Node) settledMember(observed *observation) bool {
	self, found := observed.member(observed.identity)
	return found && self == n.self(observed.identity)
}

// removed is true if members that hear a leader do not count this node among
// them: it was replaced while it was frozen or cut off.
func removed(observed *observation, replies []greeting) bool {
	for _, greeting := range replies {
		reply := greeting.reply
		if reply.Cluster != observed.cluster || reply.Leader == consensus.None {
			continue
		}
		if _, listed := findMember(consensus.Membership{Members: reply.Members}, observed.identity); !listed {
			return true
		}
	}
	return false
}

// greeting is one answer to Hello and the address that gave it.
type greeting struct {
	address string
	reply   peer.HelloReply
}

// greet says Hello to all known addresses at once.
func (n *Node) greet(ctx context.Context) []greeting {
	targets := n.knownAddresses()
	answers := make(chan *greeting, len(targets))
	for _, address := range targets {
		go func() {
			answers <- n.greetOne(ctx, address)
		}()
	}
	var greetings []greeting
	for range targets {
		if answer := <-answers; answer != nil {
			greetings = append(greetings, *answer)
		}
	}
	return greetings
}

func (n *Node) greetOne(ctx context.Context, address string) *greeting {
	ctx, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	hello := peer.Hello{Name: n.options.Name, Identity: n.observe().identity}
	answer := &greeting{address: address}
	if err := n.network.Call(ctx, address, peer.KindHello, &hello, &answer.reply); err != nil {
		return nil
	}
	return answer
}

// knownAddresses are the seeds, the initial control nodes and the members.
func (n *Node) knownAddresses() []string {
	seen := map[string]bool{n.options.PeerAddress: true, "": true}
	var addresses []string
	include := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range n.options.Seeds {
		include(address)
	}
	for _, address := range n.options.InitialControl {
		include(address)
	}
	for _, member := range n.observe().status.Membership.Members {
		include(member.Address)
	}
	n.formation.mutex.Lock()
	defer n.formation.mutex.Unlock()
	for address := range n.formation.contacts {
		include(address)
	}
	return addresses
}

// learnAddresses remembers where members are that this node's own log does not
// know yet, so that it can answer them.
func (n *Node) learnAddresses(ctx context.Context, replies []greeting) {
	cluster := n.observe().cluster
	for _, greeting := range replies {
		if cluster == "" || greeting.reply.Cluster == cluster {
			n.remember(ctx, greeting.reply.Members)
		}
	}
}

// remember keeps where members are. A gateway tells addresses without identities.
func (n *Node) remember(ctx context.Context, members []consensus.Member) {
	if len(members) == 0 {
		return
	}
	n.formation.mutex.Lock()
	for _, member := range members {
		if len(n.formation.contacts) < maxContacts {
			n.formation.contacts[member.Address] = true
		}
	}
	n.formation.mutex.Unlock()
	n.post(ctx, func(time.Duration) {
		for _, member := range members {
			if member.ID != consensus.None {
				n.machine.heard[member.ID] = member.Address
			}
		}
	})
}

func replyFrom(replies []greeting, address string) (peer.HelloReply, bool) {
	for _, greeting := range replies {
		if greeting.address == address {
			return greeting.reply, true
		}
	}
	return peer.HelloReply{}, false
}
