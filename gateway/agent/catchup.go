package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// fetchTimeout bounds a request to another gateway for its state.
const fetchTimeout = 2 * time.Second

// FetchResult is the result of a request to another gateway for its state. It is a label
// value of a metric.
type FetchResult string

// Results of a request to another gateway for its state.
const (
	// FetchActivated means that the state was activated.
	FetchActivated FetchResult = "activated"
	// FetchUnneeded means that the state was not newer than the active one any more.
	FetchUnneeded FetchResult = "unneeded"
	// FetchDeferred means that the answer had no transfer.
	FetchDeferred FetchResult = "deferred"
	// FetchFailed means that there was no answer, or one that could not be used.
	FetchFailed FetchResult = "failed"
)

// FetchResults lists all results.
func FetchResults() []FetchResult {
	return []FetchResult{FetchActivated, FetchUnneeded, FetchDeferred, FetchFailed}
}

// errUnusableState means that another gateway's answer does not lead to the state that it
// names.
var errUnusableState = errors.New("agent: the transfer does not lead to the active state of its sender")

// isNewerSerial reports whether a serial is newer than another one. Zero means none.
func isNewerSerial(serial, than uint32) bool {
	if serial == 0 || than == 0 {
		return serial != 0 && than == 0
	}
	return registry.SerialLess(than, serial)
}

// catchUp fetches and activates the state of another gateway that has reported a newer
// active serial. No renewal is granted meanwhile, so no primary tells this gateway what is
// in force.
func (a *Agent) catchUp(ctx context.Context, source greeting) {
	address := source.address
	request, behind := a.nextFetch(address, &source.reply)
	if !behind {
		return
	}
	callContext, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply peer.FetchStateReply
	if err := a.options.Network.Call(callContext, address, peer.KindFetchState, &request, &reply); err != nil {
		a.fetches.add(FetchFailed)
		a.logger.Debug("fetching the state of another gateway failed", "address", address, "error", err)
		return
	}
	a.handleFetchReply(address, request.Cluster, &reply)
}

// hasNoState reports whether this gateway has neither received nor activated a state.
func (a *Agent) hasNoState() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.newest == nil && a.active.Load() == nil
}

// nextFetch records the active serial that another gateway has reported, and returns the
// request for its state. It returns false if this gateway's state is as new.
func (a *Agent) nextFetch(address string, reply *peer.HelloReply) (peer.FetchState, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	serial := reply.ActiveSerial
	if isNewerSerial(serial, a.newestHeard) {
		a.newestHeard = serial
	}
	active := a.activeSerial()
	if !isNewerSerial(serial, active) {
		a.behindSince = 0
		return peer.FetchState{}, false
	}
	if a.behindSince == 0 {
		a.behindSince = a.options.Clock()
		a.logger.Warn("another gateway decides by a newer state", "active_serial", active, "newer_serial", serial, "address", address)
	}
	return peer.FetchState{
		Cluster:        reply.Cluster,
		ReceivedSerial: a.receivedSerialLocked(),
		ActiveSerial:   active,
	}, true
}

// handleFetchReply activates the state in another gateway's answer.
func (a *Agent) handleFetchReply(address, cluster string, reply *peer.FetchStateReply) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	result, err := a.adoptState(cluster, reply)
	a.fetches.add(result)
	if err != nil {
		a.logger.Error("state of another gateway not usable", "address", address, "error", err)
		return
	}
	if result == FetchActivated {
		active := a.active.Load()
		a.logger.Warn("activated the state of another gateway", "address", address, "serial", active.Serial(),
			"version", active.Version(), "behind", a.options.Clock()-a.behindSince)
		a.behindSince = 0
		a.triggerRenewal()
	}
}

// adoptState activates the state in another gateway's answer if it is newer than the
// active one. A gateway that belongs to no cluster yet enters the one that it has asked
// for, which is that of the processes that its seeds know. The caller holds the mutex.
func (a *Agent) adoptState(cluster string, reply *peer.FetchStateReply) (FetchResult, error) {
	own := a.holder.Cluster()
	if reply.Cluster != cluster || own != "" && own != cluster {
		return FetchFailed, errOtherCluster
	}
	if !isNewerSerial(reply.ActiveSerial, a.activeSerial()) {
		return FetchUnneeded, nil
	}
	transfer, err := reply.UnpackTransfer()
	if err != nil {
		return FetchFailed, err
	}
	if transfer == nil {
		return FetchDeferred, nil
	}
	state, err := a.stateAfter(*transfer, reply.ActiveSerial)
	if err != nil {
		return FetchFailed, err
	}
	if err := a.holder.Observe(a.holder.Term(), cluster); err != nil {
		return FetchFailed, err
	}
	a.activateState(state)
	return FetchActivated, nil
}

// stateAfter returns the state with a serial that a transfer from another gateway leads
// to. The caller holds the mutex.
func (a *Agent) stateAfter(transfer registry.Transfer, serial uint32) (*catalog.State, error) {
	if transfer.To != serial {
		return nil, errUnusableState
	}
	if transfer.Full {
		return a.readFullState(transfer)
	}
	if received := a.receivedState(serial); received != nil {
		return received, nil
	}
	if transfer.From != a.table.Serial() {
		return nil, errUnusableState // a renewal has changed the table meanwhile
	}
	if _, err := a.applyTransfer(transfer); err != nil {
		return nil, err
	}
	return a.newest, nil
}

// receivedState returns the received state with a serial that waits for its activation;
// nil if there is none.
func (a *Agent) receivedState(serial uint32) *catalog.State {
	for _, candidate := range a.pending {
		if candidate.Serial() == serial {
			return candidate
		}
	}
	return nil
}

// readFullState reads the state of a full transfer. It replaces the table, too, unless
// this gateway has received a newer one from a primary.
func (a *Agent) readFullState(transfer registry.Transfer) (*catalog.State, error) {
	table := registry.NewSecondary(catalog.Apex, catalog.Schema())
	if err := table.ApplyTransfer(transfer); err != nil {
		return nil, fmt.Errorf("agent: applying the state of another gateway: %w", err)
	}
	state, err := catalog.Read(table.View())
	if err != nil {
		return nil, fmt.Errorf("agent: reading the state of another gateway: %w", err)
	}
	if isNewerSerial(state.Serial(), a.receivedSerialLocked()) {
		a.table = table
		a.newest = state
	}
	return state, nil
}

// activateState activates a state of another gateway, and drops the pending states that
// are not newer. The caller holds the mutex.
func (a *Agent) activateState(state *catalog.State) {
	pending := []*catalog.State{state}
	for _, candidate := range a.pending {
		if isNewerSerial(candidate.Serial(), state.Serial()) {
			pending = append(pending, candidate)
		}
	}
	a.pending = pending
	a.activatePending(0)
}
