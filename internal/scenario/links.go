package scenario

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/fleet/wait"
)

// performLink cuts, heals or delays the links between the target and step.To, or between the
// target and all other nodes and replicas if step.To is empty.
func (r *runner) performLink(ctx context.Context, step Step, on target) error {
	others, err := r.otherEnds(ctx, step, on)
	if err != nil {
		return err
	}
	labeled := on
	if step.To != "" {
		labeled.label += " to " + step.To
	}
	r.logFault(string(step.Do), labeled)
	r.setLinks(on, others, step)
	if step.For == 0 || step.Do == Heal {
		return nil
	}
	_ = wait.Sleep(ctx, time.Duration(step.For)) // heal even if ctx ends
	r.logFault(checker.FaultHeal, labeled)
	heal := step
	heal.Do, heal.Delay = Heal, 0
	r.setLinks(on, others, heal)
	return nil
}

// setLinks changes the links between the target and the other nodes and replicas, in both
// directions unless the step is one-way.
func (r *runner) setLinks(on target, others []string, step Step) {
	for _, node := range on.nodes {
		for _, other := range others {
			r.setLink(node.Name, other, step)
			if !step.OneWay {
				r.setLink(other, node.Name, step)
			}
		}
	}
}

// setLink changes one direction of a link. Heal also removes a delay.
func (r *runner) setLink(from, to string, step Step) {
	switch step.Do {
	case Cut:
		r.fleet.Links.Cut(from, to)
	case Heal:
		r.fleet.Links.Heal(from, to)
		r.fleet.Links.Delay(from, to, 0)
	case Delay:
		r.fleet.Links.Delay(from, to, time.Duration(step.Delay))
	}
}

// otherEnds returns the names of the nodes and replicas at the remote end of the links: those
// of step.To, or all that are not part of the target.
func (r *runner) otherEnds(ctx context.Context, step Step, on target) ([]string, error) {
	inside := map[string]bool{}
	for _, node := range on.nodes {
		inside[node.Name] = true
	}
	for _, replica := range on.replicas {
		inside[replica.ID] = true
	}
	if step.To != "" {
		remote, err := r.resolve(ctx, step.To)
		if err != nil {
			return nil, err
		}
		return outside(remote.nodes, remote.replicas, inside), nil
	}
	return outside(r.fleet.Nodes(), r.fleet.Replicas(), inside), nil
}

// outside returns the names of the nodes and replicas that are not in the set inside.
func outside(nodes []*fleet.Node, replicas []*fleet.Replica, inside map[string]bool) []string {
	var names []string
	for _, node := range nodes {
		if !inside[node.Name] {
			names = append(names, node.Name)
		}
	}
	for _, replica := range replicas {
		if !inside[replica.ID] {
			names = append(names, replica.ID)
		}
	}
	return names
}
