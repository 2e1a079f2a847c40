package control

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/control/membership"
	"github.com/deckpulley/deckpulley/control/permission"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/registry"
)

func TestThreeNodesBootstrapElectAndApply(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		f.startGateway("gateway-2")
		for _, gateway := range f.gateways {
			f.await("a lease", gateway.valid)
		}
		answer := f.mustSend(f.follower(), "order-1", 0)
		if answer.Version != 1 {
			t.Errorf("version is %d, want 1", answer.Version)
		}
		f.checkActive(answer.Serial)
		f.checkLinearizableReads()
		f.await("a complete group", func() bool { return f.members(f.follower()).RepairDone })
		if members := f.members(f.primary()).Members; len(members) != 5 {
			t.Errorf("%d members, want 3 control nodes and 2 gateways: %+v", len(members), members)
		}
	})
}

// checkActive verifies that every gateway with a lease has a serial active, and that
// gateways have no records which they have no use for.
func (f *fleet) checkActive(serial uint32) {
	f.t.Helper()
	for name, gateway := range f.gateways {
		if active := gateway.activeSerial(); gateway.valid() && registry.SerialLess(active, serial) {
			f.t.Errorf("%s has serial %d active at the acknowledgement of %d", name, active, serial)
		}
		if surplus := gateway.surplusRecords(); surplus != 0 {
			f.t.Errorf("%s has %d records of documents and operations", name, surplus)
		}
	}
}

// checkLinearizableReads verifies that every node reads the first version.
func (f *fleet) checkLinearizableReads() {
	f.t.Helper()
	for _, node := range f.nodes {
		var read api.ConfigurationAnswer
		status := f.request(node, http.MethodGet, api.PathConfiguration+"?linearizable=true", nil, &read)
		if status != http.StatusOK || read.Version != 1 || read.Document != document(f.t) {
			f.t.Errorf("%s reads version %d with status %d", node.options.Name, read.Version, status)
		}
	}
}

func TestReplicasAndEvacuations(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		f.mustSend(f.primary(), "order-1", 0)
		list := api.ReplicaList{Replicas: []api.ReplicaEntry{
			{ID: "replica-1", Service: "explain", Zone: "north-1", Address: "127.0.0.1:1"},
			{ID: "replica-2", Service: "explain", Zone: "south-1", Address: "127.0.0.1:2", Draining: true},
		}}
		f.put(api.PathReplicas, http.MethodPut, list)
		list.Replicas = list.Replicas[1:]
		list.Replicas[0].Draining = false
		f.put(api.PathReplicas, http.MethodPut, list)
		var read api.ReplicasAnswer
		f.request(f.primary(), http.MethodGet, api.PathReplicas, nil, &read)
		want := []api.ReplicaStatus{{ReplicaEntry: list.Replicas[0], Region: "south", Condition: "down"}}
		if difference := cmp.Diff(want, read.Replicas); difference != "" {
			t.Errorf("replicas (-want +got):\n%s", difference)
		}
		f.put(api.PathEvacuations, http.MethodPost, api.EvacuationOperation{OperationID: "empty", Zone: "north-1"})
		if !f.primary().engine.Observe().Catalog.IsEvacuated("north-1") {
			t.Error("the zone is not evacuated after the acknowledgement")
		}
		f.put(api.PathEvacuations, http.MethodPost, api.EvacuationOperation{OperationID: "refill", Zone: "north-1", Withdraw: true})
		if f.primary().engine.Observe().Catalog.IsEvacuated("north-1") {
			t.Error("the zone is evacuated after the withdrawal's acknowledgement")
		}
		var refused api.OperationResult
		status := f.request(f.follower(), http.MethodPost, api.PathEvacuations, api.EvacuationOperation{OperationID: "nowhere", Zone: "moon"}, &refused)
		if status != http.StatusNotFound || refused.Accepted || refused.Error.Outcome != api.OutcomeRefused {
			t.Errorf("evacuating an unknown zone answered %d %+v", status, refused)
		}
	})
}

func (f *fleet) put(path, method string, body any) {
	f.t.Helper()
	var answer api.OperationResult
	if status := f.request(f.follower(), method, path, body, &answer); status != http.StatusOK || !answer.Accepted {
		f.t.Fatalf("%s %s answered %d %+v", method, path, status, answer)
	}
}

func TestResentOperationGetsTheFirstAnswer(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		first := f.mustSend(f.follower(), "order-1", 0)
		_, refused := f.send(f.primary(), "order-2", 7, document(t))
		if refused.Accepted || refused.Error.Code != api.CodeVersionConflict {
			t.Fatalf("an operation on version 7 answered %+v", refused)
		}
		f.mustSend(f.primary(), "order-3", 1)
		f.checkRepeatedAnswers("at first", first, refused)
		old := f.primary().options.Name
		f.stop(old)
		f.primary()
		f.checkRepeatedAnswers("after the loss of the primary", first, refused)
		f.start(old)
		f.fillLog(testSnapshotInterval + 16)
		for _, name := range controlNames {
			f.stop(name)
		}
		f.start(controlNames...)
		f.primary()
		f.checkRepeatedAnswers("after a snapshot and a restart of all", first, refused)
	})
}

// checkRepeatedAnswers sends the accepted order-1 and the refused order-2 again to
// every node.
func (f *fleet) checkRepeatedAnswers(when string, accepted, refused api.OperationResult) {
	f.t.Helper()
	for name, node := range f.nodes {
		_, again := f.send(node, "order-1", 0, document(f.t))
		if difference := cmp.Diff(accepted, again); difference != "" {
			f.t.Errorf("%s, %s repeats the acceptance otherwise:\n%s", when, name, difference)
		}
		_, again = f.send(node, "order-2", 7, document(f.t))
		if difference := cmp.Diff(refused, again); difference != "" {
			f.t.Errorf("%s, %s repeats the refusal otherwise:\n%s", when, name, difference)
		}
		status, _ := f.send(node, "order-1", 1, document(f.t))
		if status != http.StatusConflict {
			f.t.Errorf("%s, the id with another operation answered %d", when, status)
		}
	}
}

// TestPatchKeepsTheRestOfTheDocument: items come and go by name, under the terms
// of whole documents, and what is refused leaves everything as it was.
func TestPatchKeepsTheRestOfTheDocument(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		f.mustSend(f.primary(), "order-1", 0)
		const added = "upsert: {tenants: {added: {weight: 7}}}\nremove: {tenants: [unknown]}"
		if status, answer := f.patch(f.follower(), "change-1", 1, added); status != http.StatusOK || answer.Version != 2 {
			t.Fatalf("answered %d %+v", status, answer)
		}
		for name, node := range f.nodes {
			if status, answer := f.patch(node, "change-1", 1, added); status != http.StatusOK || answer.Version != 2 {
				t.Errorf("sent again to %s: %d %+v", name, status, answer)
			}
		}
		refused := map[string]struct {
			base uint64
			text string
			code api.Code
		}{
			"race-lost":   {1, added, api.CodeVersionConflict},
			"meaningless": {2, "upsert: {tenants: {added: {home: nowhere}}}", api.CodeInvalid},
			"unreadable":  {2, "upsert: {tenants: {added: {unknown: 1}}}", api.CodeInvalid},
		}
		for id, test := range refused {
			if _, answer := f.patch(f.primary(), id, test.base, test.text); answer.Accepted || answer.Error == nil || answer.Error.Code != test.code {
				t.Errorf("%s answered %+v", id, answer)
			}
		}
		f.checkOneTenantAdded()
	})
}

// patch changes the configuration and returns the status and the answer.
func (f *fleet) patch(node *Node, id string, base uint64, text string) (int, api.OperationResult) {
	f.t.Helper()
	var answer api.OperationResult
	request := api.ConfigurationPatchOperation{OperationID: id, BaseVersion: base, Change: text}
	status := f.request(node, http.MethodPatch, api.PathConfiguration, request, &answer)
	return status, answer
}

// checkOneTenantAdded compares the second version with the first document.
func (f *fleet) checkOneTenantAdded() {
	f.t.Helper()
	state := f.primary().engine.Observe().Catalog
	if tenant, known := state.Tenant("added"); !known || tenant.Weight != 7 || state.Version() != 2 {
		f.t.Errorf("version %d, tenant %+v", state.Version(), tenant)
	}
	current, _ := state.Configuration()
	read, err := configuration.Load(current.Document)
	if err != nil {
		f.t.Fatal(err)
	}
	before, err := configuration.Load(document(f.t))
	if err != nil {
		f.t.Fatal(err)
	}
	if len(read.Tenants) != len(before.Tenants)+1 || len(read.Routes) != len(before.Routes) {
		f.t.Errorf("the document is now %s", current.Document)
	}
}

// fillLog puts so many updates through the log.
func (f *fleet) fillLog(count int) {
	f.t.Helper()
	primary := f.primary()
	var proposals sync.WaitGroup
	for worker := range 16 {
		proposals.Go(func() {
			for range count / 16 {
				update := registry.NewUpdate("places.", nil, nil)
				update.Requestor = permission.Control("test")
				if _, err := primary.engine.Propose(f.t.Context(), update); err != nil {
					f.t.Errorf("worker %d: %v", worker, err)
					return
				}
			}
		})
	}
	proposals.Wait()
}

func TestOneOfConcurrentWritersOnOneBaseWins(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		f.mustSend(f.primary(), "order-0", 0)
		answers := make([]api.OperationResult, len(controlNames))
		var writers sync.WaitGroup
		for i, name := range controlNames {
			writers.Go(func() {
				_, answers[i] = f.send(f.nodes[name], "order-"+name, 1, document(t))
			})
		}
		writers.Wait()
		accepted := 0
		for _, answer := range answers {
			if answer.Accepted {
				accepted++
				continue
			}
			if answer.Error == nil || answer.Error.Code != api.CodeVersionConflict || answer.Error.Outcome != api.OutcomeRefused {
				t.Errorf("the loser was answered %+v", answer)
			}
		}
		if version := f.primary().engine.Observe().Catalog.Version(); accepted != 1 || version != 2 {
			t.Errorf("%d of 3 writers won, the version is %d", accepted, version)
		}
	})
}

func TestWipedDisksAreReplacedOneByOne(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		base := uint64(0)
		cluster := f.primary().engine.Observe().Cluster
		for round, name := range append(controlNames, controlNames[0]) {
			f.await("a complete group", func() bool { return f.members(f.primary()).RepairDone })
			time.Sleep(2 * membership.LearnerTimeout) // a primary long leading counts a newcomer's time from its coming
			f.mustSend(f.primary(), "order-"+string(rune('a'+round)), base)
			base++
			f.stop(name)
			if f.members(f.primary()).RepairDone {
				t.Fatalf("round %d: repair is reported done with %s gone", round, name)
			}
			f.wipe(name)
			if round%2 == 1 { // at another address, in the same zone
				options := f.options[name]
				options.PeerAddress += "0"
				f.options[name] = options
			}
			f.start(name)
			if f.members(f.primary()).RepairDone {
				t.Fatalf("round %d: repair is reported done before %s can be a voter", round, name)
			}
			f.await("the repair", func() bool { return f.members(f.primary()).RepairDone })
			f.checkComplete(cluster, base)
		}
	})
}

// checkComplete verifies that three voters, each with the disk that it has now, hold
// the version.
func (f *fleet) checkComplete(cluster string, version uint64) {
	f.t.Helper()
	current := f.primary().engine.Observe().Status.Membership
	if len(current.Members) != len(controlNames) {
		f.t.Fatalf("members are %+v", current.Members)
	}
	for name, node := range f.nodes {
		member, found := membership.Find(current, node.engine.Observe().Identity)
		if !found || member.Learner {
			f.t.Errorf("%s with disk %s does not vote", name, node.engine.Observe().Identity)
		}
		f.await(name+" to apply the configuration", func() bool {
			o := node.engine.Observe()
			return o.Cluster == cluster && o.Catalog != nil && o.Catalog.Version() == version
		})
	}
}

func TestNodeWithoutGroupNeverBootstrapsBesideAGroup(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		cluster := f.primary().engine.Observe().Cluster
		// The node with the lowest name comes back wiped and meets one survivor
		// without a majority, and one node that is wiped too.
		for _, name := range controlNames {
			f.stop(name)
		}
		f.wipe(controlNames[0])
		f.wipe(controlNames[2])
		f.start(controlNames...)
		time.Sleep(waitTimeout)
		for _, name := range []string{controlNames[0], controlNames[2]} {
			if got := f.nodes[name].engine.Observe().Cluster; got != "" {
				t.Errorf("%s formed or joined %s beside a group that has no majority", name, got)
			}
		}
		if got := f.nodes[controlNames[1]].engine.Observe().Cluster; got != cluster {
			t.Errorf("the survivor belongs to %q, want %q", got, cluster)
		}
	})
}

func TestBootstrapWaitsForEveryNode(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames[0], controlNames[1])
		time.Sleep(waitTimeout)
		for name, node := range f.nodes {
			if node.engine.Observe().Cluster != "" {
				t.Errorf("%s formed a group without %s", name, controlNames[2])
			}
		}
		f.start(controlNames[2])
		f.primary()
	})
}

// timeToInForce stops the primary and returns how long the next one takes from
// its election until it knows what is in force.
func (f *fleet) timeToInForce() time.Duration {
	f.stop(f.primary().options.Name)
	primary := f.primary()
	elected := primary.engine.Observe().At
	f.await("the first serial in force", func() bool { return primary.engine.Observe().InForceKnown })
	return primary.engine.Observe().At - elected
}

func TestLeaveTransfersLeadership(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		old := f.primary()
		started := time.Now()
		delete(f.nodes, old.options.Name)
		if err := old.Leave(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.primary()
		if took := time.Since(started); took >= 600*time.Millisecond {
			t.Errorf("a primary after %v, no sooner than by an election time-out", took)
		}
		f.start(old.options.Name)
	})
}

func TestReplacedDiskComesBackAsAStranger(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.await("a complete group", func() bool { return f.members(f.primary()).RepairDone })
		replaced := f.follower().options.Name
		f.stop(replaced)
		f.options["control-4"] = f.replacement(replaced, "control-4")
		f.wipe("control-4")
		f.start("control-4")
		f.await("the replacement", func() bool { return f.members(f.primary()).RepairDone })
		f.mustSend(f.primary(), "order-1", 0)
		before := f.primary().engine.Observe().Status
		f.start(replaced)
		time.Sleep(waitTimeout)
		after := f.primary().engine.Observe().Status
		if after.Term != before.Term || !cmp.Equal(after.Membership, before.Membership) {
			t.Errorf("the replaced disk's return changed term %d to %d, or members %v to %v", before.Term, after.Term, before.Membership, after.Membership)
		}
		if f.nodes[replaced].engine.Observe().Ready() == nil {
			t.Error("a node that the group does not count says that it is ready")
		}
		f.stop("control-4")
		f.await("the old disk to be admitted", func() bool {
			o := f.nodes[replaced].engine.Observe()
			return f.members(f.primary()).RepairDone && o.Catalog.Version() == 1
		})
	})
}

// replacement is a node in place of another, with a name and an address of its own.
func (f *fleet) replacement(of, name string) Options {
	options := f.options[of]
	options.Name = name
	options.PeerAddress = name + ":1"
	return options
}

func TestMembersAreListedWithOnePartitioned(t *testing.T) {
	inFleet(t, func(f *fleet) {
		f.start(controlNames...)
		gateway := f.startGateway("gateway-1")
		f.await("a lease", gateway.valid)
		f.await("a complete group", func() bool { return f.members(f.primary()).RepairDone })
		primary, partitioned := f.primary(), f.follower()
		f.partition(partitioned.options.PeerAddress, controlAddressesBut(f, partitioned)...)
		time.Sleep(2 * membership.ReachableTimeout)
		for name, node := range f.nodes {
			if node != partitioned {
				f.checkOneDown(name, f.members(node), primary, partitioned)
			}
		}
	})
}

// checkOneDown verifies what a node lists while another one is partitioned.
func (f *fleet) checkOneDown(name string, answer api.MembersAnswer, primary, partitioned *Node) {
	f.t.Helper()
	if answer.RepairDone {
		f.t.Errorf("%s says that the group is complete", name)
	}
	up := make(map[string]bool)
	for _, member := range answer.Members {
		up[member.Name] = member.Up
	}
	if len(up) != 4 || up[partitioned.options.Name] || !up[primary.options.Name] || !up["gateway-1"] {
		f.t.Errorf("%s lists as up: %v", name, up)
	}
}

func TestOperationLeavesAFrozenPrimary(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.mustSend(f.primary(), "order-1", 0)
		old, through := f.primary(), f.follower()
		f.freeze(old, 25*time.Second)
		started := time.Now()
		f.mustSend(through, "order-2", 1)
		// An election takes up to two time-outs of 600 ms, then older leases run out.
		if took := time.Since(started); took > lease.DefaultConfig().GracePeriod()+2*time.Second {
			t.Errorf("the operation took %v", took)
		}
		time.Sleep(waitTimeout)
		_, again := f.send(old, "order-2", 1, document(t))
		if !again.Accepted || again.Version != 2 {
			t.Errorf("the thawed node repeats %+v", again)
		}
	})
}

func controlAddressesBut(f *fleet, node *Node) []string {
	var addresses []string
	for _, name := range controlNames {
		if name != node.options.Name {
			addresses = append(addresses, f.options[name].PeerAddress)
		}
	}
	return addresses
}
