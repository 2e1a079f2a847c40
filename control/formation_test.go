package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/storage"
)

// formationCrash is a crash of one node at one of its first writes.
type formationCrash struct {
	node string
	plan storage.CrashPlan
}

// maxFormationWrites is the number of first writes at which nodes crash: the initial
// control nodes, the first snapshot, the group, and the first terms and entries.
const maxFormationWrites = 7

// restartDelay is the time after which a node that has crashed is started again.
const restartDelay = 400 * time.Millisecond

// TestGroupFormsDespiteCrashes guards against a group that never forms since a control node
// ended before the group existed and came back without being told to bootstrap: nodes
// crash at each of their first writes, one node or two in each history. There must be one
// group in the end, and never two.
func TestGroupFormsDespiteCrashes(t *testing.T) {
	for write := 1; write <= maxFormationWrites; write++ {
		for _, after := range []bool{false, true} {
			plan := storage.CrashPlan{Write: write, AfterWrite: after}
			for i, name := range controlNames {
				first := formationCrash{name, plan}
				t.Run(fmt.Sprint(name, plan), func(t *testing.T) {
					inFleet(t, func(f *fleet) { f.formDespite(first) })
				})
				for second := 1; second <= maxFormationWrites; second++ {
					other := formationCrash{controlNames[(i+1)%len(controlNames)], storage.CrashPlan{Write: second, AfterWrite: !after}}
					t.Run(fmt.Sprint(name, plan, other.node, other.plan), func(t *testing.T) {
						inFleet(t, func(f *fleet) { f.formDespite(first, other) })
					})
				}
			}
		}
	}
}

// formDespite starts three nodes of which some crash, starts those again without being told
// to bootstrap, and checks that one group exists and takes an order.
func (f *fleet) formDespite(crashes ...formationCrash) {
	f.t.Helper()
	for _, crash := range crashes {
		f.disks[crash.node].ScheduleCrash(crash.plan)
	}
	for _, name := range controlNames {
		f.startUnlessCrashed(name)
	}
	f.restartCrashed(crashes)
	f.await("one complete group", func() bool {
		f.restartCrashed(crashes)
		return f.oneGroup()
	})
	for _, crash := range crashes {
		f.disks[crash.node].ScheduleCrash(storage.CrashPlan{})
	}
	f.await("the group after late crashes", func() bool {
		f.restartCrashed(crashes)
		return f.oneGroup()
	})
	f.mustSend(f.primary(), "order-1", 0)
}

// startUnlessCrashed starts a node whose disk may crash at its first write.
func (f *fleet) startUnlessCrashed(name string) {
	f.t.Helper()
	options := f.options[name]
	options.Network = f.network.Node(name, options.PeerAddress)
	options.Store = f.disks[name]
	node, err := New(options)
	if err != nil {
		if closeErr := options.Network.Close(); closeErr != nil {
			f.t.Fatal(closeErr)
		}
		return
	}
	if err := node.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.nodes[name] = node
}

// restartCrashed starts the nodes whose disks have crashed again, without initial control
// nodes in their settings.
func (f *fleet) restartCrashed(crashes []formationCrash) {
	f.t.Helper()
	for _, crash := range crashes {
		disk := f.disks[crash.node]
		if !disk.Down() {
			continue
		}
		if node := f.nodes[crash.node]; node != nil {
			<-node.Done()
			delete(f.nodes, crash.node)
		}
		time.Sleep(restartDelay)
		disk.Reopen()
		options := f.options[crash.node]
		options.InitialControl = nil
		options.Seeds = nil
		for _, name := range controlNames {
			options.Seeds = append(options.Seeds, f.options[name].PeerAddress)
		}
		f.options[crash.node] = options
		f.start(crash.node)
	}
}

// oneGroup reports whether all nodes are voters of a group and know its primary. It fails
// the test if there are two groups.
func (f *fleet) oneGroup() bool {
	f.t.Helper()
	cluster := ""
	complete := len(f.nodes) == len(controlNames)
	for name, node := range f.nodes {
		observed := node.engine.Observe()
		if observed.Cluster != "" && cluster != "" && observed.Cluster != cluster {
			f.t.Fatalf("%s belongs to group %s, another node to %s", name, observed.Cluster, cluster)
		}
		cluster = max(cluster, observed.Cluster)
		complete = complete && observed.Voter() && observed.LeaderAddress() != ""
	}
	return complete
}
