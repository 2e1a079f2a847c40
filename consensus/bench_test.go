package consensus_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
)

const (
	benchmarkEntryBytes = 512
	// benchmarkSnapshotInterval bounds the log that a benchmark keeps in memory.
	benchmarkSnapshotInterval = 4096
)

// benchmarkGroup is a group whose messages arrive at once and whose disk writes take no
// time.
type benchmarkGroup struct {
	b     *testing.B
	now   time.Duration
	nodes []*consensus.Node
	index map[consensus.ID]int
}

func newBenchmarkGroup(b *testing.B, size int) *benchmarkGroup {
	b.Helper()
	g := &benchmarkGroup{b: b, index: make(map[consensus.ID]int)}
	var membership consensus.Membership
	for i := range size {
		id := consensus.ID(fmt.Sprint("member-", i))
		membership.Members = append(membership.Members, consensus.Member{ID: id})
		g.index[id] = i
	}
	for _, member := range membership.Members {
		node, err := consensus.New(consensus.Config{
			ID:        member.ID,
			HardState: consensus.HardState{Term: 1},
			Snapshot:  consensus.Snapshot{Index: 1, Term: 1, Membership: membership},
		})
		if err != nil {
			b.Fatal(err)
		}
		g.nodes = append(g.nodes, node)
	}
	return g
}

// tick advances the time at every member and processes the resulting work.
func (g *benchmarkGroup) tick(step time.Duration) {
	g.now += step
	for _, node := range g.nodes {
		node.Tick(g.now)
	}
	g.deliver()
}

// deliver processes Readies and delivers messages until no member has work left. It does
// not call b.Helper, which would take a third of the time that BenchmarkPropose/1
// measures.
func (g *benchmarkGroup) deliver() {
	for idle := false; !idle; {
		idle = true
		for _, node := range g.nodes {
			if !node.HasReady() {
				continue
			}
			idle = false
			ready := node.Ready()
			node.Advance(ready)
			for _, message := range ready.Messages {
				if err := g.nodes[g.index[message.To]].Step(g.now, message); err != nil {
					g.b.Fatal(err)
				}
			}
		}
	}
}

func (g *benchmarkGroup) leader() *consensus.Node {
	g.b.Helper()
	for range 1000 {
		g.tick(10 * time.Millisecond)
		for _, node := range g.nodes {
			if _, leading := node.Leadership(); leading {
				return node
			}
		}
	}
	g.b.Fatal("no leader")
	return nil
}

// compact drops every member's log, which would otherwise grow without limit.
func (g *benchmarkGroup) compact() {
	g.b.Helper()
	for _, node := range g.nodes {
		if _, err := node.Compact(node.Status().Applied, nil, 0); err != nil {
			g.b.Fatal(err)
		}
	}
}

// BenchmarkPropose measures one entry of 512 bytes, from its proposal until every member
// has committed it.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{1, 3, 5} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			g := newBenchmarkGroup(b, size)
			leader := g.leader()
			data := make([]byte, benchmarkEntryBytes)
			b.ReportAllocs()
			for b.Loop() {
				index, _, err := leader.Propose(g.now, data)
				if err != nil {
					b.Fatal(err)
				}
				g.deliver()
				if index%benchmarkSnapshotInterval == 0 {
					g.compact()
				}
			}
		})
	}
}

// BenchmarkHeartbeat measures one heartbeat round of a group of five, followed by a call
// of QuorumContact at the leader.
func BenchmarkHeartbeat(b *testing.B) {
	g := newBenchmarkGroup(b, 5)
	leader := g.leader()
	b.ReportAllocs()
	for b.Loop() {
		g.tick(100 * time.Millisecond)
		if _, known := leader.QuorumContact(); !known {
			b.Fatal("no quorum contact")
		}
	}
}
