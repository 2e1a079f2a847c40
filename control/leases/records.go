package leases

import (
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
)

const (
	// maxRecordsPerUpdate bounds the number of gateway records that one update changes.
	maxRecordsPerUpdate = 512
	// TakeoverDelay bounds how long a new primary delays changes of gateway records.
	TakeoverDelay = time.Second
)

// RecordChange is a change of one gateway's record in the registry.
type RecordChange struct {
	Gateway string
	// Old is the record that New replaces, if Existed; otherwise New is the first.
	Old     catalog.Gateway
	Existed bool
	New     catalog.Gateway

	finished func() // runs when the result of the change's update is known
}

// recordQueue has the changes for the next update. inProgress is true while an update is
// in progress.
type recordQueue struct {
	pending    []*RecordChange
	inProgress bool
}

// QueueRecordChange queues a change for the next update.
func (m *Manager) QueueRecordChange(change *RecordChange) {
	m.records.pending = append(m.records.pending, change)
}

// RecordUpdate is one update of gateway records.
type RecordUpdate struct {
	Prerequisites []registry.Record
	Changes       []registry.Record
	// Finished must be called once, when the result of the update is known.
	Finished func()
}

// NextRecordUpdate removes queued changes from the queue and returns them as one update.
// It returns false if there are none, another update is in progress, or changes are
// delayed after an election. Only one update is in progress at a time, so that the changes
// of gateways that start together, as after a power loss, are batched: every update of the
// registry is sent to every gateway.
func (m *Manager) NextRecordUpdate(now time.Duration) (RecordUpdate, bool) {
	queue := &m.records
	if queue.inProgress || len(queue.pending) == 0 || m.delaysRecordUpdates(now) {
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

// delaysRecordUpdates reports whether changes of gateway records are delayed because this
// primary is still determining which gateways hold leases of earlier primaries. Every
// update of the registry is sent to every gateway, and after a power loss the gateways need
// the existing table first, so that they can serve.
func (m *Manager) delaysRecordUpdates(now time.Duration) bool {
	return !m.grantor.GracePeriodOver() && now-m.servingAt < TakeoverDelay
}

// prerequisite returns the prerequisite that the old record is unchanged, or that there is
// none.
func (c *RecordChange) prerequisite() registry.Record {
	if c.Existed {
		return registry.Equals(catalog.GatewayRecord(c.Gateway, c.Old))
	}
	return registry.Absent(catalog.GatewayName(c.Gateway), catalog.TypeGateway)
}
