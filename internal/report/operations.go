package report

import (
	"sort"
	"time"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Operation holds the time that an accepted operation took to take effect, measured
// on the requests that replicas received. All durations start at its first send.
type Operation struct {
	ID string
	// Detail is the kind of operation, one of the checker's details of operations.
	Detail  string
	Zone    string
	Version uint64
	// At is the time of the first send, in nanoseconds of the log.
	At int64
	// Acknowledged is the time to the acknowledgement.
	Acknowledged time.Duration
	// LastWithout is the time to the last request that was placed without the
	// operation in effect; 0 if there was none.
	LastWithout time.Duration
	// FirstReturned is, for a withdrawal, the time to the first request in the zone;
	// 0 if there was none.
	FirstReturned time.Duration
}

// inForceWindow is the time after the acknowledgement of an operation in which requests
// placed without it are searched for.
const inForceWindow = 15 * time.Second

// measureOperations measures each accepted operation, in the order of the
// acknowledgements. The map zones holds the zone of each replica.
func measureOperations(events []eventlog.Event, zones map[string]string) []Operation {
	var measured []Operation
	sent := map[string]eventlog.Event{}
	seen := map[string]bool{}
	for _, event := range events {
		switch {
		case event.Kind == eventlog.OperationSent:
			if _, ok := sent[event.Operation]; !ok {
				sent[event.Operation] = event
			}
		case event.Kind == eventlog.OperationAnswered && event.Outcome == checker.OperationAccepted && !seen[event.Operation]:
			seen[event.Operation] = true
			measured = append(measured, measureOperation(events, zones, sent[event.Operation], event))
		}
	}
	return measured
}

func measureOperation(events []eventlog.Event, zones map[string]string, sent, answered eventlog.Event) Operation {
	operation := Operation{
		ID: answered.Operation, Detail: answered.Detail, Zone: sent.Zone, Version: answered.Version, At: sent.At,
		Acknowledged: time.Duration(answered.At - sent.At),
	}
	from := sort.Search(len(events), func(i int) bool { return events[i].At >= sent.At })
	for _, event := range events[from:] {
		if event.At > answered.At+int64(inForceWindow) || operation.withdrawnBy(event) {
			break
		}
		if event.Kind == eventlog.ReplicaReceived {
			operation.addReceipt(event, zones[event.Replica])
		}
	}
	return operation
}

// withdrawnBy reports whether an event is the sending of another operation that withdraws
// the evacuation of the same zone.
func (o *Operation) withdrawnBy(event eventlog.Event) bool {
	return event.Kind == eventlog.OperationSent && event.Detail == checker.DetailWithdraw &&
		event.Operation != o.ID && event.Zone == o.Zone
}

func (o *Operation) addReceipt(event eventlog.Event, zone string) {
	since := time.Duration(event.At - o.At)
	switch o.Detail {
	case checker.DetailConfiguration:
		if event.Version < o.Version {
			o.LastWithout = since
		}
	case checker.DetailEvacuate:
		if zone == o.Zone {
			o.LastWithout = since
		}
	case checker.DetailWithdraw:
		if zone == o.Zone && o.FirstReturned == 0 {
			o.FirstReturned = since
		}
	}
}
