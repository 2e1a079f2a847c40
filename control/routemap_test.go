package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/inventory"
	"github.com/deckpulley/deckpulley/patch"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/routemap"
	"github.com/deckpulley/deckpulley/storage"
)

// routeMapOperation returns an operation that replaces the route map by one with a
// single route.
func routeMapOperation(base, version uint64) peer.OperationRequest {
	return peer.OperationRequest{RouteMap: &peer.RouteMapOperation{
		BaseVersion: base,
		Text:        fmt.Sprintf("a map of version %d", version),
		Zones:       map[string]string{"zone-1": "region-1"},
		Map: routemap.Map{
			Version:  version,
			Services: []routemap.Service{{Name: "s"}},
			Routes: []routemap.Route{{
				Name: "r", Host: "h", PathPrefix: "/", Kind: routemap.AtMostOnce, Timeout: time.Second,
				Targets: []routemap.Target{{Service: "s", Weight: 1}},
			}},
		},
	}}
}

// submit submits an operation to a node and waits for the reply.
func submit(node *Node, request peer.OperationRequest) peer.OperationReply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return node.Submit(ctx, request)
}

func accepted(reply peer.OperationReply) bool {
	return reply.Error == nil && reply.Answer.Error == nil && reply.Answer.Accepted
}

// TestResentRouteMapGetsTheFirstAnswer checks that a route map that is sent again is not
// applied again and gets its first answer, also after a later map and after a failover.
func TestResentRouteMapGetsTheFirstAnswer(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		first, second := routeMapOperation(0, 3), routeMapOperation(3, 7)
		if reply := submit(f.primary(), first); !accepted(reply) {
			t.Fatalf("got %+v", reply)
		}
		f.checkAcceptedAgain(first, 3)
		if reply := submit(f.follower(), second); !accepted(reply) {
			t.Fatalf("got %+v", reply)
		}
		// The first map is resent after a later one, to the successor of the primary.
		f.stop(f.primary().options.Name)
		if reply := submit(f.primary(), first); !accepted(reply) || reply.Answer.Version != 3 {
			t.Errorf("resending the first map after a failover returned %+v, want version 3 accepted", reply)
		}
		current, configured, problem := f.primary().CurrentConfiguration(t.Context())
		if problem != nil || !configured || current.Version != 7 || current.Document != second.RouteMap.Text {
			t.Errorf("the current configuration is %+v, error %v; want version 7", current, problem)
		}
	})
}

// checkAcceptedAgain resends an accepted operation to every node and verifies that each
// answers with the same version.
func (f *fleet) checkAcceptedAgain(request peer.OperationRequest, version uint64) {
	f.t.Helper()
	for name, node := range f.nodes {
		if reply := submit(node, request); !accepted(reply) || reply.Answer.Version != version {
			f.t.Errorf("resending the operation to %s returned %+v, want it accepted with its first version", name, reply)
		}
	}
}

// refusal is an operation that every node must refuse, with the expected error code and
// field.
type refusal struct {
	request peer.OperationRequest
	code    api.Code
	field   string
}

// checkRefusals submits operations to the primary and to a follower, and verifies that
// both refuse each one with the expected code and field.
func (f *fleet) checkRefusals(refusals map[string]refusal) {
	f.t.Helper()
	for name, test := range refusals {
		for _, node := range []*Node{f.primary(), f.follower()} {
			reply := submit(node, test.request)
			if reply.Error == nil || reply.Error.Code != test.code || reply.Error.Field != test.field {
				f.t.Errorf("%s at %s: got %+v with error %+v, which does not have the expected code and field", name, node.options.Name, reply, reply.Error)
			}
		}
	}
}

func TestRefusedRouteMapChangesNothing(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		if reply := submit(f.primary(), routeMapOperation(0, 3)); !accepted(reply) {
			t.Fatalf("got %+v", reply)
		}
		invalidRoute := routeMapOperation(3, 9)
		invalidRoute.RouteMap.Map.Routes[0].Timeout = 0
		f.checkRefusals(map[string]refusal{
			"outdated base":     {routeMapOperation(0, 4), api.CodeVersionConflict, "base_version"},
			"unknown base":      {routeMapOperation(5, 9), api.CodeVersionConflict, "base_version"},
			"lower version":     {routeMapOperation(3, 2), api.CodeInvalid, "version"},
			"unchanged version": {routeMapOperation(3, 3), api.CodeInvalid, "version"},
			"zero timeout":      {invalidRoute, api.CodeInvalid, "routes[0].timeout_ms"},
		})
		if version := f.primary().engine.Observe().Catalog.Version(); version != 3 {
			t.Errorf("the version is %d after refused operations, want 3", version)
		}
		// An operation refused for its base version is accepted once that version is current.
		if reply := submit(f.primary(), routeMapOperation(3, 5)); !accepted(reply) {
			t.Fatalf("got %+v", reply)
		}
		if reply := submit(f.primary(), routeMapOperation(5, 9)); !accepted(reply) {
			t.Errorf("an operation whose base version became current returned %+v, want it accepted", reply)
		}
	})
}

// TestOneOfTwoRouteMapsOnOneBaseWins checks that exactly one of two route maps with the
// same base is accepted when they are submitted concurrently to different nodes.
func TestOneOfTwoRouteMapsOnOneBaseWins(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		base := uint64(0)
		for round := range uint64(6) {
			version := base + 2
			orders := [2]peer.OperationRequest{routeMapOperation(base, version), routeMapOperation(base, version)}
			orders[1].RouteMap.Text += ", another one" // with the same version
			var replies [2]peer.OperationReply
			var both sync.WaitGroup
			nodes := [2]*Node{f.primary(), f.follower()}
			for i := range orders {
				both.Go(func() { replies[i] = submit(nodes[i], orders[i]) })
			}
			both.Wait()
			if accepted(replies[0]) == accepted(replies[1]) {
				t.Fatalf("round %d: %+v and %+v", round, replies[0], replies[1])
			}
			base = version
		}
	})
}

const mapText = `{"version":%d,"routes":[{"name":"r"}],"services":[{"name":"s"}],"kept":true}`

// routeMapChange returns an operation that adds one route and removes others.
func routeMapChange(base, version uint64, added string, removed ...string) peer.OperationRequest {
	order := routeMapOperation(base, version)
	route := order.RouteMap.Map.Routes[0]
	route.Name, route.PathPrefix = added, "/"+added+"/"
	order.RouteMap.Text = fmt.Sprintf("%d: add %s, remove %v", version, added, removed)
	order.RouteMap.Map = routemap.Map{}
	order.RouteMap.Change = &peer.RouteMapChange{
		Map: routemap.Change{Version: version, Routes: []routemap.Route{route}, RemovedRoutes: removed},
		Text: patch.Change{Sections: []patch.Section{{
			Name:   "routes",
			Upsert: []patch.Item{{Name: added, Value: fmt.Sprintf(`{"name":%q}`, added)}},
			Remove: removed,
		}}},
	}
	return order
}

// jsonMapOperation returns an operation whose text is a JSON document, which a
// change can patch.
func jsonMapOperation(base, version uint64) peer.OperationRequest {
	order := routeMapOperation(base, version)
	order.RouteMap.Text = fmt.Sprintf(mapText, version)
	return order
}

// TestRouteMapChangeAppliesToItsBaseVersion checks that a change patches both the route
// map and its text, and that every node repeats its answer, also after a later change.
func TestRouteMapChangeAppliesToItsBaseVersion(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		if reply := submit(f.primary(), jsonMapOperation(0, 3)); !accepted(reply) {
			t.Fatalf("got %+v", reply)
		}
		first := routeMapChange(3, 5, "added", "unknown")
		if reply := submit(f.follower(), first); !accepted(reply) || reply.Answer.Version != 5 {
			t.Fatalf("got %+v", reply)
		}
		second := routeMapChange(5, 8, "again", "r")
		if reply := submit(f.primary(), second); !accepted(reply) {
			t.Fatalf("got %+v", reply)
		}
		f.checkAcceptedAgain(first, 5)
		current, _, problem := f.primary().CurrentConfiguration(t.Context())
		want := `{"version":8,"routes":[{"name":"added"},{"name":"again"}],"services":[{"name":"s"}],"kept":true}`
		if problem != nil || current.Document != want {
			t.Errorf("the current document is %s, error %v; want the document with both changes applied", current.Document, problem)
		}
		routes := f.primary().engine.Observe().Catalog.PathRoutes()
		if _, removed := routes["r"]; removed || len(routes) != 2 || routes["added"].PathPrefix != "/added/" {
			t.Errorf("got the routes %+v, want added and again only", routes)
		}
	})
}

func TestRefusedRouteMapChangeChangesNothing(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		if reply := submit(f.primary(), jsonMapOperation(0, 3)); !accepted(reply) {
			t.Fatalf("got %+v", reply)
		}
		samePath := routeMapChange(3, 9, "added")
		samePath.RouteMap.Change.Map.Routes[0].PathPrefix = "/"
		noService := routeMapChange(3, 9, "added")
		noService.RouteMap.Change.Map.RemovedServices = []string{"s"}
		both := routeMapChange(3, 9, "added", "added")
		f.checkRefusals(map[string]refusal{
			"outdated base":                {routeMapChange(0, 9, "added"), api.CodeVersionConflict, "base_version"},
			"unknown base":                 {routeMapChange(4, 9, "added"), api.CodeVersionConflict, "base_version"},
			"lower version":                {routeMapChange(3, 2, "added"), api.CodeInvalid, "version"},
			"unchanged version":            {routeMapChange(3, 3, "added"), api.CodeInvalid, "version"},
			"duplicate path":               {samePath, api.CodeInvalid, "routes[1].path_prefix"},
			"removed service in use":       {noService, api.CodeInvalid, "routes[0].targets[0].service"},
			"route both added and removed": {both, api.CodeInvalid, "change.remove.routes[0]"},
		})
		current, _, _ := f.primary().CurrentConfiguration(t.Context())
		if current.Document != fmt.Sprintf(mapText, 3) || current.Version != 3 {
			t.Errorf("the current configuration after refused changes is %+v, want the unchanged version 3", current)
		}
	})
}

// TestOneOfAMapAndAChangeOnOneBaseWins checks that exactly one of a complete route map
// and a change with the same base is accepted when they are submitted concurrently to
// different nodes.
func TestOneOfAMapAndAChangeOnOneBaseWins(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		if reply := submit(f.primary(), jsonMapOperation(0, 1)); !accepted(reply) {
			t.Fatalf("got %+v", reply)
		}
		base := uint64(1)
		for round := range uint64(6) {
			version := base + 2
			orders := [2]peer.OperationRequest{jsonMapOperation(base, version), routeMapChange(base, version, "added")}
			var replies [2]peer.OperationReply
			var both sync.WaitGroup
			nodes := [2]*Node{f.primary(), f.follower()}
			for i := range orders {
				both.Go(func() { replies[i] = submit(nodes[(i+int(round))%2], orders[i]) })
			}
			both.Wait()
			if accepted(replies[0]) == accepted(replies[1]) {
				t.Fatalf("round %d: %+v and %+v", round, replies[0], replies[1])
			}
			base = version
		}
	})
}

// listInventory is an inventory source that returns a list of replicas from memory.
type listInventory struct {
	mutex sync.Mutex
	list  api.ReplicaList
	err   error
	reads int
}

func (l *listInventory) Replicas(context.Context) (*api.ReplicaList, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reads++
	list := l.list
	return &list, l.err
}

// readCount returns the number of reads so far.
func (l *listInventory) readCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.reads
}

func (l *listInventory) set(err error, entries ...api.ReplicaEntry) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.list.Replicas, l.err = entries, err
}

// startWithInventory starts the control nodes with an inventory and one gateway, and
// submits a route map.
func (f *fleet) startWithInventory(inventory inventory.Source) {
	f.t.Helper()
	for _, name := range controlNames {
		options := f.options[name]
		options.Inventory = inventory
		f.options[name] = options
	}
	f.start(controlNames...)
	f.startGateway("gateway-1")
	if reply := submit(f.primary(), routeMapOperation(0, 1)); !accepted(reply) {
		f.t.Fatalf("got %+v", reply)
	}
}

func TestInventoryDeterminesTheReplicas(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		inventory := &listInventory{}
		warm, cold := int64(0), int64(2000)
		entry := api.ReplicaEntry{ID: "a", Service: "s", Zone: "zone-1", Address: "a:1", Slots: 4, ColdMS: &cold}
		inventory.set(nil, entry)
		f.startWithInventory(inventory)
		contents := func() *catalog.State { return f.primary().engine.Observe().Catalog }
		state := func() catalog.ConditionState {
			condition, _ := contents().Condition("a")
			return condition.State
		}
		f.await("the replica", func() bool { return contents().Replicas()["a"].Slots == 4 && state() == catalog.ConditionWarmingUp })
		entry.ColdMS, entry.Draining = &warm, true
		inventory.set(nil, entry)
		f.await("the replica to be warm and draining", func() bool { return state() == catalog.ConditionUp && contents().IsDraining("a") })
		inventory.set(errors.New("inventory unavailable"))
		time.Sleep(5 * time.Second)
		if _, kept := contents().Replicas()["a"]; !kept {
			t.Error("a failed read of the inventory removed the replica from the registry")
		}
		f.stop(f.primary().options.Name)
		inventory.set(nil)
		f.await("the new primary to apply the empty list", func() bool { return len(contents().Replicas()) == 0 })
		reads := inventory.readCount()
		time.Sleep(10 * defaultInventoryInterval)
		if extra := inventory.readCount() - reads; extra > 11 {
			t.Errorf("the inventory was read %d times in 10 intervals, want at most 11", extra)
		}
	})
}

// TestGroupGrowsToConfiguredVoters checks that nodes that did not bootstrap the group
// become voters until the group has Options.Voters voters, and that a node beyond that
// number still serves clients and operators.
func TestGroupGrowsToConfiguredVoters(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		const voters = 5
		for _, name := range controlNames {
			options := f.options[name]
			options.Voters = voters
			f.options[name] = options
		}
		f.start(controlNames...)
		for _, name := range []string{"control-4", "control-5", "control-6"} {
			f.options[name] = f.replacement(controlNames[0], name)
			f.disks[name] = storage.NewMemory(consensus.ID("disk-" + name))
			f.start(name)
		}
		f.await("five voters", func() bool { return f.members(f.primary()).RepairDone && len(f.voters()) == voters })
		time.Sleep(5 * time.Second)
		if got := len(f.voters()); got != voters {
			t.Errorf("the group has %d voters, want %d", got, voters)
		}
		f.checkNodeWithoutGroup()
		// A majority remains when two of five voters stop.
		stopped := 0
		for _, name := range controlNames {
			if stopped < 2 {
				f.stop(name)
				stopped++
			}
		}
		if reply := submit(f.primary(), routeMapOperation(1, 2)); !accepted(reply) {
			t.Errorf("an operation with two of five voters stopped returned %+v, want it accepted", reply)
		}
	})
}

// checkNodeWithoutGroup verifies that the node that was not admitted to the group still
// serves clients and operators.
func (f *fleet) checkNodeWithoutGroup() {
	f.t.Helper()
	f.startGateway("gateway-1")
	var outside *Node
	for _, node := range f.nodes {
		if node.engine.Observe().KnowsNoMembership() {
			outside = node
		}
	}
	if outside == nil {
		f.t.Fatal("every node was admitted to the group, want one left out")
	}
	f.await("the node without a group to return a gateway to clients", func() bool { return len(outside.Where("north", 8)) == 1 })
	if reply := submit(outside, routeMapOperation(0, 1)); !accepted(reply) {
		f.t.Errorf("an operation at a node without a group returned %+v, want it accepted", reply)
	}
	if _, _, problem := outside.CurrentConfiguration(f.t.Context()); problem == nil {
		f.t.Error("a linearizable read at a node without a group succeeded, want an error")
	}
}

// voters returns the voters according to the primary.
func (f *fleet) voters() []consensus.Member {
	var voters []consensus.Member
	for _, member := range f.primary().engine.Observe().Status.Membership.Members {
		if !member.Learner {
			voters = append(voters, member)
		}
	}
	return voters
}

// slowInventory is slow on every other read, and records when each read began.
type slowInventory struct {
	listInventory
	began []time.Time
}

func (l *slowInventory) Replicas(ctx context.Context) (*api.ReplicaList, error) {
	l.mutex.Lock()
	l.began = append(l.began, time.Now())
	slow := len(l.began)%2 == 1
	l.mutex.Unlock()
	if slow {
		time.Sleep(defaultInventoryInterval * 7 / 5)
	}
	return l.listInventory.Replicas(ctx)
}

// TestInventoryReadsKeepTheInterval checks that a slow read is not followed by an early
// one: an inventory service may limit the rate of calls.
func TestInventoryReadsKeepTheInterval(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		inventory := &slowInventory{}
		f.startWithInventory(inventory)
		time.Sleep(20 * defaultInventoryInterval)
		inventory.mutex.Lock()
		defer inventory.mutex.Unlock()
		if len(inventory.began) < 10 {
			t.Fatalf("the inventory was read %d times in 20 intervals, want at least 10", len(inventory.began))
		}
		for i := 1; i < len(inventory.began); i++ {
			if gap := inventory.began[i].Sub(inventory.began[i-1]); gap < defaultInventoryInterval {
				t.Errorf("read %d began %v after the previous one, want at least one interval", i, gap)
			}
		}
	})
}
