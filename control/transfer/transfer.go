// Package transfer prepares what brings gateways' replicas of the table up to
// date, and limits the rate at which it is sent.
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
	// Burst is the time whose octets may be sent at once: gateways that were
	// notified of a change together renew together, a renewal interval apart.
	Burst = 300 * time.Millisecond

	bitsPerMegabit = 1e6
	bitsPerOctet   = 8
)

// Sender chooses the transfers of one control node.
type Sender struct {
	log     *slog.Logger
	cache   cache
	limiter limiter
}

// NewSender returns the sender of a node whose link carries so many Mbit/s.
func NewSender(log *slog.Logger, linkMbps int) *Sender {
	return &Sender{
		log:     log,
		limiter: limiter{octetsPerSecond: LinkShare * float64(linkMbps) * bitsPerMegabit / bitsPerOctet},
	}
}

// Add puts into a grant what brings a replica with the received serial up to date
// with the table; 0 is no replica. A gateway that has one may have to wait for a
// large transfer until a later renewal.
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

// cache keeps the transfers to one serial of one table, since many gateways need the
// same. A snapshot of the group replaces the table.
type cache struct {
	table      *registry.Table
	serial     uint32
	byReceived map[uint32]prepared
}

// prepared is one transfer, packed if it is large.
type prepared struct {
	transfer *registry.Transfer
	packed   peer.PackedTransfer
}

func (s *Sender) prepare(table *registry.Table, received uint32) prepared {
	if serial := table.Serial(); s.cache.table != table || s.cache.serial != serial {
		s.cache = cache{table: table, serial: serial, byReceived: make(map[uint32]prepared)}
	}
	known, found := s.cache.byReceived[received]
	if !found {
		known = s.pack(forGateways(table.TransferSince(received)))
		s.cache.byReceived[received] = known
	}
	return known
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

// limiter is a token bucket for the octets of large transfers, which many gateways
// ask for at once when many records change: on a full link, heartbeats would be
// late and leadership lost.
type limiter struct {
	octetsPerSecond float64
	available       float64 // octets; below 0 after a transfer larger than the rest
	updated         time.Duration
}

// allow says whether so many octets may be sent now, and counts them if so.
func (l *limiter) allow(now time.Duration, octets int) bool {
	l.available = min(l.available+l.octetsPerSecond*(now-l.updated).Seconds(), l.octetsPerSecond*Burst.Seconds())
	l.updated = now
	if l.available <= 0 {
		return false
	}
	l.available -= float64(octets)
	return true
}

// forGateways leaves out what no gateway decides by: the text of the document
// and the answers to operations. Both are most of a change's octets, and control
// nodes alone give them to readers.
func forGateways(transfer registry.Transfer) registry.Transfer {
	transfer.Removed = gatewayRecords(transfer.Removed)
	transfer.Added = gatewayRecords(transfer.Added)
	return transfer
}

func gatewayRecords(records []registry.Record) []registry.Record {
	var kept []registry.Record
	for _, record := range records {
		if record.Type != catalog.TypeDocumentChunk && record.Type != catalog.TypeOperation {
			kept = append(kept, record)
		}
	}
	return kept
}
