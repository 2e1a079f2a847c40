package control

import (
	"github.com/deckpulley/deckpulley/places"
	"github.com/deckpulley/deckpulley/registry"
)

// transferCache keeps the differences between one serial and those that
// gateways hold, since many hold the same.
type transferCache struct {
	serial uint32
	byHeld map[uint32]*registry.Transfer
}

func (c *transferCache) reset() {
	c.byHeld = nil
}

// transferFrom returns what brings a copy at the serial up to date, nil if it is.
func (m *machine) transferFrom(held uint32) *registry.Transfer {
	serial := m.table.Serial()
	if held == serial {
		return nil
	}
	if m.transfers.byHeld == nil || m.transfers.serial != serial {
		m.transfers = transferCache{serial: serial, byHeld: make(map[uint32]*registry.Transfer)}
	}
	if transfer, known := m.transfers.byHeld[held]; known {
		return transfer
	}
	transfer := forGateways(m.table.Difference(held))
	m.transfers.byHeld[held] = &transfer
	return &transfer
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
		if record.Type != places.TypeDocument && record.Type != places.TypeOrder {
			kept = append(kept, record)
		}
	}
	return kept
}
