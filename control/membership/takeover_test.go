package membership

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/internal/defect"
)

const (
	modelStep     = 20 * time.Millisecond
	modelLength   = 40 * time.Second
	modelRecovery = 30 * time.Second
	// takeoverAfter is the time without a leader after which a voter asks the witnesses.
	takeoverAfter = 2 * time.Second
)

// takeoverSeeds is the number of histories of TestTakeoverHistories; -takeover.seeds 2000
// takes a minute.
var takeoverSeeds = flag.Uint64("takeover.seeds", 100, "number of histories with takeovers")

// takeoverModel runs control nodes with their repairs and takeovers over links that are cut,
// while nodes crash, are lost for good and are replaced, and witnesses restart.
type takeoverModel struct {
	random    *rand.Rand
	defects   defect.Set
	now       time.Duration
	nodes     map[consensus.ID]*modelNode
	down      map[consensus.ID]*modelNode // crashed; their disks remain
	zones     [3]consensus.ID             // the node that runs, or would run, in each zone
	next      int
	cut       map[[2]consensus.ID]bool
	isolated  map[consensus.ID]bool // from the witnesses
	witnesses map[consensus.Witness]*modelVote
	restarts  int
	// committed has the content that the first node to apply an index found there.
	committed map[uint64]consensus.Entry
	// acknowledged is the highest index that was answered.
	acknowledged uint64
	takeovers    int
	failure      string
}

type modelVote struct {
	epoch     uint64
	candidate consensus.ID
}

type modelNode struct {
	node       *consensus.Node
	config     consensus.Config
	tracker    *Tracker
	term       uint64
	electedAt  time.Duration
	leaderSeen time.Duration
	applied    uint64
}

func newTakeoverModel(seed uint64, defects defect.Set) *takeoverModel {
	m := &takeoverModel{
		random: rand.New(rand.NewPCG(seed, 1)), defects: defects,
		nodes: make(map[consensus.ID]*modelNode), down: make(map[consensus.ID]*modelNode),
		cut: make(map[[2]consensus.ID]bool), isolated: make(map[consensus.ID]bool),
		witnesses: make(map[consensus.Witness]*modelVote), committed: make(map[uint64]consensus.Entry),
	}
	var members []consensus.Member
	for zone := range m.zones {
		members = append(members, m.member(zone, m.newID(zone)))
	}
	for _, member := range members {
		m.start(consensus.Config{ID: member.ID, HardState: consensus.HardState{Term: 1}, Snapshot: consensus.Snapshot{Index: 1, Term: 1, Membership: consensus.Membership{Members: members}}, Seed: seed})
	}
	for i := range 5 {
		m.startWitness(fmt.Sprintf("w%d", i))
	}
	return m
}

func (m *takeoverModel) newID(zone int) consensus.ID {
	m.next++
	m.zones[zone] = consensus.ID(fmt.Sprintf("n%d-zone%d", m.next, zone))
	return m.zones[zone]
}

func (m *takeoverModel) member(zone int, id consensus.ID) consensus.Member {
	return consensus.Member{ID: id, Name: string(id), Address: string(id), Zone: fmt.Sprint(zone)}
}

func (m *takeoverModel) startWitness(name string) {
	m.restarts++
	for witness := range m.witnesses {
		if witness.Name == name {
			delete(m.witnesses, witness)
		}
	}
	m.witnesses[consensus.Witness{Name: name, Incarnation: fmt.Sprint(m.restarts)}] = &modelVote{}
}

func (m *takeoverModel) start(config consensus.Config) {
	config.ElectionTimeout, config.HeartbeatInterval, config.MaxInflight = 600*time.Millisecond, 100*time.Millisecond, 64
	node, err := consensus.New(config)
	if err != nil {
		m.failure = err.Error()
		return
	}
	node.InjectDefects(m.defects)
	node.Tick(m.now)
	m.nodes[config.ID] = &modelNode{node: node, config: config, leaderSeen: m.now}
}

func (m *takeoverModel) ids() []consensus.ID {
	ids := make([]consensus.ID, 0, len(m.nodes))
	for id := range m.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *takeoverModel) running() []consensus.Witness {
	witnesses := make([]consensus.Witness, 0, len(m.witnesses))
	for witness := range m.witnesses {
		witnesses = append(witnesses, witness)
	}
	slices.SortFunc(witnesses, func(a, b consensus.Witness) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	return witnesses
}

func (m *takeoverModel) connected(a, b consensus.ID) bool { return !m.cut[[2]consensus.ID{a, b}] }

// run plays the length with disturbances, then heals everything, and checks that the group
// works again and has everything acknowledged.
func (m *takeoverModel) run() {
	for m.now = 0; m.now < modelLength && m.failure == ""; m.now += modelStep {
		if m.random.IntN(40) == 0 {
			m.disturb()
		}
		m.step()
	}
	m.heal()
	for end := m.now + modelRecovery; m.now < end && m.failure == ""; m.now += modelStep {
		m.step()
	}
}

func (m *takeoverModel) heal() {
	clear(m.cut)
	clear(m.isolated)
	for id, node := range m.down {
		delete(m.down, id)
		m.start(node.config)
	}
}

// disturb makes one random change.
func (m *takeoverModel) disturb() {
	zone := m.random.IntN(len(m.zones))
	id, other := m.zones[zone], m.zones[(zone+1+m.random.IntN(2))%len(m.zones)]
	switch m.random.IntN(12) {
	case 0, 1, 2: // a link is cut in one or both directions
		m.cut[[2]consensus.ID{id, other}] = true
		m.cut[[2]consensus.ID{other, id}] = m.random.IntN(2) == 0
	case 3: // a zone is cut off
		for _, peer := range m.zones {
			m.cut[[2]consensus.ID{id, peer}], m.cut[[2]consensus.ID{peer, id}] = peer != id, peer != id
		}
		m.isolated[id] = m.random.IntN(2) == 0
	case 4, 5, 6:
		clear(m.cut)
		clear(m.isolated)
	case 7:
		m.startWitness(fmt.Sprintf("w%d", m.random.IntN(5)))
	case 8:
		if node := m.nodes[id]; node != nil {
			m.down[id] = node
			delete(m.nodes, id)
		}
	case 9:
		if node := m.down[id]; node != nil {
			delete(m.down, id)
			m.start(node.config)
		}
	default:
		m.replace(zone)
	}
}

// replace loses the node of a zone for good, and starts one with an empty disk that may be
// cut off. It does so only while everything acknowledged is on another disk as well.
func (m *takeoverModel) replace(zone int) {
	lost := m.zones[zone]
	copies := 0
	for _, nodes := range []map[consensus.ID]*modelNode{m.nodes, m.down} {
		for id, node := range nodes {
			if id != lost && m.lastIndex(node) >= m.acknowledged && m.holdsAcknowledged(node) {
				copies++
			}
		}
	}
	if copies == 0 || !m.bearsLoss(lost) {
		return
	}
	delete(m.nodes, lost)
	delete(m.down, lost)
	fresh := m.newID(zone)
	for _, peer := range m.zones {
		isolated := peer != fresh && m.random.IntN(2) == 0
		m.cut[[2]consensus.ID{fresh, peer}], m.cut[[2]consensus.ID{peer, fresh}] = isolated, isolated
	}
	m.start(consensus.Config{ID: fresh, Seed: uint64(m.next)})
}

// bearsLoss reports whether the group is able to go on without the node: in the newest
// committed membership, at most this voter is lost.
func (m *takeoverModel) bearsLoss(lost consensus.ID) bool {
	var newest consensus.Membership
	highest := uint64(0)
	for _, id := range m.ids() {
		status := m.nodes[id].node.Status()
		if status.Role == consensus.Leader && status.MembershipCommitted && status.Term > highest {
			newest, highest = status.Membership, status.Term
		}
	}
	if len(newest.Members) == 0 {
		return false
	}
	voters := newest.Voters()
	if len(voters) == 2 && len(newest.Witnesses) == 0 || len(voters) == 1 {
		return false
	}
	for _, voter := range voters {
		if voter.ID != lost && m.nodes[voter.ID] == nil && m.down[voter.ID] == nil {
			return false
		}
	}
	return true
}

func (m *takeoverModel) lastIndex(node *modelNode) uint64 { return node.node.Status().LastIndex }

// holdsAcknowledged reports whether a node's disk has the acknowledged entries.
func (m *takeoverModel) holdsAcknowledged(node *modelNode) bool {
	for _, entry := range node.config.Entries {
		if committed, found := m.committed[entry.Index]; found && entry.Index <= m.acknowledged && committed.Term != entry.Term {
			return false
		}
	}
	return true
}

func (m *takeoverModel) step() {
	for _, id := range m.ids() {
		n := m.nodes[id]
		if n == nil {
			continue // ended meanwhile
		}
		n.node.Tick(m.now)
		if m.now%(100*time.Millisecond) == 0 {
			m.tryTakeover(id, n)
			m.maintain(n)
		}
	}
	for range 50 {
		if !m.deliver() {
			return
		}
	}
}

// maintain proposes entries and repairs the group, as a primary does.
func (m *takeoverModel) maintain(n *modelNode) {
	status := n.node.Status()
	if status.Leader != consensus.None {
		n.leaderSeen = m.now
	}
	if status.Role != consensus.Leader {
		n.tracker = nil
		return
	}
	if n.tracker == nil || n.term != status.Term {
		n.tracker, n.term, n.electedAt = NewTracker(), status.Term, m.now
	}
	_, _, _ = n.node.Propose(m.now, fmt.Appendf(nil, "%s %s", status.ID, m.now))
	for zone, id := range m.zones {
		if m.nodes[id] != nil && m.connected(id, status.ID) && m.connected(status.ID, id) {
			if _, member := Find(status.Membership, id); !member {
				n.tracker.RecordJoin(JoinRequest{Member: m.member(zone, id), ReceivedAt: m.now})
			}
		}
	}
	n.tracker.ExpireJoins(m.now)
	n.tracker.Observe(m.now, status.Membership)
	witnesses := m.running()
	if m.isolated[status.ID] {
		witnesses = nil
	}
	repair := Repair{
		Now: m.now, ElectedAt: n.electedAt, Status: status, Joins: n.tracker.Joins(), FirstSeen: n.tracker.FirstSeen(),
		Voters: 3, ReplaceAfter: 3 * time.Second, Witnesses: witnesses,
	}
	if next, needed := repair.Next(); needed {
		_, _, err := n.node.ProposeMembership(m.now, next.Membership)
		for err == nil && m.now < modelLength && m.random.IntN(2) == 0 {
			m.disturb() // at the steps of a change
		}
	}
	if !status.SoleCopy && status.Commit > m.acknowledged {
		m.acknowledged = status.Commit
	}
}

func (m *takeoverModel) tryTakeover(id consensus.ID, n *modelNode) {
	status := n.node.Status()
	if status.Leader != consensus.None || !status.TakeOver {
		n.leaderSeen = m.now
		return
	}
	if m.now-n.leaderSeen < takeoverAfter || m.isolated[id] {
		return
	}
	granted := 0
	for _, witness := range status.Membership.Witnesses {
		vote := m.witnesses[witness]
		if vote == nil || vote.epoch > status.Membership.Epoch {
			continue
		}
		if vote.epoch < status.Membership.Epoch {
			*vote = modelVote{status.Membership.Epoch, id}
		}
		if vote.candidate == id {
			granted++
		}
	}
	if 2*granted > len(status.Membership.Witnesses) && n.node.TakeOver(m.now, status.Membership.Epoch) == nil {
		m.takeovers++
	}
}

// deliver processes one batch of each node, and reports whether there was any.
func (m *takeoverModel) deliver() bool {
	var messages []consensus.Message
	for _, id := range m.ids() {
		if n := m.nodes[id]; n.node.HasReady() {
			messages = append(messages, m.drive(n)...)
		}
	}
	for _, message := range messages {
		if m.now < modelLength && m.random.IntN(400) == 0 {
			m.disturb()
		}
		if target := m.nodes[message.To]; target != nil && m.connected(message.From, message.To) {
			if err := target.node.Step(m.now, message); err != nil {
				m.failure = err.Error()
			}
		}
	}
	return len(messages) > 0
}

func (m *takeoverModel) drive(n *modelNode) []consensus.Message {
	ready := n.node.Ready()
	if ready.Snapshot != nil {
		n.config.Snapshot, n.config.Entries = *ready.Snapshot, nil
		n.applied = ready.Snapshot.Index
	}
	if ready.HardState != nil {
		n.config.HardState = *ready.HardState
	}
	if len(ready.Entries) > 0 {
		first := ready.Entries[0].Index
		n.config.Entries = slices.DeleteFunc(slices.Clone(n.config.Entries), func(entry consensus.Entry) bool { return entry.Index >= first })
		n.config.Entries = append(n.config.Entries, ready.Entries...)
	}
	for _, entry := range ready.CommittedEntries {
		m.check(n, entry)
	}
	n.node.Advance(ready)
	return ready.Messages
}

// check compares an applied entry with what others applied at its index.
func (m *takeoverModel) check(n *modelNode, entry consensus.Entry) {
	known, found := m.committed[entry.Index]
	if !found {
		m.committed[entry.Index] = entry
		return
	}
	if known.Term != entry.Term || !bytes.Equal(known.Data, entry.Data) {
		m.failure = fmt.Sprintf("at %s %s applies another entry at index %d than was committed", m.now, n.config.ID, entry.Index)
	}
}

// verdict returns what is wrong after run; empty if nothing is.
func (m *takeoverModel) verdict() string {
	if m.failure != "" {
		return m.failure
	}
	leaders := 0
	for _, id := range m.ids() {
		status := m.nodes[id].node.Status()
		if status.Role != consensus.Leader {
			continue
		}
		leaders++
		if status.Commit < m.acknowledged {
			return fmt.Sprintf("the leader has committed %d of %d acknowledged entries", status.Commit, m.acknowledged)
		}
	}
	if leaders > 1 {
		return fmt.Sprintf("%d leaders after everything healed", leaders)
	}
	return ""
}

// TestTakeoverHistories guards against two groups, and against a group that lacks what was
// acknowledged, while two voters and their witnesses are lost and cut off in any order.
func TestTakeoverHistories(t *testing.T) {
	takeovers, without := 0, 0
	for seed := range *takeoverSeeds {
		m := newTakeoverModel(seed, defect.Set{})
		m.run()
		if verdict := m.verdict(); verdict != "" {
			t.Fatalf("seed %d: %s", seed, verdict)
		}
		takeovers += m.takeovers
		if !m.hasLeader() {
			without++
		}
	}
	t.Logf("%d takeovers in %d histories, %d ended without a leader", takeovers, *takeoverSeeds, without)
	if takeovers == 0 {
		t.Error("no history has a takeover")
	}
}

func (m *takeoverModel) hasLeader() bool {
	for _, n := range m.nodes {
		if n.node.Status().Role == consensus.Leader {
			return true
		}
	}
	return false
}

// TestTakeoverHistoriesDetectDefects checks that the histories find each unsafe variant.
func TestTakeoverHistoriesDetectDefects(t *testing.T) {
	const seeds = 20
	cases := map[string]struct {
		planted   defect.Defect
		firstSeed uint64 // a little before the first that finds it
	}{
		"takeover in an uncommitted membership": {defect.TakeOverUncommitted, 270},
		"epoch left without both voters":        {defect.LeaveWitnessesAlone, 480},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := c.firstSeed; seed < c.firstSeed+seeds; seed++ {
				m := newTakeoverModel(seed, defect.Of(c.planted))
				m.run()
				if verdict := m.verdict(); verdict != "" {
					t.Logf("found by seed %d: %s", seed, verdict)
					return
				}
			}
			t.Errorf("not found by the seeds %d to %d", c.firstSeed, c.firstSeed+seeds-1)
		})
	}
}
