package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	testElectionTimeout   = 600 * time.Millisecond
	testHeartbeatInterval = 100 * time.Millisecond
	testStep              = 10 * time.Millisecond
)

// cluster runs nodes in simulated time over a network without delay.
type cluster struct {
	t       *testing.T
	now     time.Duration
	nodes   map[ID]*Node
	disks   map[ID]*Config // the configuration of each node with its persisted state
	applied map[ID][]Entry
	frozen  map[ID]bool         // nodes that are not ticked and receive no messages
	drop    func(Message) bool  // reports whether a message is lost
	sent    map[MessageKind]int // number of messages sent, including lost ones
}

func membersOf(ids ...ID) Membership {
	var membership Membership
	for _, id := range ids {
		membership.Members = append(membership.Members, Member{ID: id, Name: "node-" + string(id), Address: string(id) + ":1"})
	}
	return membership
}

func newCluster(t *testing.T, ids ...ID) *cluster {
	t.Helper()
	c := &cluster{
		t: t, nodes: map[ID]*Node{}, disks: map[ID]*Config{}, applied: map[ID][]Entry{},
		frozen: map[ID]bool{}, drop: func(Message) bool { return false }, sent: map[MessageKind]int{},
	}
	for _, id := range ids {
		c.add(id, Snapshot{Index: 1, Term: 1, Membership: membersOf(ids...)})
	}
	return c
}

// newSeededCluster is like newCluster, with election timeouts that depend on the seed.
func newSeededCluster(t *testing.T, seed uint64, ids ...ID) *cluster {
	t.Helper()
	c := newCluster(t, ids...)
	for _, id := range c.ids() {
		c.disks[id].Seed = seed
		c.restart(id)
	}
	return c
}

func (c *cluster) add(id ID, snapshot Snapshot) {
	c.t.Helper()
	c.disks[id] = &Config{
		ID: id, ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval,
		Seed: 7, HardState: HardState{Term: snapshot.Term}, Snapshot: snapshot, MaxInflight: 8,
	}
	c.restart(id)
}

func (c *cluster) restart(id ID) {
	c.t.Helper()
	node, err := New(*c.disks[id])
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[id] = node
	c.applied[id] = nil
	node.Tick(c.now)
}

func (c *cluster) ids() []ID {
	var ids []ID
	for id := range c.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// deliverAll processes Readies and delivers messages until no node has work left.
func (c *cluster) deliverAll() {
	c.t.Helper()
	for round := 0; ; round++ {
		if round > 10_000 {
			c.t.Fatal("the nodes still have work after 10000 rounds of delivery")
		}
		var messages []Message
		for _, id := range c.ids() {
			if !c.frozen[id] && c.nodes[id].HasReady() {
				messages = append(messages, c.drive(id)...)
			}
		}
		if len(messages) == 0 && !c.hasWork() {
			return
		}
		for _, message := range messages {
			c.deliver(message)
		}
	}
}

func (c *cluster) hasWork() bool {
	for _, id := range c.ids() {
		if !c.frozen[id] && c.nodes[id].HasReady() {
			return true
		}
	}
	return false
}

// drive processes one Ready of a node and returns the messages to send.
func (c *cluster) drive(id ID) []Message {
	node, disk := c.nodes[id], c.disks[id]
	ready := node.Ready()
	if ready.Snapshot != nil {
		disk.Snapshot, disk.Entries = *ready.Snapshot, nil
		c.applied[id] = nil
	}
	if ready.HardState != nil {
		disk.HardState = *ready.HardState
	}
	if len(ready.Entries) > 0 {
		first := ready.Entries[0].Index
		disk.Entries = slices.DeleteFunc(slices.Clone(disk.Entries), func(entry Entry) bool { return entry.Index >= first })
		disk.Entries = append(disk.Entries, ready.Entries...)
	}
	c.applied[id] = append(c.applied[id], ready.CommittedEntries...)
	node.Advance(ready)
	return ready.Messages
}

func (c *cluster) deliver(message Message) {
	c.sent[message.Kind]++
	node := c.nodes[message.To]
	if node == nil || c.frozen[message.To] || c.drop(message) {
		return
	}
	if err := node.Step(c.now, message); err != nil {
		c.t.Fatalf("Step(%+v): %v", message, err)
	}
}

func (c *cluster) run(duration time.Duration) {
	c.t.Helper()
	for end := c.now + duration; c.now < end; {
		c.now += testStep
		for _, id := range c.ids() {
			if !c.frozen[id] {
				c.nodes[id].Tick(c.now)
			}
		}
		c.deliverAll()
	}
}

// leader runs the cluster until it has a leader that has committed its whole log, and
// returns that leader.
func (c *cluster) leader() *Node {
	c.t.Helper()
	for range 2000 {
		c.run(testStep)
		var newest *Node
		for _, id := range c.ids() {
			node := c.nodes[id]
			if node.role == Leader && !c.frozen[id] && (newest == nil || node.term > newest.term) {
				newest = node
			}
		}
		if newest != nil && newest.commit == newest.log.lastIndex() {
			return newest
		}
	}
	c.t.Fatal("no leader was elected")
	return nil
}

func (c *cluster) propose(leader *Node, text string) uint64 {
	c.t.Helper()
	index, _, err := leader.Propose(c.now, []byte(text))
	if err != nil {
		c.t.Fatal(err)
	}
	return index
}

// appliedTexts returns the data of the normal entries that a node has applied.
func (c *cluster) appliedTexts(id ID) []string {
	var texts []string
	for _, entry := range c.applied[id] {
		if entry.Kind == EntryNormal {
			texts = append(texts, string(entry.Data))
		}
	}
	return texts
}

// other returns the first node that is not excluded.
func (c *cluster) other(excluded ...ID) *Node {
	for _, id := range c.ids() {
		if !slices.Contains(excluded, id) {
			return c.nodes[id]
		}
	}
	return nil
}

// isolate drops all messages from and to a node.
func (c *cluster) isolate(id ID) {
	c.drop = func(message Message) bool { return message.From == id || message.To == id }
}

// partition drops all messages between two sets of nodes.
func (c *cluster) partition(left, right []ID) {
	c.drop = func(message Message) bool {
		return slices.Contains(left, message.From) && slices.Contains(right, message.To) ||
			slices.Contains(right, message.From) && slices.Contains(left, message.To)
	}
}

func (c *cluster) heal() {
	c.drop = func(Message) bool { return false }
}

func numbered(prefix string, count int) []string {
	var texts []string
	for i := range count {
		texts = append(texts, fmt.Sprintf("%s%d", prefix, i))
	}
	return texts
}
