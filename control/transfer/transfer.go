// Package transfer prepares the transfers that bring the gateways' replicas of the table up
// to date, and limits the rate of large ones.
package transfer

import (
	"log/slog"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

const (
	// LinkShare is the fraction of a control node's link that large transfers to
	// gateways may use.
	LinkShare = 0.5
	// Burst is the capacity of the rate limiter, as the time in which it fills. It is
	// one renewal interval: gateways that are notified of a change at the same time
	// keep renewing at the same times, one interval apart.
	Burst = 300 * time.Millisecond

	bitsPerMegabit = 1e6
	bitsPerOctet   = 8
)

// Sender selects the transfers that one control node sends.
type Sender struct {
	log     *slog.Logger
	cache   cache
	limiter limiter
}

// NewSender returns the sender of a node whose network link has a capacity of linkMbps
// Mbit/s.
func NewSender(log *slog.Logger, linkMbps int) *Sender {
	return &Sender{
		log:     log,
		limiter: limiter{octetsPerSecond: LinkShare * float64(linkMbps) * bitsPerMegabit / bitsPerOctet},
	}
}

// Add adds to a grant the transfer that brings a gateway's replica from the received serial
// up to date with the table. received is 0 if the gateway has no replica. Otherwise a large
// transfer may be omitted to limit the rate: the gateway gets it with a later renewal.
func (s *Sender) Add(now time.Duration, grant *peer.Grant, table *registry.Table, received uint32) {
	if received == table.Serial() {
		return
	}
	prepared := s.prepare(table, received)
	if received != 0 && prepared.packed != nil && !s.limiter.allow(now, len(prepared.packed)) {
		return
	}
	grant.Transfer, grant.Packed = prepared.transfer, prepared.packed
}

// cache holds the prepared transfers to one serial of one table, by the serial that the
// gateway has, since many gateways need the same one. It depends on the table, too, since
// installing a snapshot of the group replaces the table.
type cache struct {
	table      *registry.Table
	serial     uint32
	byReceived map[uint32]prepared
}

// prepared is one transfer that is ready to be sent. Only one of its fields is set: packed
// if the transfer is large.
type prepared struct {
	transfer *registry.Transfer
	packed   peer.PackedTransfer
}

func (s *Sender) prepare(table *registry.Table, received uint32) prepared {
	if serial := table.Serial(); s.cache.table != table || s.cache.serial != serial {
		s.cache = cache{table: table, serial: serial, byReceived: make(map[uint32]prepared)}
	}
	cached, found := s.cache.byReceived[received]
	if !found {
		cached = s.pack(forGateways(table.TransferSince(received)))
		s.cache.byReceived[received] = cached
	}
	return cached
}

func (s *Sender) pack(transfer registry.Transfer) prepared {
	packed, err := peer.PackTransfer(&transfer)
	if err != nil {
		s.log.Error("transfer not compressed", "error", err)
	}
	if packed != nil {
		return prepared{packed: packed}
	}
	return prepared{transfer: &transfer}
}

// limiter is a token bucket for the bytes of large transfers. When many records change,
// many gateways need such a transfer at once; they would saturate the link, so that
// heartbeats would be delayed and leadership lost.
type limiter struct {
	octetsPerSecond float64
	available       float64 // octets; negative after a transfer that exceeded the rest
	updated         time.Duration
}

// allow reports whether a transfer of this size may be sent now, and if so deducts it from
// the available octets. A transfer may exceed them as long as any are available.
func (l *limiter) allow(now time.Duration, octets int) bool {
	l.available = min(l.available+l.octetsPerSecond*(now-l.updated).Seconds(), l.octetsPerSecond*Burst.Seconds())
	l.updated = now
	if l.available <= 0 {
		return false
	}
	l.available -= float64(octets)
	return true
}

// forGateways omits the records that gateways do not use: the text of the configuration
// document and the answers to operations. They are most of the bytes of a change, and only
// control nodes serve them.
func forGateways(transfer registry.Transfer) registry.Transfer {
	transfer.Removed = gatewayRecords(transfer.Removed)
	transfer.Added = gatewayRecords(transfer.Added)
	return transfer
}

// gatewayRecords returns the records of types that gateways use.
func gatewayRecords(records []registry.Record) []registry.Record {
	var kept []registry.Record
	for _, record := range records {
		if record.Type != catalog.TypeDocumentChunk && record.Type != catalog.TypeOperation {
			kept = append(kept, record)
		}
	}
	return kept
}
