package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/fleet/wait"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// perform executes the action of a step.
func (r *runner) perform(ctx context.Context, step Step) error {
	switch step.Do {
	case Wait:
		return nil
	case Crowd, Calm, Swing, Move:
		return r.performLoad(ctx, step)
	case Configure, ConfigureBad, Outrace, Race, LoseAnswer, Resend, Evacuate, Withdraw, Fill, Read:
		return r.performOperation(ctx, step)
	}
	on, err := r.resolve(ctx, step.Target)
	if err != nil {
		return err
	}
	r.setLastTarget(on)
	switch step.Do {
	case ReplicaFault, Drain, Undrain, ListDrain, ListUndrain:
		return r.performReplica(ctx, step, on)
	case Cut, Heal, Delay:
		return r.performLink(ctx, step, on)
	default:
		return r.performNode(ctx, step, on)
	}
}

// logFault records a fault of a target in the event log.
func (r *runner) logFault(detail string, on target) {
	r.fleet.LogFault(detail, on.class, on.label, on.region)
}

// swingPeriods is the number of periods of an oscillating load within a step.
const swingPeriods = 2

func (r *runner) performLoad(ctx context.Context, step Step) error {
	length := time.Duration(step.For)
	switch step.Do {
	case Crowd:
		r.fleet.LogFault(checker.FaultCrowd, checker.TargetLoad, fmt.Sprintf("load ×%g", step.Factor), "")
		r.load.addCrowd(ctx, step.Factor)
		if length == 0 {
			return nil
		}
		_ = wait.Sleep(ctx, length) // end the crowd even if ctx ends
		fallthrough
	case Calm:
		r.fleet.LogFault(checker.FaultCalm, checker.TargetLoad, "load", "")
		r.load.removeCrowd()
	case Swing:
		r.fleet.LogFault(detailSwing, checker.TargetLoad, "load", "")
		r.load.setOrdinary(ctx, workload.AlternateLengths(0, length/swingPeriods, length, step.Factor))
	case Move:
		r.fleet.LogFault(detailMove, checker.TargetLoad, step.Target+" to "+step.To, "")
		r.load.setOrdinary(ctx, workload.ShiftClients(0, length, r.load.profile, step.Target, step.To))
	}
	return nil
}
