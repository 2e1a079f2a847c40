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

// clusterName tells groups apart; the daemons draw a random one.
const clusterName = "example"

// holder is a client with a copy of the table and a lease on it. One goroutine
// uses it.
type holder struct {
	network transport.Network
	group   consensus.Membership
	started time.Time
	// primary is the address that answered last.
	primary string
	table   *registry.Table
	active  uint32 // serial that the holder acts on
	inForce uint32
	lease   *lease.Holder
	watch   *failuredetector.Detector
}

func newHolder(memory *transport.Memory, group consensus.Membership) *holder {
	kinds, err := schema()
	if err != nil {
		panic(err) // a constant
	}
	return &holder{
		network: memory.Node("holder", "address-holder"),
		group:   group,
		started: time.Now(),
		primary: group.Members[0].Address,
		table:   registry.NewSecondary(apex, kinds),
		lease:   lease.NewHolder(terms()),
		watch:   failuredetector.New(failuredetector.DefaultConfig(), time.Now()),
	}
}

func (h *holder) close() { _ = h.network.Close() }

func (h *holder) now() time.Duration { return time.Since(h.started) }

// update asks one member after the other until the primary has applied it. An
// update that may have been applied is asked about by its prerequisites.
func (h *holder) update(ctx context.Context, update registry.Update) (updateReply, error) {
	for ctx.Err() == nil {
		for _, member := range h.group.Members {
			var reply updateReply
			if err := h.call(ctx, member.Address, kindUpdate, &updateRequest{Update: update}, &reply); err == nil {
				h.primary = member.Address
				return reply, nil
			}
		}
		pause(ctx)
	}
	return updateReply{}, fmt.Errorf("no primary: %w", ctx.Err())
}

// renewUntil renews the lease at the primary until the condition holds.
func (h *holder) renewUntil(ctx context.Context, condition func() bool) error {
	for !condition() {
		if err := h.renew(ctx); errors.Is(err, lease.ErrOtherCluster) {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pause(ctx)
	}
	return nil
}

// renew asks once. The lease counts from before the sending.
func (h *holder) renew(ctx context.Context) error {
	sent := h.now()
	request := renewal{
		Holder: "holder", Incarnation: "1",
		Held: h.table.Serial(), Active: h.active,
		Valid: h.lease.Valid(sent), Term: h.lease.Term(),
	}
	var answer grant
	if err := h.call(ctx, h.primary, kindRenew, &request, &answer); err != nil {
		return err
	}
	if err := h.lease.HandleGrant(h.now(), sent, answer.Term, clusterName, answer.Length); err != nil {
		return err
	}
	h.watch.Heartbeat(time.Now())
	if answer.Transfer != nil {
		if err := h.table.ApplyTransfer(*answer.Transfer); err != nil {
			return err
		}
	}
	// What is held may decide once the primary says that all hold it.
	if held := h.table.Serial(); answer.Activate != 0 && !registry.SerialLess(answer.Activate, held) {
		h.active = held
	}
	h.inForce = answer.InForce
	return nil
}

// mayAct is true while the lease is valid and the newest serial in force.
func (h *holder) mayAct() bool {
	return h.lease.Valid(h.now()) && h.active != 0 && h.inForce == h.active
}

// primaryLost is true once the primary is silent for too long and the lease over.
func (h *holder) primaryLost() bool {
	return h.watch.State(time.Now()) == failuredetector.Dead && !h.lease.Valid(h.now())
}

func (h *holder) call(ctx context.Context, address string, kind transport.Kind, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.network.Call(ctx, address, kind, request, reply)
}

func pause(ctx context.Context) {
	timer := time.NewTimer(stepInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
