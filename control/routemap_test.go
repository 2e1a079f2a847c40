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

// routeMapOperation is an order for a map with one route.
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

// submit sends an order to a node and waits for its answer.
func submit(node *Node, request peer.OperationRequest) peer.OperationReply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return node.Submit(ctx, request)
}

func accepted(reply peer.OperationReply) bool {
	return reply.Error == nil && reply.Answer.Error == nil && reply.Answer.Accepted
}

func TestRouteMapIsAppliedOnceAndAnsweredAlike(t *testing.T) {
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
		// Sent again after a later one, and to the successor of the primary.
		f.stop(f.primary().options.Name)
		if reply := submit(f.primary(), first); !accepted(reply) || reply.Answer.Version != 3 {
			t.Errorf("the first again: %+v", reply)
		}
		current, configured, problem := f.primary().CurrentConfiguration(t.Context())
		if problem != nil || !configured || current.Version != 7 || current.Document != second.RouteMap.Text {
			t.Errorf("current: %+v, %v", current, problem)
		}
	})
}

// checkAcceptedAgain sends an operation again to every node.
func (f *fleet) checkAcceptedAgain(request peer.OperationRequest, version uint64) {
	f.t.Helper()
	for name, node := range f.nodes {
		if reply := submit(node, request); !accepted(reply) || reply.Answer.Version != version {
			f.t.Errorf("sent again to %s: %+v", name, reply)
		}
	}
}

// refusal is an operation that every node refuses.
type refusal struct {
	request peer.OperationRequest
	code    api.Code
	field   string
}

// checkRefusals sends operations to the primary and to a follower.
func (f *fleet) checkRefusals(refusals map[string]refusal) {
	f.t.Helper()
	for name, test := range refusals {
		for _, node := range []*Node{f.primary(), f.follower()} {
			reply := submit(node, test.request)
			if reply.Error == nil || reply.Error.Code != test.code || reply.Error.Field != test.field {
				f.t.Errorf("%s at %s: got %+v, %+v", name, node.options.Name, reply, reply.Error)
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
			"race lost":    {routeMapOperation(0, 4), api.CodeVersionConflict, "base_version"},
			"unknown base": {routeMapOperation(5, 9), api.CodeVersionConflict, "base_version"},
			"old version":  {routeMapOperation(3, 2), api.CodeInvalid, "version"},
			"same version": {routeMapOperation(3, 3), api.CodeInvalid, "version"},
			"invalid":      {invalidRoute, api.CodeInvalid, "routes[0].timeout_ms"},
		})
		if version := f.primary().engine.Observe().Catalog.Version(); version != 3 {
			t.Errorf("version %d", version)
		}
		// What was refused for its base is accepted once that base is the current one.
		if reply := submit(f.primary(), routeMapOperation(3, 5)); !accepted(reply) {
			t.Fatalf("got %+v", reply)
		}
		if reply := submit(f.primary(), routeMapOperation(5, 9)); !accepted(reply) {
			t.Errorf("refused on its own base: %+v", reply)
		}
	})
}

// TestOneOfTwoRouteMapsOnOneBaseWins sends pairs at once through different nodes.
func TestOneOfTwoRouteMapsOnOneBaseWins(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		base := uint64(0)
		for round := range uint64(6) {
			version := base + 2
			orders := [2]peer.OperationRequest{routeMapOperation(base, version), routeMapOperation(base, version)}
			orders[1].RouteMap.Text += ", another one" // the same number
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

// routeMapChange is an order that adds a route and removes others.
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

// readableMapOperation is an order for a map whose text can be changed.
func readableMapOperation(base, version uint64) peer.OperationRequest {
	order := routeMapOperation(base, version)
	order.RouteMap.Text = fmt.Sprintf(mapText, version)
	return order
}

// TestRouteMapChangeAppliesToItsBaseVersion holds what a change leaves: the map,
// its text, and the same answer for the same change from any node, also later.
func TestRouteMapChangeAppliesToItsBaseVersion(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		if reply := submit(f.primary(), readableMapOperation(0, 3)); !accepted(reply) {
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
			t.Errorf("got %s, %v", current.Document, problem)
		}
		routes := f.primary().engine.Observe().Catalog.PathRoutes()
		if _, removed := routes["r"]; removed || len(routes) != 2 || routes["added"].PathPrefix != "/added/" {
			t.Errorf("got %+v", routes)
		}
	})
}

func TestRefusedRouteMapChangeChangesNothing(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		if reply := submit(f.primary(), readableMapOperation(0, 3)); !accepted(reply) {
			t.Fatalf("got %+v", reply)
		}
		samePath := routeMapChange(3, 9, "added")
		samePath.RouteMap.Change.Map.Routes[0].PathPrefix = "/"
		noService := routeMapChange(3, 9, "added")
		noService.RouteMap.Change.Map.RemovedServices = []string{"s"}
		both := routeMapChange(3, 9, "added", "added")
		f.checkRefusals(map[string]refusal{
			"race lost":     {routeMapChange(0, 9, "added"), api.CodeVersionConflict, "base_version"},
			"unknown base":  {routeMapChange(4, 9, "added"), api.CodeVersionConflict, "base_version"},
			"old version":   {routeMapChange(3, 2, "added"), api.CodeInvalid, "version"},
			"same version":  {routeMapChange(3, 3, "added"), api.CodeInvalid, "version"},
			"same path":     {samePath, api.CodeInvalid, "routes[1].path_prefix"},
			"service gone":  {noService, api.CodeInvalid, "routes[0].targets[0].service"},
			"in both lists": {both, api.CodeInvalid, "change.remove.routes[0]"},
		})
		current, _, _ := f.primary().CurrentConfiguration(t.Context())
		if current.Document != fmt.Sprintf(mapText, 3) || current.Version != 3 {
			t.Errorf("got %+v", current)
		}
	})
}

// TestOneOfAMapAndAChangeOnOneBaseWins sends pairs at once through different nodes.
func TestOneOfAMapAndAChangeOnOneBaseWins(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		f.start(controlNames...)
		f.startGateway("gateway-1")
		if reply := submit(f.primary(), readableMapOperation(0, 1)); !accepted(reply) {
			t.Fatalf("got %+v", reply)
		}
		base := uint64(1)
		for round := range uint64(6) {
			version := base + 2
			orders := [2]peer.OperationRequest{readableMapOperation(base, version), routeMapChange(base, version, "added")}
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

// listInventory is a list of replicas in memory.
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

// readCount is the number of readings so far.
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

// startWithInventory starts everything with a map of routes in force.
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
		f.await("a warm one that drains", func() bool { return state() == catalog.ConditionUp && contents().IsDraining("a") })
		inventory.set(errors.New("the list does not answer"))
		time.Sleep(5 * time.Second)
		if _, kept := contents().Replicas()["a"]; !kept {
			t.Error("a list that does not answer emptied the registry")
		}
		f.stop(f.primary().options.Name)
		inventory.set(nil)
		f.await("the successor to read on", func() bool { return len(contents().Replicas()) == 0 })
		reads := inventory.readCount()
		time.Sleep(10 * defaultInventoryInterval)
		if extra := inventory.readCount() - reads; extra > 11 {
			t.Errorf("%d reads in 10 intervals", extra)
		}
	})
}

// TestGroupGrowsToItsVoters: nodes beyond those that form the group become
// voters until there are as many as asked for.
func TestGroupGrowsToItsVoters(t *testing.T) {
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
			t.Errorf("%d voters, want %d", got, voters)
		}
		f.checkNodeWithoutGroup()
		// Two of five may go.
		stopped := 0
		for _, name := range controlNames {
			if stopped < 2 {
				f.stop(name)
				stopped++
			}
		}
		if reply := submit(f.primary(), routeMapOperation(1, 2)); !accepted(reply) {
			t.Errorf("with two of five voters lost: %+v", reply)
		}
	})
}

// checkNodeWithoutGroup holds that the node which the group did not take in answers clients
// and operators all the same.
func (f *fleet) checkNodeWithoutGroup() {
	f.t.Helper()
	f.startGateway("gateway-1")
	var outside *Node
	for _, node := range f.nodes {
		if node.engine.Observe().WithoutGroup() {
			outside = node
		}
	}
	if outside == nil {
		f.t.Fatal("every node belongs to the group")
	}
	f.await("an answer to clients", func() bool { return len(outside.Where("north", 8)) == 1 })
	if reply := submit(outside, routeMapOperation(0, 1)); !accepted(reply) {
		f.t.Errorf("an order to a node without a group: %+v", reply)
	}
	if _, _, problem := outside.CurrentConfiguration(f.t.Context()); problem == nil {
		f.t.Error("a node without a group is sure of the newest configuration")
	}
}

// voters lists the voters as the primary knows them.
func (f *fleet) voters() []consensus.Member {
	var voters []consensus.Member
	for _, member := range f.primary().engine.Observe().Status.Membership.Members {
		if !member.Learner {
			voters = append(voters, member)
		}
	}
	return voters
}

// slowInventory takes long for every other reading, and notes when each began.
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

// TestInventoryReadsKeepTheInterval: the list bounds the calls a second,
// so a slow reading is not made up for.
func TestInventoryReadsKeepTheInterval(t *testing.T) {
	inFleet(t, func(f *fleet) {
		t := f.t
		inventory := &slowInventory{}
		f.startWithInventory(inventory)
		time.Sleep(20 * defaultInventoryInterval)
		inventory.mutex.Lock()
		defer inventory.mutex.Unlock()
		if len(inventory.began) < 10 {
			t.Fatalf("%d readings in 20 intervals", len(inventory.began))
		}
		for i := 1; i < len(inventory.began); i++ {
			if gap := inventory.began[i].Sub(inventory.began[i-1]); gap < defaultInventoryInterval {
				t.Errorf("reading %d began %v after the one before it", i, gap)
			}
		}
	})
}
