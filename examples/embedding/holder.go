package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/failuredetector"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/transport"
)

// clusterName identifies the cluster in its leases. The daemons generate a random
// name instead.
const clusterName = "example"

// holder is a client that has a secondary copy of the table and a lease on it. It
// is not safe for concurrent use.
type holder struct {
	network transport.Network
	group   consensus.Membership
	started time.Time
	// primary is the address of the member that last applied an update.
	primary string
	table   *registry.Table
	// activeSerial is the serial that the holder acts on; 0 before the first
	// activation.
	activeSerial uint32
	// serialInForce is the serial that is active at every holder with a valid
	// lease; 0 if unknown.
	serialInForce uint32
	lease         *lease.Holder
	detector      *failuredetector.Detector
}

func newHolder(memory *transport.Memory, group consensus.Membership) *holder {
	kinds, err := schema()
	if err != nil {
		panic(err) // the schema is constant
	}
	return &holder{
		network:  memory.Node("holder", "address-holder"),
		group:    group,
		started:  time.Now(),
		primary:  group.Members[0].Address,
		table:    registry.NewSecondary(apex, kinds),
		lease:    lease.NewHolder(leaseConfig()),
		detector: failuredetector.New(failuredetector.DefaultConfig(), time.Now()),
	}
}

func (h *holder) close() { _ = h.network.Close() }

func (h *holder) now() time.Duration { return time.Since(h.started) }

// update sends an update to each member in turn until the primary has applied it.
// The prerequisites of the update make it safe to resend after a lost reply.
func (h *holder) update(ctx context.Context, update registry.Update) (updateReply, error) {
	for ctx.Err() == nil {
		for _, member := range h.group.Members {
			var reply updateReply
			if err := h.call(ctx, member.Address, kindUpdate, &updateRequest{Update: update}, &reply); err == nil {
				h.primary = member.Address
				return reply, nil
			}
		}
		waitStep(ctx)
	}
	return updateReply{}, fmt.Errorf("no primary: %w", ctx.Err())
}

// renewUntil renews the lease at the primary until the condition is true.
func (h *holder) renewUntil(ctx context.Context, condition func() bool) error {
	for !condition() {
		if err := h.renew(ctx); errors.Is(err, lease.ErrOtherCluster) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		waitStep(ctx)
	}
	return nil
}

// renew renews the lease once. The lease period starts before the request is sent,
// so that the lease never expires later here than at the primary.
func (h *holder) renew(ctx context.Context) error {
	sent := h.now()
	request := renewal{
		Holder: "holder", Incarnation: "1",
		Held: h.table.Serial(), Active: h.activeSerial,
		Valid: h.lease.Valid(sent), Term: h.lease.Term(),
	}
	var granted grant
	if err := h.call(ctx, h.primary, kindRenew, &request, &granted); err != nil {
		return err
	}
	if err := h.lease.HandleGrant(h.now(), sent, granted.Term, clusterName, granted.Duration); err != nil {
		return err
	}
	h.detector.Heartbeat(time.Now())
	if granted.Transfer != nil {
		if err := h.table.ApplyTransfer(*granted.Transfer); err != nil {
			return err
		}
	}
	// A received serial may be acted on once every holder has received it.
	received := h.table.Serial()
	if granted.ActivationSerial != 0 && !registry.SerialLess(granted.ActivationSerial, received) {
		h.activeSerial = received
	}
	h.serialInForce = granted.SerialInForce
	return nil
}

// mayAct reports whether the lease is valid and the active serial is in force at
// every holder.
func (h *holder) mayAct() bool {
	return h.lease.Valid(h.now()) && h.activeSerial != 0 && h.serialInForce == h.activeSerial
}

// primaryLost reports whether the failure detector considers the primary dead and
// the lease has expired.
func (h *holder) primaryLost() bool {
	return h.detector.State(time.Now()) == failuredetector.Dead && !h.lease.Valid(h.now())
}

func (h *holder) call(ctx context.Context, address string, kind transport.Kind, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.network.Call(ctx, address, kind, request, reply)
}

// waitStep waits for stepInterval or until ctx is done.
func waitStep(ctx context.Context) {
	timer := time.NewTimer(stepInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
