package checker

import (
	"sort"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// index groups the events of one run by subject. All slices are ordered by time.
type index struct {
	events   []eventlog.Event
	requests map[string]*request // by id
	// ordered holds the requests for which a caller logged an event, ordered by the
	// first such event.
	ordered    []*request
	received   []eventlog.Event          // logged by replicas
	executed   []eventlog.Event          // logged by replicas
	ended      map[string]eventlog.Event // ends of executions, by run
	operations []*operation              // ordered by first send
	reads      []eventlog.Event
	faults     []eventlog.Event // includes the ends of faults
	failures   []*failure
	zones      map[string]string // by replica
	regions    map[string]string // by replica
	controls   []eventlog.Event  // inventory of the control nodes
	end        int64             // time of the last event
}

func newIndex(events []eventlog.Event) *index {
	x := &index{
		events:   events,
		requests: map[string]*request{},
		ended:    map[string]eventlog.Event{},
		zones:    map[string]string{},
		regions:  map[string]string{},
	}
	operations := newOperationIndex()
	for _, event := range events {
		x.add(event)
		operations.add(event)
	}
	x.operations = operations.ordered
	x.failures = findFailures(x.faults)
	if len(events) > 0 {
		x.end = events[len(events)-1].At
	}
	return x
}

func (x *index) add(event eventlog.Event) {
	switch event.Kind {
	case eventlog.Inventory:
		if event.Class == TargetControl {
			x.controls = append(x.controls, event)
			return
		}
		x.zones[event.Replica] = event.Zone
		x.regions[event.Replica] = event.Region
	case eventlog.ReplicaReceived:
		x.received = append(x.received, event)
	case eventlog.ReplicaExecuted:
		x.executed = append(x.executed, event)
		request := x.request(event.Request)
		request.executed = append(request.executed, event)
	case eventlog.ReplicaEnded:
		x.ended[event.Run] = event
	case eventlog.CallerRouted, eventlog.CallerSent, eventlog.CallerChunk, eventlog.CallerAnswered, eventlog.CallerAbandoned:
		x.addCaller(event)
	case eventlog.ConfigurationRead, eventlog.ZonesRead:
		x.reads = append(x.reads, event)
	case eventlog.FaultInjected:
		x.faults = append(x.faults, event)
	}
}

func (x *index) addCaller(event eventlog.Event) {
	request := x.request(event.Request)
	if request.first.At == 0 {
		request.first = event
		request.repeatable = event.Repeatable
		request.homeRegions = event.HomeRegions
		x.ordered = append(x.ordered, request)
	}
	switch event.Kind {
	case eventlog.CallerChunk:
		request.chunks[event.Attempt] = append(request.chunks[event.Attempt], event)
	case eventlog.CallerAnswered:
		request.answers = append(request.answers, event)
	case eventlog.CallerAbandoned:
		request.abandoned = true
	}
}

// request returns the request with an id and adds it if it is unknown.
func (x *index) request(id string) *request {
	if known, ok := x.requests[id]; ok {
		return known
	}
	added := &request{id: id, chunks: map[int][]eventlog.Event{}}
	x.requests[id] = added
	return added
}

// receivedAfter returns the requests that replicas received later than at.
func (x *index) receivedAfter(at int64) []eventlog.Event {
	from := sort.Search(len(x.received), func(i int) bool { return x.received[i].At > at })
	return x.received[from:]
}

// requestsBetween returns the requests whose first caller event is in [from, to).
func (x *index) requestsBetween(from, to int64) []*request {
	first := sort.Search(len(x.ordered), func(i int) bool { return x.ordered[i].first.At >= from })
	last := sort.Search(len(x.ordered), func(i int) bool { return x.ordered[i].first.At >= to })
	return x.ordered[first:last]
}

// replicaOf returns the name of the replica that an event is about; without one, that of
// the source that logged it.
func replicaOf(event eventlog.Event) string {
	if event.Replica != "" {
		return event.Replica
	}
	return event.Source
}

// zoneOf returns the zone of the replica that an event is about: the zone in the
// inventory or, if the replica is missing there, the zone in the event.
func (x *index) zoneOf(event eventlog.Event) string {
	if zone, ok := x.zones[replicaOf(event)]; ok {
		return zone
	}
	return event.Zone
}

// regionOf returns the region of the replica that an event is about. Like zoneOf, it
// prefers the inventory to the event.
func (x *index) regionOf(event eventlog.Event) string {
	if region, ok := x.regions[replicaOf(event)]; ok {
		return region
	}
	return event.Region
}

// after returns the time from one event to a later one.
func after(earlier, later eventlog.Event) time.Duration {
	return time.Duration(later.At - earlier.At)
}
