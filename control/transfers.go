package control

import (
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// transferShare is the part of a control node's link that large transfers to gateways
// may fill.
const transferShare = 0.5

// transferCache keeps the differences between one serial and those that
// gateways hold, since many hold the same.
type transferCache struct {
	serial uint32
	byHeld map[uint32]difference
}

// difference is one transfer, packed if it is large.
type difference struct {
	transfer *registry.Transfer
	packed   peer.PackedTransfer
}

func (c *transferCache) reset() {
	c.byHeld = nil
}

// pacer bounds the octets of large transfers, which many gateways ask for at once
// when many records change: a link that is full of them would hold up the heartbeats
// that keep the leadership.
type pacer struct {
	perSecond float64
	left      float64
	at        time.Duration
}

// pacedBurst is the time whose octets may go out at once: gateways that were told of
// a change together renew together, an interval between renewals apart.
const pacedBurst = 300 * time.Millisecond

func newPacer(linkMbps int) pacer {
	return pacer{perSecond: transferShare * float64(linkMbps) * 1e6 / 8}
}

// allow says whether so many octets may go out now, and counts them if so.
func (p *pacer) allow(now time.Duration, octets int) bool {
	p.left = min(p.left+p.perSecond*(now-p.at).Seconds(), p.perSecond*pacedBurst.Seconds())
	p.at = now
	if p.left <= 0 {
		return false
	}
	p.left -= float64(octets)
	return true
}

// addTransfer gives a grant what brings a copy at the serial up to date. A gateway
// that holds a copy may get a large difference with a later renewal.
func (m *machine) addTransfer(now time.Duration, grant *peer.Grant, held uint32) {
	serial := m.table.Serial()
	if held == serial {
		return
	}
	if m.transfers.byHeld == nil || m.transfers.serial != serial {
		m.transfers = transferCache{serial: serial, byHeld: make(map[uint32]difference)}
	}
	known, found := m.transfers.byHeld[held]
	if !found {
		known = m.differenceFrom(held)
		m.transfers.byHeld[held] = known
	}
	if held != 0 && known.packed != nil && !m.pacer.allow(now, len(known.packed)) {
		return
	}
	grant.Transfer, grant.Packed = known.transfer, known.packed
}

// differenceFrom works a transfer out, and packs it if it is large.
func (m *machine) differenceFrom(held uint32) difference {
	transfer := forGateways(m.table.TransferSince(held))
	packed, err := peer.PackTransfer(&transfer)
	if err != nil {
		m.log.Error("a transfer is sent as it is", "error", err)
	}
	if packed != nil {
		return difference{packed: packed}
	}
	return difference{transfer: &transfer}
}

// forGateways leaves out what no gateway decides by: the text of the document
// and the answers to orders. Both are most of a change's octets, and control
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
