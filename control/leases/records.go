package leases

import (
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

const (
	// maxRecordsPerUpdate bounds the member records that one update changes.
	maxRecordsPerUpdate = 512
	// TakeoverDelay bounds how long a new primary delays changes of member records.
	TakeoverDelay = time.Second
)

// RecordChange is a change of one gateway's member record.
type RecordChange struct {
	Gateway string
	// Old is the record that is replaced, if one Existed.
	Old     catalog.Gateway
	Existed bool
	New     catalog.Gateway

	finished func() // runs when the change's update has been answered
}

// recordQueue is the changes that wait for the update in progress, if inProgress.
type recordQueue struct {
	pending    []*RecordChange
	inProgress bool
}

// QueueRecord makes a change a part of the next update.
func (m *Manager) QueueRecord(change *RecordChange) {
	m.records.pending = append(m.records.pending, change)
}

// RecordUpdate is one update of member records.
type RecordUpdate struct {
	Prerequisites []registry.Record
	Changes       []registry.Record
	// Finished must be called once, when the update has been answered.
	Finished func()
}

// NextRecordUpdate takes the queued changes as one update, if none is in progress.
// Updates of member records go one after the other, so that gateways that come at
// once, as after a loss of power, become one change of the registry and not one
// each: every change goes to every gateway.
func (m *Manager) NextRecordUpdate(now time.Duration) (RecordUpdate, bool) {
	queue := &m.records
	if queue.inProgress || len(queue.pending) == 0 || m.delaysRecords(now) {
		return RecordUpdate{}, false
	}
	count := min(len(queue.pending), maxRecordsPerUpdate)
	taken := queue.pending[:count]
	queue.pending = queue.pending[count:]
	queue.inProgress = true
	update := RecordUpdate{
		Prerequisites: make([]registry.Record, 0, count),
		Changes:       make([]registry.Record, 0, count),
		Finished: func() {
			queue.inProgress = false
			for i := range taken {
				taken[i].finished()
			}
		},
	}
	for i := range taken {
		update.Prerequisites = append(update.Prerequisites, taken[i].prerequisite())
		update.Changes = append(update.Changes, registry.Add(catalog.GatewayRecord(taken[i].Gateway, taken[i].New)))
	}
	return update, true
}

// delaysRecords is true while a new primary is still finding out who may have leases
// of earlier ones. Every change of the registry goes to every gateway, and after a
// loss of power what they need first is the existing table, to serve by it.
func (m *Manager) delaysRecords(now time.Duration) bool {
	return !m.grantor.GracePeriodOver() && now-m.servingAt < TakeoverDelay
}

// prerequisite is the record that is replaced, or that there is none.
func (c *RecordChange) prerequisite() registry.Record {
	if c.Existed {
		return registry.Equals(catalog.GatewayRecord(c.Gateway, c.Old))
	}
	return registry.Absent(catalog.GatewayName(c.Gateway), catalog.TypeGateway)
}
