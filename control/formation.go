package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/storage"
)

// Formation. A disk without a group is a new member, whatever its
// node was before. A new group is formed only when every node of InitialControl
// answers that it has none, and only by the one with the lowest name; a node that
// has a group never forms. Whoever finds a group asks to join it, see join.go.

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

// serveForm makes a fresh node a voter of a new group, once.
func (n *Node) serveForm(ctx context.Context, from string, decode func(any) error) (any, error) {
	var form peer.Bootstrap
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
	return &peer.BootstrapReply{Accepted: accepted}, nil
}

// form adopts a group in whose first membership this disk stands.
func (m *machine) form(now time.Duration, form peer.Bootstrap, promised consensus.ID) bool {
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
	if err := m.open(storage.State{Identity: m.identity, Cluster: cluster, Snapshot: snapshot}, now); err != nil {
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
	head := registry.SOA{Primary: primary, Serial: firstSerial, Refresh: headRefresh, Expire: headExpire}
	table, err := registry.New(catalog.Apex, catalog.Schema(), head, names)
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
		if !answered || reply.Name != name || reply.Cluster != "" || reply.BootstrapCoordinator != observed.identity {
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
		n.sendForm(ctx, member.Address, peer.Bootstrap{Cluster: cluster, Snapshot: snapshot})
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
		form, err := ask(ctx, n, func(time.Duration) peer.Bootstrap { return n.machine.currentForm() })
		if err == nil && form.Snapshot.Index > 0 {
			n.sendForm(ctx, greeting.address, form)
		}
	}
}

// currentForm offers the state of the group at its formation. After the first
// change there is nothing to offer: the group had a majority by then, and its
// leader brings a member up to date.
func (m *machine) currentForm() peer.Bootstrap {
	if m.table == nil || m.applied != 1 {
		return peer.Bootstrap{}
	}
	data, err := m.snapshotData()
	if err != nil {
		return peer.Bootstrap{}
	}
	membership := m.group.Status().Membership
	return peer.Bootstrap{
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

func (n *Node) sendForm(ctx context.Context, address string, form peer.Bootstrap) {
	ctx, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	var reply peer.BootstrapReply
	if err := n.network.Call(ctx, address, peer.KindBootstrap, &form, &reply); err != nil {
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
