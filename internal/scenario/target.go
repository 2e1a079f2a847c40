package scenario

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/fleet/wait"
	"github.com/deckpulley/deckpulley/settings"
)

// target is the set of nodes and replicas on which a step acts.
type target struct {
	// label and class are the name and the class of the target in the event log.
	label string
	class string
	// region is set for zones and regions only.
	region   string
	nodes    []*fleet.Node
	replicas []*fleet.Replica
}

// Names of targets in scenario files.
const (
	targetPrimary  = "primary"
	targetFollower = "follower"
	targetLast     = "last" // target of the most recent step that had one
	targetLost     = "lost" // target of the most recent kill or wipe
	targetAll      = "all"
	targetControls = "controls"
	zonePrefix     = "zone:"
	regionPrefix   = "region:"
	modelsPrefix   = "models:" // followed by a region, modelsAll or modelsHalf
	modelsAll      = "all"
	modelsHalf     = "half"
)

// resolve returns the target that the name currently refers to.
func (r *runner) resolve(ctx context.Context, name string) (target, error) {
	switch name {
	case targetLast:
		return earlier(r.lastTarget())
	case targetLost:
		return earlier(r.lostTarget())
	case targetPrimary:
		return r.primary(ctx)
	case targetFollower:
		return r.follower(ctx)
	case targetAll:
		return target{label: name, class: checker.TargetFleet, nodes: r.fleet.Nodes()}, nil
	case targetControls:
		return target{label: name, class: checker.TargetControls, nodes: r.fleet.Controls()}, nil
	}
	if zone, ok := strings.CutPrefix(name, zonePrefix); ok {
		return r.within(name, checker.TargetZone, func(nodeZone, _ string) bool { return nodeZone == zone })
	}
	if region, ok := strings.CutPrefix(name, regionPrefix); ok {
		return r.within(name, checker.TargetRegion, func(_, nodeRegion string) bool { return nodeRegion == region })
	}
	if models, ok := strings.CutPrefix(name, modelsPrefix); ok {
		return r.models(name, models)
	}
	return r.named(name)
}

// earlier returns the target of an earlier step. It fails if no earlier step had a target.
func earlier(on target) (target, error) {
	if on.label == "" {
		return target{}, errors.New("target: no earlier step had a target")
	}
	return on, nil
}

// named returns the node or replica with the given name.
func (r *runner) named(name string) (target, error) {
	if node, err := r.fleet.Node(name); err == nil {
		class := checker.TargetGateway
		if node.Role == settings.RoleControl {
			class = checker.TargetControl
		}
		return target{label: name, class: class, nodes: []*fleet.Node{node}}, nil
	}
	replica, err := r.fleet.Replica(name)
	if err != nil {
		return target{}, fmt.Errorf("target: no node or replica is named %q", name)
	}
	return target{label: name, class: checker.TargetReplica, replicas: []*fleet.Replica{replica}}, nil
}

// within returns the nodes and replicas for which includes returns true.
func (r *runner) within(label, class string, includes func(zone, region string) bool) (target, error) {
	found := target{label: label, class: class}
	for _, node := range r.fleet.Nodes() {
		if includes(node.Zone, node.Region) {
			found.nodes = append(found.nodes, node)
			found.region = node.Region
		}
	}
	for _, replica := range r.fleet.Replicas() {
		if includes(replica.Zone, replica.Region) {
			found.replicas = append(found.replicas, replica)
		}
	}
	if len(found.nodes) == 0 {
		return target{}, fmt.Errorf("target: no nodes in %q", label)
	}
	return found, nil
}

// models returns the model replicas of a region, of all regions, or every other one of all
// regions.
func (r *runner) models(label, which string) (target, error) {
	found := target{label: label, class: checker.TargetReplica}
	for _, replica := range r.fleet.Replicas() {
		if replica.Kind != fleet.KindModel {
			continue
		}
		if which == modelsAll || which == replica.Region || which == modelsHalf {
			found.replicas = append(found.replicas, replica)
		}
	}
	if which == modelsHalf {
		found.replicas = everyOther(found.replicas)
	}
	if len(found.replicas) == 0 {
		return target{}, fmt.Errorf("target: no model replicas in %q", which)
	}
	return found, nil
}

func everyOther(list []*fleet.Replica) []*fleet.Replica {
	var half []*fleet.Replica
	for i := 0; i < len(list); i += 2 {
		half = append(half, list[i])
	}
	return half
}

// primary waits until a primary is known and returns it.
func (r *runner) primary(ctx context.Context) (target, error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	var primary *fleet.Node
	err := wait.Poll(ctx, conditionInterval, func() error {
		var ok bool
		if primary, ok = r.knownPrimary(ctx); !ok {
			return errConditionNotMet
		}
		return nil
	})
	if err != nil {
		return target{}, fmt.Errorf("target: no primary is known: %w", ctx.Err())
	}
	return target{label: primary.Name, class: checker.TargetControl, nodes: []*fleet.Node{primary}}, nil
}

// knownPrimary returns the primary with the highest term that any control node reports. It does
// not query frozen nodes.
func (r *runner) knownPrimary(ctx context.Context) (*fleet.Node, bool) {
	var highestTerm uint64
	var primary *fleet.Node
	for _, node := range r.fleet.Controls() {
		if !node.Running() || r.isFrozen(node.Name) {
			continue
		}
		status, err := r.operators[0].ReadStatus(ctx, node.OperatorAddress)
		if err != nil || status.Primary == "" || status.Term < highestTerm {
			continue
		}
		if named, err := r.fleet.Node(status.Primary); err == nil {
			highestTerm, primary = status.Term, named
		}
	}
	return primary, primary != nil
}

// follower returns a running control node that is not the primary.
func (r *runner) follower(ctx context.Context) (target, error) {
	primary, err := r.primary(ctx)
	if err != nil {
		return target{}, err
	}
	for _, node := range r.fleet.Controls() {
		if node.Name != primary.label && node.Running() {
			return target{label: node.Name, class: checker.TargetControl, nodes: []*fleet.Node{node}}, nil
		}
	}
	return target{}, errors.New("target: no follower is running")
}
