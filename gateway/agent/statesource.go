package agent

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

const (
	// fetchesPerSecond and fetchBurst bound the transfers that a gateway sends to others.
	fetchesPerSecond = 8
	fetchBurst       = 8
	// fetchOctetsPerSecond bounds the size of the compressed ones.
	fetchOctetsPerSecond = 4 << 20
)

// stateSource limits and prepares the transfers that this gateway sends to other gateways.
type stateSource struct {
	logger    *slog.Logger
	transfers *rate.Limiter
	octets    *rate.Limiter
}

func newStateSource(logger *slog.Logger) *stateSource {
	return &stateSource{
		logger:    logger,
		transfers: rate.NewLimiter(fetchesPerSecond, fetchBurst),
		octets:    rate.NewLimiter(fetchOctetsPerSecond, registry.MaxTransferBytes),
	}
}

// serveFetchState answers another gateway with the active state, if it is newer than that
// gateway's. Received states that are not active are not sent: whether gateways may
// activate them is for a primary to decide.
func (a *Agent) serveFetchState(_ context.Context, _ string, decode func(any) error) (any, error) {
	var request peer.FetchState
	if err := decode(&request); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	reply := &peer.FetchStateReply{Cluster: a.holder.Cluster(), ActiveSerial: a.activeSerial()}
	active, newest, table := a.active.Load(), a.newest, a.table
	a.mutex.Unlock()
	wanted := request.Cluster == reply.Cluster && isNewerSerial(reply.ActiveSerial, request.ActiveSerial)
	if !wanted || !a.source.transfers.Allow() {
		return reply, nil
	}
	transfer := activeTransfer(active, newest, table, request.ReceivedSerial)
	a.source.attach(reply, transfer)
	return reply, nil
}

// activeTransfer returns the transfer from a received serial to the active state. It is
// incremental if the table is at the active serial and its journal reaches back.
func activeTransfer(active, newest *catalog.State, table *registry.Table, received uint32) registry.Transfer {
	serial := active.Serial()
	if received == serial {
		return registry.Transfer{From: serial, To: serial}
	}
	if newest == active && received != 0 {
		if transfer := table.TransferSince(received); transfer.To == serial {
			return transfer
		}
	}
	return active.View().FullTransfer()
}

// attach adds a transfer to a reply, unless it is large and the rate of such is exceeded.
func (s *stateSource) attach(reply *peer.FetchStateReply, transfer registry.Transfer) {
	packed, err := peer.PackTransfer(&transfer)
	if err != nil {
		s.logger.Error("state for another gateway not compressed", "error", err)
		return
	}
	if packed == nil {
		reply.Transfer = &transfer
		return
	}
	if s.octets.AllowN(time.Now(), len(packed)) {
		reply.Packed = packed
	}
}
