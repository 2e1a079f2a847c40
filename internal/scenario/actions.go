package scenario

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// perform does one step.
func (r *runner) perform(ctx context.Context, step Step) error {
	switch step.Do {
	case Wait:
		return nil
	case Crowd, Calm, Swing, Move:
		return r.performLoad(ctx, step)
	case Configure, ConfigureBad, Outrace, Race, LoseAnswer, Resend, Evacuate, Withdraw, Fill, Read:
		return r.performOrder(ctx, step)
	}
	on, err := r.resolve(ctx, step.Target)
	if err != nil {
		return err
	}
	r.setLast(on)
	switch step.Do {
	case ReplicaFault, Drain, Undrain, ListDrain, ListUndrain:
		return r.performReplica(ctx, step, on)
	case Cut, Heal, Delay:
		return r.performLink(ctx, step, on)
	default:
		return r.performNode(ctx, step, on)
	}
}

func (r *runner) performNode(ctx context.Context, step Step, on target) error {
	switch step.Do {
	case Kill:
		return r.kill(on)
	case Start:
		return r.start(step, on)
	case Stop:
		r.note("stop", on)
		return eachNode(on, r.fleet.StopNode)
	case Restart:
		return r.restart(ctx, on)
	case Freeze:
		return r.freeze(ctx, step, on)
	case Thaw:
		return r.thaw(on)
	case Wipe:
		r.setLost(on)
		r.note(checker.FaultWipe, on)
		return eachNode(on, r.fleet.WipeNode)
	case Replace:
		return r.replace(on)
	}
	return fmt.Errorf("unknown action %q", step.Do)
}

func (r *runner) note(detail string, on target) {
	r.fleet.LogFault(detail, on.class, on.label, on.region)
}

// eachNode goes through the nodes side by side, as one event hits machines.
func eachNode(on target, work func(*fleet.Node) error) error {
	failures := make(chan error, len(on.nodes))
	for _, node := range on.nodes {
		go func() { failures <- work(node) }()
	}
	var all []error
	for range on.nodes {
		all = append(all, <-failures)
	}
	return errors.Join(all...)
}

func (r *runner) kill(on target) error {
	r.setLost(on)
	r.note(checker.FaultKill, on)
	err := eachNode(on, r.fleet.KillNode)
	for _, replica := range on.replicas {
		err = errors.Join(err, r.fleet.KillReplica(replica))
	}
	return err
}

func (r *runner) start(step Step, on target) error {
	var all []error
	for _, replica := range on.replicas {
		all = append(all, r.fleet.StartReplica(replica, step.Cold))
	}
	for _, node := range on.nodes {
		all = append(all, r.fleet.StartNode(node))
	}
	r.note(checker.FaultStart, on)
	return errors.Join(all...)
}

// restart rolls the nodes: each leaves and is back before the next one leaves.
func (r *runner) restart(ctx context.Context, on target) error {
	for _, node := range on.nodes {
		r.fleet.LogFault("stop", on.class, node.Name, "")
		if err := r.fleet.StopNode(node); err != nil {
			return err
		}
		if err := r.fleet.StartNode(node); err != nil {
			return err
		}
		limited, cancel := context.WithTimeout(ctx, stepPatience)
		err := r.fleet.WaitNodeReady(limited, node)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) freeze(ctx context.Context, step Step, on target) error {
	r.setFrozen(on, true)
	r.note(checker.FaultFreeze, on)
	if err := eachNode(on, r.fleet.FreezeNode); err != nil {
		return err
	}
	if step.For == 0 {
		return nil
	}
	sleep(ctx, time.Duration(step.For))
	return r.thaw(on)
}

func (r *runner) thaw(on target) error {
	r.note(checker.FaultThaw, on)
	r.setFrozen(on, false)
	return eachNode(on, r.fleet.ThawNode)
}

func (r *runner) replace(on target) error {
	r.note(checker.FaultKill, on)
	last := target{class: on.class}
	for _, node := range on.nodes {
		successor, err := r.fleet.ReplaceControl(node)
		if err != nil {
			return err
		}
		r.fleet.LogFault("replace", on.class, successor.Name, "")
		last.nodes = append(last.nodes, successor)
		last.label = successor.Name
	}
	r.setLast(last)
	return nil
}

func (r *runner) performReplica(ctx context.Context, step Step, on target) error {
	limited, cancel := context.WithTimeout(ctx, stepPatience)
	defer cancel()
	var all []error
	for _, replica := range on.replicas {
		var err error
		switch step.Do {
		case ReplicaFault:
			err = r.fleet.InjectReplicaFault(limited, replica, *step.Fault)
		case Drain, Undrain:
			err = r.fleet.SetReplicaDraining(limited, replica, step.Do == Drain)
		case ListDrain, ListUndrain:
			err = r.fleet.SetListedDraining(limited, replica, step.Do == ListDrain)
		}
		all = append(all, err)
	}
	detail := string(step.Do)
	if step.Fault != nil {
		detail = step.Fault.Kind
	}
	r.note(detail, on)
	return errors.Join(all...)
}

// performLink cuts, heals or delays what runs between the target and another
// one, or between the target and everything else.
func (r *runner) performLink(ctx context.Context, step Step, on target) error {
	others, err := r.otherEnds(ctx, step, on)
	if err != nil {
		return err
	}
	label := on
	if step.To != "" {
		label.label += " to " + step.To
	}
	r.note(string(step.Do), label)
	r.eachLink(on, others, step)
	if step.For == 0 || step.Do == Heal {
		return nil
	}
	sleep(ctx, time.Duration(step.For))
	r.note(checker.FaultHeal, label)
	heal := step
	heal.Do, heal.Delay = Heal, 0
	r.eachLink(on, others, heal)
	return nil
}

func (r *runner) eachLink(on target, others []string, step Step) {
	for _, node := range on.nodes {
		for _, other := range others {
			r.setLink(node.Name, other, step)
			if !step.OneWay {
				r.setLink(other, node.Name, step)
			}
		}
	}
}

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

// otherEnds names the far ends: those of step.To, or every node and replica
// outside the target.
func (r *runner) otherEnds(ctx context.Context, step Step, on target) ([]string, error) {
	inside := map[string]bool{}
	for _, node := range on.nodes {
		inside[node.Name] = true
	}
	for _, replica := range on.replicas {
		inside[replica.ID] = true
	}
	if step.To != "" {
		far, err := r.resolve(ctx, step.To)
		if err != nil {
			return nil, err
		}
		return outside(far.nodes, far.replicas, inside), nil
	}
	return outside(append(r.fleet.Controls(), r.fleet.Gateways()...), r.fleet.Replicas(), inside), nil
}

func outside(nodes []*fleet.Node, replicas []*fleet.Replica, inside map[string]bool) []string {
	var list []string
	for _, node := range nodes {
		if !inside[node.Name] {
			list = append(list, node.Name)
		}
	}
	for _, replica := range replicas {
		if !inside[replica.ID] {
			list = append(list, replica.ID)
		}
	}
	return list
}

func (r *runner) performLoad(ctx context.Context, step Step) error {
	length := time.Duration(step.For)
	switch step.Do {
	case Crowd:
		r.fleet.LogFault(checker.FaultCrowd, checker.TargetLoad, fmt.Sprintf("load ×%g", step.Factor), "")
		r.crowd(ctx, step.Factor)
		if length == 0 {
			return nil
		}
		sleep(ctx, length)
		fallthrough
	case Calm:
		r.fleet.LogFault(checker.FaultCalm, checker.TargetLoad, "load", "")
		r.calm()
	case Swing:
		r.fleet.LogFault("swing", checker.TargetLoad, "load", "")
		const swings = 2
		r.setLoad(ctx, r.profile, workload.Swing(0, length/swings, length, step.Factor))
	case Move:
		r.fleet.LogFault("move", checker.TargetLoad, step.Target+" to "+step.To, "")
		r.setLoad(ctx, r.profile, workload.Move(0, length, r.profile, step.Target, step.To))
	}
	return nil
}
