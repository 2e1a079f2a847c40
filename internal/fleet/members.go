package fleet

import (
	"fmt"

	"github.com/deckpulley/deckpulley/internal/freeport"
	"github.com/deckpulley/deckpulley/settings"
)

// addMembers creates the nodes and replicas of the deployment with their names and addresses,
// and allocates the address of the platform.
func (f *Fleet) addMembers() error {
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

// allocate returns count addresses with free ports on a newly allocated host.
func (f *Fleet) allocate(count int) ([]string, error) {
	host, err := f.block.allocate()
	if err != nil {
		return nil, err
	}
	return freeport.Addresses(host, count)
}

func controlName(region string) string { return "control-" + region }

// GatewayName returns the name of a gateway. Numbers start at 1 in each region.
func GatewayName(region string, number int) string {
	return fmt.Sprintf("gateway-%s-%d", region, number)
}

// ModelName returns the ID of a model replica. Numbers start at 1 in each region.
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

// The caller of controlsLocked or gatewaysLocked must hold the lock, except within New,
// where nothing else can use the fleet yet.
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

// Node returns the node with the given name.
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

// Replica returns the replica with the given ID.
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
