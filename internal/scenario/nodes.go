package scenario

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/fleet/wait"
)

// Details of fault events that the checker does not evaluate.
const (
	detailStop    = "stop"
	detailReplace = "replace"
	detailSwing   = "swing"
	detailMove    = "move"
)

func (r *runner) performNode(ctx context.Context, step Step, on target) error {
	switch step.Do {
	case Kill:
		return r.kill(on)
	case Start:
		return r.startTarget(step, on)
	case Stop:
		r.logFault(detailStop, on)
		return forEachNode(on, r.fleet.StopNode)
	case Restart:
		return r.restart(ctx, on)
	case Freeze:
		return r.freeze(ctx, step, on)
	case Thaw:
		return r.thaw(on)
	case Wipe:
		r.setLostTarget(on)
		r.logFault(checker.FaultWipe, on)
		return forEachNode(on, r.fleet.WipeNode)
	case Replace:
		return r.replace(on)
	}
	return fmt.Errorf("unknown action %q", step.Do)
}

// forEachNode calls work concurrently for all nodes of a target, because a fault of a zone or
// region affects all of its machines at the same time. It waits for all calls.
func forEachNode(on target, work func(*fleet.Node) error) error {
	ended := make(chan error, len(on.nodes))
	for _, node := range on.nodes {
		go func() { ended <- work(node) }()
	}
	var failures []error
	for range on.nodes {
		failures = append(failures, <-ended)
	}
	return errors.Join(failures...)
}

func (r *runner) kill(on target) error {
	r.setLostTarget(on)
	r.logFault(checker.FaultKill, on)
	err := forEachNode(on, r.fleet.KillNode)
	for _, replica := range on.replicas {
		err = errors.Join(err, r.fleet.KillReplica(replica))
	}
	return err
}

func (r *runner) startTarget(step Step, on target) error {
	var failures []error
	for _, replica := range on.replicas {
		failures = append(failures, r.fleet.StartReplica(replica, step.Cold))
	}
	for _, node := range on.nodes {
		failures = append(failures, r.fleet.StartNode(node))
	}
	r.logFault(checker.FaultStart, on)
	return errors.Join(failures...)
}

// restart restarts the nodes one after the other. It waits until a node is ready before it
// stops the next one.
func (r *runner) restart(ctx context.Context, on target) error {
	for _, node := range on.nodes {
		r.fleet.LogFault(detailStop, on.class, node.Name, "")
		if err := r.restartNode(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) restartNode(ctx context.Context, node *fleet.Node) error {
	if err := r.fleet.StopNode(node); err != nil {
		return err
	}
	if err := r.fleet.StartNode(node); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return r.fleet.WaitNodeReady(ctx, node)
}

// freeze freezes nodes. If the step has a duration, it thaws them afterwards.
func (r *runner) freeze(ctx context.Context, step Step, on target) error {
	r.setFrozen(on, true)
	r.logFault(checker.FaultFreeze, on)
	if err := forEachNode(on, r.fleet.FreezeNode); err != nil {
		return err
	}
	if step.For == 0 {
		return nil
	}
	_ = wait.Sleep(ctx, time.Duration(step.For)) // thaw even if ctx ends
	return r.thaw(on)
}

func (r *runner) thaw(on target) error {
	r.logFault(checker.FaultThaw, on)
	r.setFrozen(on, false)
	return forEachNode(on, r.fleet.ThawNode)
}

// replace replaces control nodes and makes their successors the last target.
func (r *runner) replace(on target) error {
	r.logFault(checker.FaultKill, on)
	successors := target{class: on.class}
	for _, node := range on.nodes {
		successor, err := r.fleet.ReplaceControl(node)
		if err != nil {
			return err
		}
		r.fleet.LogFault(detailReplace, on.class, successor.Name, "")
		successors.nodes = append(successors.nodes, successor)
		successors.label = successor.Name
	}
	r.setLastTarget(successors)
	return nil
}
