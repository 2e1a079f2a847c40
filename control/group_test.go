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

// checkActive verifies that every gateway with a lease has activated a serial, and that
// no gateway has records that gateways do not use.
func (f *fleet) checkActive(serial uint32) {
	f.t.Helper()
	for name, gateway := range f.gateways {
		if active := gateway.activeSerial(); gateway.valid() && registry.SerialLess(active, serial) {
			f.t.Errorf("%s has only serial %d active when serial %d is acknowledged", name, active, serial)
		}
		if surplus := gateway.unusedRecords(); surplus != 0 {
			f.t.Errorf("%s has %d records of documents and operations, want 0", name, surplus)
		}
	}
}

// checkLinearizableReads verifies that a linearizable read at every node returns the
// first version.
func (f *fleet) checkLinearizableReads() {
	f.t.Helper()
	for _, node := range f.nodes {
		var read api.ConfigurationAnswer
		status := f.request(node, http.MethodGet, api.PathConfiguration+"?linearizable=true", nil, &read)
		if status != http.StatusOK || read.Version != 1 || read.Document != document(f.t) {
			f.t.Errorf("%s returned version %d with status %d, want version 1 of the submitted document", node.options.Name, read.Version, status)
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
			t.Error("the zone is not evacuated after the evacuation was acknowledged")
		}
		f.put(api.PathEvacuations, http.MethodPost, api.EvacuationOperation{OperationID: "refill", Zone: "north-1", Withdraw: true})
		if f.primary().engine.Observe().Catalog.IsEvacuated("north-1") {
			t.Error("the zone is still evacuated after the withdrawal was acknowledged")
		}
		var refused api.OperationResult
		status := f.request(f.follower(), http.MethodPost, api.PathEvacuations, api.EvacuationOperation{OperationID: "nowhere", Zone: "moon"}, &refused)
		if status != http.StatusNotFound || refused.Accepted || refused.Error.Outcome != api.OutcomeRefused {
			t.Errorf("evacuating an unknown zone returned status %d and %+v, want 404 and a refusal", status, refused)
		}
	})
}

// put sends a request to a follower and fails the test unless it is accepted.
func (f *fleet) put(path, method string, body any) {
	f.t.Helper()
	var answer api.OperationResult
	if status := f.request(f.follower(), method, path, body, &answer); status != http.StatusOK || !answer.Accepted {
		f.t.Fatalf("%s %s returned status %d and %+v, want it accepted", method, path, status, answer)
	}
}

// TestResentOperationGetsTheFirstAnswer checks that every node repeats the answer to an
// operation, also after a failover and after a restart of all nodes from a snapshot.
func TestResentOperationGetsTheFirstAnswer(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		first := f.mustSend(f.follower(), "order-1", 0)
		_, refused := f.send(f.primary(), "order-2", 7, document(t))
		if refused.Accepted || refused.Error.Code != api.CodeVersionConflict {
			t.Fatalf("an operation based on version 7 returned %+v, want a version conflict", refused)
		}
		f.mustSend(f.primary(), "order-3", 1)
		f.checkRepeatedAnswers("initially", first, refused)
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
		f.checkRepeatedAnswers("after a snapshot and a restart of all nodes", first, refused)
	})
}

// checkRepeatedAnswers resends the accepted order-1 and the refused order-2 to every
// node and compares the answers with the first ones.
func (f *fleet) checkRepeatedAnswers(when string, accepted, refused api.OperationResult) {
	f.t.Helper()
	for name, node := range f.nodes {
		_, again := f.send(node, "order-1", 0, document(f.t))
		if difference := cmp.Diff(accepted, again); difference != "" {
			f.t.Errorf("%s, %s answers the accepted operation differently (-first +again):\n%s", when, name, difference)
		}
		_, again = f.send(node, "order-2", 7, document(f.t))
		if difference := cmp.Diff(refused, again); difference != "" {
			f.t.Errorf("%s, %s answers the refused operation differently (-first +again):\n%s", when, name, difference)
		}
		status, _ := f.send(node, "order-1", 1, document(f.t))
		if status != http.StatusConflict {
			f.t.Errorf("%s, a different operation with the same id returned status %d, want 409", when, status)
		}
	}
}

// TestPatchPreservesTheRestOfTheDocument checks that a patch changes only the items that
// it names, is validated like a complete document, and changes nothing if it is refused.
func TestPatchPreservesTheRestOfTheDocument(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		f.mustSend(f.primary(), "order-1", 0)
		const added = "upsert: {tenants: {added: {weight: 7}}}\nremove: {tenants: [unknown]}"
		if status, answer := f.patch(f.follower(), "change-1", 1, added); status != http.StatusOK || answer.Version != 2 {
			t.Fatalf("the patch returned status %d and %+v, want version 2", status, answer)
		}
		for name, node := range f.nodes {
			if status, answer := f.patch(node, "change-1", 1, added); status != http.StatusOK || answer.Version != 2 {
				t.Errorf("resending the patch to %s returned status %d and %+v, want version 2", name, status, answer)
			}
		}
		refused := map[string]struct {
			base uint64
			text string
			code api.Code
		}{
			"outdated-base": {1, added, api.CodeVersionConflict},
			"unknown-home":  {2, "upsert: {tenants: {added: {home: nowhere}}}", api.CodeInvalid},
			"unknown-field": {2, "upsert: {tenants: {added: {unknown: 1}}}", api.CodeInvalid},
		}
		for id, test := range refused {
			if _, answer := f.patch(f.primary(), id, test.base, test.text); answer.Accepted || answer.Error == nil || answer.Error.Code != test.code {
				t.Errorf("%s was not refused with the expected code: %+v", id, answer)
			}
		}
		f.checkOneTenantAdded()
	})
}

// patch submits a patch of the configuration and returns the HTTP status and the result.
func (f *fleet) patch(node *Node, id string, base uint64, text string) (int, api.OperationResult) {
	f.t.Helper()
	var answer api.OperationResult
	request := api.ConfigurationPatchOperation{OperationID: id, BaseVersion: base, Change: text}
	status := f.request(node, http.MethodPatch, api.PathConfiguration, request, &answer)
	return status, answer
}

// checkOneTenantAdded verifies that version 2 is the first document with one more tenant.
func (f *fleet) checkOneTenantAdded() {
	f.t.Helper()
	state := f.primary().engine.Observe().Catalog
	if tenant, known := state.Tenant("added"); !known || tenant.Weight != 7 || state.Version() != 2 {
		f.t.Errorf("version %d has the added tenant %+v, want version 2 and weight 7", state.Version(), tenant)
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
		f.t.Errorf("the patched document does not have one more tenant and the same routes: %s", current.Document)
	}
}

// fillLog commits count updates, rounded down to a multiple of the number of workers.
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
					f.t.Errorf("worker %d: proposing an update: %v", worker, err)
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
				t.Errorf("a writer that was not accepted got %+v, want a version conflict", answer)
			}
		}
		if version := f.primary().engine.Observe().Catalog.Version(); accepted != 1 || version != 2 {
			t.Errorf("%d of 3 concurrent writers were accepted, and the version is %d; want 1 writer and version 2", accepted, version)
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
			// A node that joins long after the election must not be removed at once:
			// LearnerTimeout counts from its addition, not from the election.
			time.Sleep(2 * membership.LearnerTimeout)
			f.mustSend(f.primary(), "order-"+string(rune('a'+round)), base)
			base++
			f.stop(name)
			if f.members(f.primary()).RepairDone {
				t.Fatalf("round %d: the repair is reported done while %s is stopped", round, name)
			}
			f.wipe(name)
			if round%2 == 1 { // at a different address in the same zone
				options := f.options[name]
				options.PeerAddress += "0"
				f.options[name] = options
			}
			f.start(name)
			if f.members(f.primary()).RepairDone {
				t.Fatalf("round %d: the repair is reported done before %s can have become a voter", round, name)
			}
			f.await("the repair to be done", func() bool { return f.members(f.primary()).RepairDone })
			f.checkComplete(cluster, base)
		}
	})
}

// checkComplete verifies that the three nodes are voters with their current disks, and
// waits until each has applied the version.
func (f *fleet) checkComplete(cluster string, version uint64) {
	f.t.Helper()
	current := f.primary().engine.Observe().Status.Membership
	if len(current.Members) != len(controlNames) {
		f.t.Fatalf("the group has the members %+v, want three", current.Members)
	}
	for name, node := range f.nodes {
		member, found := membership.Find(current, node.engine.Observe().Identity)
		if !found || member.Learner {
			f.t.Errorf("%s with disk %s is not a voter", name, node.engine.Observe().Identity)
		}
		f.await(name+" to apply the configuration", func() bool {
			o := node.engine.Observe()
			return o.Cluster == cluster && o.Catalog != nil && o.Catalog.Version() == version
		})
	}
}

// TestNodeWithoutGroupNeverBootstrapsBesideAGroup checks that wiped nodes form no second
// group while a node of the first one survives, even though that has no majority.
func TestNodeWithoutGroupNeverBootstrapsBesideAGroup(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		cluster := f.primary().engine.Observe().Cluster
		// The node with the lowest name, which would bootstrap a group, restarts with an
		// empty disk, beside one survivor without a majority and another wiped node.
		for _, name := range controlNames {
			f.stop(name)
		}
		f.wipe(controlNames[0])
		f.wipe(controlNames[2])
		f.start(controlNames...)
		time.Sleep(waitTimeout)
		for _, name := range []string{controlNames[0], controlNames[2]} {
			if got := f.nodes[name].engine.Observe().Cluster; got != "" {
				t.Errorf("%s belongs to group %s although the surviving group has no majority", name, got)
			}
		}
		if got := f.nodes[controlNames[1]].engine.Observe().Cluster; got != cluster {
			t.Errorf("the survivor belongs to group %q, want %q", got, cluster)
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
				t.Errorf("%s belongs to a group that was formed without %s", name, controlNames[2])
			}
		}
		f.start(controlNames[2])
		f.primary()
	})
}

// timeToInForce stops the primary and returns the time from the election of the next
// one until it knows the serial in force.
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
			t.Errorf("the next primary took %v, no less than an election timeout", took)
		}
		f.start(old.options.Name)
	})
}

// TestReplacedDiskReturnsAsNonMember checks that a node that was replaced while it was
// stopped changes nothing in a complete group and is not ready, and that it is admitted
// once its replacement fails.
func TestReplacedDiskReturnsAsNonMember(t *testing.T) {
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
			t.Errorf("the return of the replaced disk changed the term from %d to %d, or the members from %v to %v", before.Term, after.Term, before.Membership, after.Membership)
		}
		if f.nodes[replaced].engine.Observe().Ready() == nil {
			t.Error("a node that is no longer a member of the group reports that it is ready")
		}
		f.stop("control-4")
		f.await("the old disk to be admitted", func() bool {
			o := f.nodes[replaced].engine.Observe()
			return f.members(f.primary()).RepairDone && o.Catalog.Version() == 1
		})
	})
}

// replacement returns the options of a node that replaces another one in its zone, with
// a different name and address.
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
		f.partition(partitioned.options.PeerAddress, otherControlAddresses(f, partitioned)...)
		time.Sleep(2 * membership.ReachableTimeout)
		for name, node := range f.nodes {
			if node != partitioned {
				f.checkOneDown(name, f.members(node), primary, partitioned)
			}
		}
	})
}

// checkOneDown verifies that a node's list of members has exactly the partitioned node
// down, and that it reports an incomplete group.
func (f *fleet) checkOneDown(name string, answer api.MembersAnswer, primary, partitioned *Node) {
	f.t.Helper()
	if answer.RepairDone {
		f.t.Errorf("%s reports a complete group while a node is partitioned", name)
	}
	up := make(map[string]bool)
	for _, member := range answer.Members {
		up[member.Name] = member.Up
	}
	if len(up) != 4 || up[partitioned.options.Name] || !up[primary.options.Name] || !up["gateway-1"] {
		f.t.Errorf("%s lists these members as up: %v, want all but the partitioned node", name, up)
	}
}

// TestFrozenPrimaryDoesNotBlockAnOperation checks that the successor of a frozen primary
// executes an operation, and that the old primary reports the same answer once it resumes.
func TestFrozenPrimaryDoesNotBlockAnOperation(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.mustSend(f.primary(), "order-1", 0)
		old, through := f.primary(), f.follower()
		f.freeze(old, 25*time.Second)
		started := time.Now()
		f.mustSend(through, "order-2", 1)
		// An election takes up to two timeouts of 600 ms, after which older leases expire.
		if took := time.Since(started); took > lease.DefaultConfig().GracePeriod()+2*time.Second {
			t.Errorf("the operation took %v while the primary was frozen", took)
		}
		time.Sleep(waitTimeout)
		_, again := f.send(old, "order-2", 1, document(t))
		if !again.Accepted || again.Version != 2 {
			t.Errorf("resending the operation to the resumed node returned %+v, want version 2 accepted", again)
		}
	})
}

// otherControlAddresses returns the peer addresses of all control nodes except one.
func otherControlAddresses(f *fleet, node *Node) []string {
	var addresses []string
	for _, name := range controlNames {
		if name != node.options.Name {
			addresses = append(addresses, f.options[name].PeerAddress)
		}
	}
	return addresses
}
