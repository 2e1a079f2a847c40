package scenario

import (
	"context"
	"errors"
)

func (r *runner) performReplica(ctx context.Context, step Step, on target) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	var failures []error
	for _, replica := range on.replicas {
		var err error
		switch step.Do {
		case ReplicaFault:
			err = r.fleet.InjectReplicaFault(ctx, replica, *step.Fault)
		case Drain, Undrain:
			err = r.fleet.SetReplicaDraining(ctx, replica, step.Do == Drain)
		case ListDrain, ListUndrain:
			err = r.fleet.SetListedDraining(ctx, replica, step.Do == ListDrain)
		}
		failures = append(failures, err)
	}
	detail := string(step.Do)
	if step.Fault != nil {
		detail = step.Fault.Kind
	}
	r.logFault(detail, on)
	return errors.Join(failures...)
}
