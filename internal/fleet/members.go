package fleet

import (
	"fmt"

	"github.com/deckpulley/deckpulley/internal/freeport"
	"github.com/deckpulley/deckpulley/settings"
)

// addAll adds the nodes and replicas of the deployment, with names and addresses.
func (f *Fleet) addAll() error {
	f.initialControl = map[string]string{}
	for _, plan := range f.options.Deployment.Regions {
		node, err := f.newNode(controlName(plan.Name), settings.RoleControl, plan)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, node)
		f.initialControl[node.Name] = node.PeerAddress
	}
	for _, plan := range f.options.Deployment.Regions {
		if err := f.addRegion(plan); err != nil {
			return err
		}
	}
	addresses, err := f.allocate(1)
	if err != nil {
		return err
	}
	f.platformAddress = addresses[0]
	return nil
}

// allocate returns addresses with free ports on a host of their own.
func (f *Fleet) allocate(count int) ([]string, error) {
	host, err := f.block.allocate()
	if err != nil {
		return nil, err
	}
	return freeport.Addresses(host, count)
}

func controlName(region string) string { return "control-" + region }

// GatewayName returns the name of a gateway. Numbers begin at 1 in each region.
func GatewayName(region string, number int) string {
	return fmt.Sprintf("gateway-%s-%d", region, number)
}

// ModelName returns the id of a model replica. Numbers begin at 1 in each region.
func ModelName(region string, number int) string {
	return fmt.Sprintf("model-%s-%d", region, number)
}

func webName(region string, number int) string {
	return fmt.Sprintf("web-%s-%d", region, number)
}

func (f *Fleet) addRegion(plan RegionPlan) error {
	for number := 1; number <= plan.Gateways; number++ {
		node, err := f.newNode(GatewayName(plan.Name, number), settings.RoleGateway, plan)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, node)
	}
	for number := 1; number <= plan.Models; number++ {
		if err := f.addReplica(ModelName(plan.Name, number), KindModel, plan); err != nil {
			return err
		}
	}
	for number := 1; number <= plan.Webs; number++ {
		if err := f.addReplica(webName(plan.Name, number), KindWeb, plan); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addReplica(id, kind string, plan RegionPlan) error {
	replica, err := f.newReplica(id, kind, plan)
	if err != nil {
		return err
	}
	replica.Cold = f.options.Cold && kind == KindModel
	f.replicas = append(f.replicas, replica)
	return nil
}

// controlsLocked and gatewaysLocked are called with the lock held, or from New, before
// anything else can use the fleet.
func (f *Fleet) controlsLocked() []*Node { return f.nodesLocked(settings.RoleControl) }
func (f *Fleet) gatewaysLocked() []*Node { return f.nodesLocked(settings.RoleGateway) }

func (f *Fleet) nodesLocked(role settings.Role) []*Node {
	var list []*Node
	for _, node := range f.nodes {
		if node.Role == role {
			list = append(list, node)
		}
	}
	return list
}

// Controls returns the control nodes.
func (f *Fleet) Controls() []*Node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.controlsLocked()
}

// Gateways returns the gateways.
func (f *Fleet) Gateways() []*Node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.gatewaysLocked()
}

// Nodes returns the control nodes, then the gateways.
func (f *Fleet) Nodes() []*Node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append(f.controlsLocked(), f.gatewaysLocked()...)
}

// Replicas returns the replicas.
func (f *Fleet) Replicas() []*Replica {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]*Replica(nil), f.replicas...)
}

// Node returns the node with a name.
func (f *Fleet) Node(name string) (*Node, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, node := range f.nodes {
		if node.Name == name {
			return node, nil
		}
	}
	return nil, fmt.Errorf("no node %q", name)
}

// Replica returns the replica with an id.
func (f *Fleet) Replica(id string) (*Replica, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, replica := range f.replicas {
		if replica.ID == id {
			return replica, nil
		}
	}
	return nil, fmt.Errorf("no replica %q", id)
}
