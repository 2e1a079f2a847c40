package control

import (
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

const (
	// mostWrites bounds the member records that one update changes.
	mostWrites = 512
	// takeoverHold bounds how long a new primary holds member records back.
	takeoverHold = time.Second
)

// gatewayWrite is a change of one gateway's member record.
type gatewayWrite struct {
	name   string
	old    catalog.Gateway
	known  bool // old is there
	wanted catalog.Gateway
	done   func()
}

// writeGateway changes a gateway's member record with the next update. Updates of
// member records go one after the other, so that gateways that come at once, as after
// a loss of power, become one change of the registry and not one each: every change
// goes to every gateway.
func (m *machine) writeGateway(now time.Duration, name string, old catalog.Gateway, known bool, wanted catalog.Gateway, done func()) {
	m.log.Info("gateway member record", "gateway", name, "up", wanted.Up, "incarnation", wanted.Incarnation, "term", m.leadership.term)
	leadership := m.leadership
	leadership.writes = append(leadership.writes, gatewayWrite{name: name, old: old, known: known, wanted: wanted, done: done})
	m.flushWrites(now)
}

// flushWrites proposes the waiting changes unless an update is on its way.
func (m *machine) flushWrites(now time.Duration) {
	leadership := m.leadership
	if leadership == nil || leadership.writing || len(leadership.writes) == 0 || leadership.holdsWrites(now) {
		return
	}
	count := min(len(leadership.writes), mostWrites)
	writes := leadership.writes[:count]
	leadership.writes = leadership.writes[count:]
	leadership.writing = true
	prerequisites := make([]registry.Record, 0, count)
	changes := make([]registry.Record, 0, count)
	for i := range writes {
		prerequisites = append(prerequisites, writes[i].prerequisite())
		changes = append(changes, registry.Add(catalog.GatewayRecord(writes[i].name, writes[i].wanted)))
	}
	m.propose(now, m.ownUpdate(prerequisites, changes), func(registry.Result, error) {
		leadership.writing = false
		for i := range writes {
			writes[i].done()
		}
	})
}

// holdsWrites says that a new primary is still finding out who may have leases of
// earlier ones. Every change of the registry goes to every gateway, and after a loss
// of power what they need first is the table that is there, to serve by it.
func (l *leadership) holdsWrites(now time.Duration) bool {
	return !l.grantor.GracePeriodOver() && now-l.readyAt < takeoverHold
}

// prerequisite is the record that is replaced, or that there is none.
func (w *gatewayWrite) prerequisite() registry.Record {
	if w.known {
		return registry.Equals(catalog.GatewayRecord(w.name, w.old))
	}
	return registry.Absent(catalog.GatewayName(w.name), catalog.TypeGateway)
}
