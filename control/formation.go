package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/places"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/storage"
)

// Formation and joining. A disk without a group is a new member, whatever its
// node was before. A new group is formed only when every node of InitialControl
// answers that it has none, and only by the one with the lowest name; a node that
// has a group never forms. Whoever finds a group asks to join it.

const (
	firstSerial = 1
	// headRefresh and headExpire are the seconds of the head record. Copies are
	// renewed far more often, by leases.
	headRefresh = 1
	headExpire  = 10
)

// formation is what the discovery and the handlers of Hello and Form share.
type formation struct {
	mutex sync.Mutex
	// promised is the identity of the node whose Form is awaited.
	promised consensus.ID
	// contacts are addresses of control nodes that others told of.
	contacts map[string]bool
}

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
		Name:     n.options.Name,
		Identity: observed.identity,
		Cluster:  observed.cluster,
		Forming:  n.promise(observed, hello),
		Leader:   observed.status.Leader,
		Members:  observed.status.Membership.Members,
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

// serveForm makes a fresh node a voter of a new group, once.
func (n *Node) serveForm(ctx context.Context, from string, decode func(any) error) (any, error) {
	var form peer.Form
	if err := decode(&form); err != nil {
		return nil, err
	}
	n.formation.mutex.Lock()
	promised := n.formation.promised
	n.formation.mutex.Unlock()
	accepted, err := ask(ctx, n, func(now time.Duration) bool {
		return n.machine.form(now, form, promised)
	})
	if err != nil {
		return nil, err
	}
	n.log.Info("asked to form a group", "from", from, "cluster", form.Cluster, "accepted", accepted)
	return &peer.FormReply{Accepted: accepted}, nil
}

// form adopts a group in whose first membership this disk stands.
func (m *machine) form(now time.Duration, form peer.Form, promised consensus.ID) bool {
	if m.cluster != "" {
		return m.cluster == form.Cluster
	}
	self, included := findMember(form.Snapshot.Membership, m.identity)
	if !included || self.Learner {
		return false
	}
	if _, kept := findMember(form.Snapshot.Membership, promised); promised != consensus.None && !kept {
		return false
	}
	return m.adopt(now, form.Cluster, form.Snapshot)
}

// adopt records a group on the disk: its snapshot first, since that names the
// group too, so that a crash between the writes is completed at the next start.
// A joining node has no snapshot yet; the leader sends one.
func (m *machine) adopt(now time.Duration, cluster string, snapshot consensus.Snapshot) bool {
	if snapshot.Index > 0 {
		if content, err := decodeSnapshot(snapshot.Data); err != nil || content.Cluster != cluster {
			return false
		}
		if err := m.store.SaveSnapshot(snapshot, snapshot.Index+1); err != nil {
			m.failure = fmt.Errorf("control: writing the first snapshot: %w", err)
			return false
		}
	}
	if err := m.store.SetCluster(cluster); err != nil {
		m.failure = fmt.Errorf("control: recording the group: %w", err)
		return false
	}
	m.cluster = cluster
	if err := m.open(storage.Loaded{Identity: m.identity, Cluster: cluster, Snapshot: snapshot}, now); err != nil {
		m.failure = err
		return false
	}
	m.log.Info("belongs to a group", "cluster", cluster, "identity", string(m.identity), "snapshot", snapshot.Index)
	return true
}

// firstSnapshot is the state of a new group.
func firstSnapshot(cluster, primary string, members []consensus.Member) (consensus.Snapshot, error) {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Name)
	}
	head := registry.Head{Primary: primary, Serial: firstSerial, Refresh: headRefresh, Expire: headExpire}
	table, err := registry.New(places.Apex, places.Schema(), head, names)
	if err != nil {
		return consensus.Snapshot{}, fmt.Errorf("control: making the first table: %w", err)
	}
	encoded, err := table.Snapshot()
	if err != nil {
		return consensus.Snapshot{}, fmt.Errorf("control: encoding the first table: %w", err)
	}
	data, err := encodeSnapshot(snapshotContent{Cluster: cluster, Table: encoded, Voters: len(members)})
	if err != nil {
		return consensus.Snapshot{}, err
	}
	return consensus.Snapshot{Index: 1, Term: 1, Membership: consensus.Membership{Members: members}, Data: data}, nil
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

// mayForm is true if every other node of InitialControl has just said that it
// belongs to no group and awaits this node's Form.
func (n *Node) mayForm(observed *observation, replies []greeting) bool {
	if _, listed := n.options.InitialControl[n.options.Name]; !listed {
		return false
	}
	for name, address := range n.options.InitialControl {
		if name == n.options.Name {
			continue
		}
		if name < n.options.Name {
			return false
		}
		reply, answered := replyFrom(replies, address)
		if !answered || reply.Name != name || reply.Cluster != "" || reply.Forming != observed.identity {
			return false
		}
	}
	for _, greeting := range replies {
		if greeting.reply.Cluster != "" {
			return false
		}
	}
	return true
}

func replyFrom(replies []greeting, address string) (peer.HelloReply, bool) {
	for _, greeting := range replies {
		if greeting.address == address {
			return greeting.reply, true
		}
	}
	return peer.HelloReply{}, false
}

// formGroup makes the first state of a group, stores it here, and tells the
// others. What the telling misses is made good by completeForming.
func (n *Node) formGroup(ctx context.Context, replies []greeting) {
	cluster := randomID()
	members, err := n.firstMembers(ctx, replies)
	if err != nil {
		n.log.Info("group not formed yet", "error", err)
		return
	}
	snapshot, err := firstSnapshot(cluster, n.options.Name, members)
	if err != nil {
		n.log.Error("group not formed", "error", err)
		return
	}
	adopted, err := ask(ctx, n, func(now time.Duration) bool {
		return n.machine.cluster == "" && n.machine.adopt(now, cluster, snapshot)
	})
	if err != nil || !adopted {
		return
	}
	n.log.Info("formed a group", "cluster", cluster, "members", len(members))
	for _, member := range members[1:] {
		n.sendForm(ctx, member.Address, peer.Form{Cluster: cluster, Snapshot: snapshot})
	}
}

// completeForming brings the group to members that never heard of it: they stand
// in the membership under the identity of their disk, which has no group. Such a
// member has never voted, so any state of the group is good for its start.
func (n *Node) completeForming(ctx context.Context, observed *observation, replies []greeting) {
	for _, greeting := range replies {
		member, found := observed.member(greeting.reply.Identity)
		if !found || member.Learner || greeting.reply.Cluster != "" {
			continue
		}
		form, err := ask(ctx, n, func(time.Duration) peer.Form { return n.machine.currentForm() })
		if err == nil && form.Snapshot.Index > 0 {
			n.sendForm(ctx, greeting.address, form)
		}
	}
}

// currentForm offers the state of the group at its formation. After the first
// change there is nothing to offer: the group had a majority by then, and its
// leader brings a member up to date.
func (m *machine) currentForm() peer.Form {
	if m.table == nil || m.applied != 1 {
		return peer.Form{}
	}
	data, err := m.snapshotData()
	if err != nil {
		return peer.Form{}
	}
	membership := m.group.Status().Membership
	return peer.Form{
		Cluster:  m.cluster,
		Snapshot: consensus.Snapshot{Index: 1, Term: 1, Membership: membership, Data: data},
	}
}

// firstMembers describes the nodes of InitialControl, this one first.
func (n *Node) firstMembers(ctx context.Context, replies []greeting) ([]consensus.Member, error) {
	members := []consensus.Member{n.self(n.observe().identity)}
	for name, address := range n.options.InitialControl {
		if name == n.options.Name {
			continue
		}
		description, err := n.describe(ctx, address)
		if err != nil {
			return nil, fmt.Errorf("control: describing %s: %w", name, err)
		}
		reply, _ := replyFrom(replies, address)
		if description.Identity != reply.Identity {
			return nil, fmt.Errorf("control: %s has changed its identity", name)
		}
		members = append(members, consensus.Member{ID: reply.Identity, Name: name, Address: address, Zone: description.Zone})
	}
	return members, nil
}

func (n *Node) sendForm(ctx context.Context, address string, form peer.Form) {
	ctx, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	var reply peer.FormReply
	if err := n.network.Call(ctx, address, peer.KindForm, &form, &reply); err != nil {
		n.log.Warn("member not told of the group", "address", address, "error", err)
	}
}

func (n *Node) self(identity consensus.ID) consensus.Member {
	return consensus.Member{
		ID:      identity,
		Name:    n.options.Name,
		Address: n.options.PeerAddress,
		Zone:    n.options.Zone,
	}
}

// errNoGroup means that nobody who answered belongs to a group.
var errNoGroup = errors.New("control: no group found")

// join asks the primary of a found group to add this node.
func (n *Node) join(ctx context.Context, replies []greeting) {
	observed := n.observe()
	reply, err := n.askToJoin(ctx, observed, replies)
	if err != nil {
		n.log.Debug("not joined", "error", err)
		return
	}
	n.remember(ctx, reply.Members)
	if !reply.Accepted || observed.cluster != "" {
		return
	}
	_, err = ask(ctx, n, func(now time.Duration) bool {
		return n.machine.cluster == "" && n.machine.adopt(now, reply.Cluster, consensus.Snapshot{})
	})
	if err != nil {
		n.log.Debug("not joined", "error", err)
	}
}

// askToJoin asks the members that were found, following their hints to the primary.
func (n *Node) askToJoin(ctx context.Context, observed *observation, replies []greeting) (peer.JoinReply, error) {
	for _, greeting := range replies {
		cluster := greeting.reply.Cluster
		if cluster == "" || observed.cluster != "" && cluster != observed.cluster {
			continue
		}
		reply, err := n.callJoin(ctx, greeting.address)
		if err == nil && !reply.Accepted && reply.Primary != "" && reply.Primary != greeting.address {
			reply, err = n.callJoin(ctx, reply.Primary)
		}
		if err == nil && reply.Accepted {
			return reply, nil
		}
	}
	return peer.JoinReply{}, errNoGroup
}

func (n *Node) callJoin(ctx context.Context, address string) (peer.JoinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	join := peer.Join{Member: n.self(n.observe().identity)}
	var reply peer.JoinReply
	err := n.network.Call(ctx, address, peer.KindJoin, &join, &reply)
	return reply, err
}

// serveJoin takes the request of a node whose disk is new, or whose address is.
func (n *Node) serveJoin(ctx context.Context, _ string, decode func(any) error) (any, error) {
	var join peer.Join
	if err := decode(&join); err != nil {
		return nil, err
	}
	if join.Member.ID == consensus.None || join.Member.Address == "" {
		return nil, errors.New("control: join without identity or address")
	}
	reply, err := ask(ctx, n, func(now time.Duration) peer.JoinReply {
		return n.machine.join(now, join.Member)
	})
	if err != nil {
		return nil, err
	}
	return &reply, nil
}
