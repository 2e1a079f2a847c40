package checker

import (
	"sort"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Details of orders and faults that the checker reads.
const (
	DetailConfiguration = "configuration"
	DetailEvacuate      = "evacuate"
	DetailWithdraw      = "withdraw"
	DetailEvacuated     = "evacuated"
	DetailWithdrawn     = "withdrawn"
	DetailWhole         = "whole"
	DetailLate          = "late" // whole, after a pause
	// DetailCleanEnd is a caller's word for a stream that closed cleanly after an
	// error event.
	DetailCleanEnd = "a clean end after an error event"
	DetailStall    = "stall" // whole, after a pause within the stream

	FaultKill   = "kill"
	FaultFreeze = "freeze"
	FaultThaw   = "thaw"
	FaultWipe   = "wipe"
	FaultStart  = "start"
	FaultCut    = "cut"
	FaultHeal   = "heal"
	FaultCrowd  = "crowd"
	FaultCalm   = "calm"
	// FaultRepaired ends the loss of a disk: the control nodes report that a
	// newcomer holds everything.
	FaultRepaired = "repaired"
)

// Classes of targets of faults, in the Class field of a fault event.
const (
	TargetControl  = "control"
	TargetControls = "controls"
	TargetGateway  = "gateway"
	TargetFleet    = "fleet"
	TargetZone     = "zone"
	TargetRegion   = "region"
	TargetReplica  = "replica"
	TargetLoad     = "load"
)

// OutcomeUnreachable is a caller's own outcome: no gateway could be reached.
const OutcomeUnreachable = "unreachable"

// request is everything that callers and replicas wrote about one request id.
type request struct {
	id          string
	first       eventlog.Event // first line of its caller
	sent        []eventlog.Event
	answers     []eventlog.Event
	executed    []eventlog.Event
	pieces      map[int][]eventlog.Event // by the caller's attempt
	abandoned   bool
	repeatable  bool
	homeRegions []string
}

// succeeded reports whether any answer is a success.
func (r *request) succeeded() bool {
	for _, answer := range r.answers {
		if answer.Outcome == string(api.OutcomeSuccess) {
			return true
		}
	}
	return false
}

// disturbed reports whether its caller got no success for a reason that a
// bystander of a loss should not feel.
func (r *request) disturbed() bool {
	if r.abandoned || r.succeeded() {
		return false
	}
	for _, answer := range r.answers {
		if answer.Outcome != string(api.OutcomeFailed) {
			return true
		}
	}
	return false
}

// log is the index over one run's events.
type log struct {
	events   []eventlog.Event
	requests map[string]*request
	ordered  []*request // those with caller lines, by their first line
	received []eventlog.Event
	executed []eventlog.Event
	ended    map[string]eventlog.Event // by run
	orders   []*order
	reads    []eventlog.Event
	faults   []eventlog.Event
	losses   []*loss
	zone     map[string]string // by replica
	region   map[string]string // by replica
	controls []eventlog.Event  // inventory lines of control nodes
	end      int64
}

func newLog(events []eventlog.Event) *log {
	l := &log{
		events:   events,
		requests: map[string]*request{},
		ended:    map[string]eventlog.Event{},
		zone:     map[string]string{},
		region:   map[string]string{},
	}
	orders := newOrderIndex()
	for _, event := range events {
		l.add(event)
		orders.add(event)
	}
	l.orders = orders.list
	l.losses = findLosses(l.faults)
	if len(events) > 0 {
		l.end = events[len(events)-1].At
	}
	return l
}

func (l *log) add(event eventlog.Event) {
	switch event.Kind {
	case eventlog.Inventory:
		if event.Class == TargetControl {
			l.controls = append(l.controls, event)
			return
		}
		l.zone[event.Replica] = event.Zone
		l.region[event.Replica] = event.Region
	case eventlog.ReplicaReceived:
		l.received = append(l.received, event)
	case eventlog.ReplicaExecuted:
		l.executed = append(l.executed, event)
		of := l.request(event.Request)
		of.executed = append(of.executed, event)
	case eventlog.ReplicaEnded:
		l.ended[event.Run] = event
	case eventlog.CallerAsked, eventlog.CallerSent, eventlog.CallerPiece, eventlog.CallerAnswered, eventlog.CallerAbandoned:
		l.addCaller(event)
	case eventlog.ConfigurationRead, eventlog.ZonesRead:
		l.reads = append(l.reads, event)
	case eventlog.FaultInjected:
		l.faults = append(l.faults, event)
	}
}

func (l *log) addCaller(event eventlog.Event) {
	of := l.request(event.Request)
	if of.first.At == 0 {
		of.first = event
		of.repeatable = event.Repeatable
		of.homeRegions = event.HomeRegions
		l.ordered = append(l.ordered, of)
	}
	switch event.Kind {
	case eventlog.CallerSent:
		of.sent = append(of.sent, event)
	case eventlog.CallerPiece:
		of.pieces[event.Attempt] = append(of.pieces[event.Attempt], event)
	case eventlog.CallerAnswered:
		of.answers = append(of.answers, event)
	case eventlog.CallerAbandoned:
		of.abandoned = true
	}
}

func (l *log) request(id string) *request {
	of, ok := l.requests[id]
	if !ok {
		of = &request{id: id, pieces: map[int][]eventlog.Event{}}
		l.requests[id] = of
	}
	return of
}

// receivedAfter returns the replicas' receipts later than at.
func (l *log) receivedAfter(at int64) []eventlog.Event {
	from := sort.Search(len(l.received), func(i int) bool { return l.received[i].At > at })
	return l.received[from:]
}

// requestsBetween returns the callers' requests that began in [from, to).
func (l *log) requestsBetween(from, to int64) []*request {
	first := sort.Search(len(l.ordered), func(i int) bool { return l.ordered[i].first.At >= from })
	last := sort.Search(len(l.ordered), func(i int) bool { return l.ordered[i].first.At >= to })
	return l.ordered[first:last]
}

// faultBetween returns the first fault in (from, to] that match accepts.
func (l *log) faultBetween(from, to int64, match func(eventlog.Event) bool) (eventlog.Event, bool) {
	for _, fault := range l.faults {
		if fault.At > from && fault.At <= to && match(fault) {
			return fault, true
		}
	}
	return eventlog.Event{}, false
}

// replicaOf names the replica of a replica's line.
func replicaOf(event eventlog.Event) string {
	if event.Replica != "" {
		return event.Replica
	}
	return event.Source
}

// zoneOf is the zone of a replica's line.
func (l *log) zoneOf(event eventlog.Event) string {
	if zone, ok := l.zone[replicaOf(event)]; ok {
		return zone
	}
	return event.Zone
}

// regionOf is the region of a replica's line.
func (l *log) regionOf(event eventlog.Event) string {
	if region, ok := l.region[replicaOf(event)]; ok {
		return region
	}
	return event.Region
}

// after is the time from one line to a later one.
func after(earlier, later eventlog.Event) time.Duration {
	return time.Duration(later.At - earlier.At)
}

// order is one operator's order with every send and every answer.
type order struct {
	id      string
	sends   []eventlog.Event
	answers []eventlog.Event // definite ones: accepted or refused
}

// Outcomes of an order in OrderAnswered.
const (
	OrderAccepted = "accepted"
	OrderRefused  = "refused"
	OrderUnknown  = "unknown"
)

func (o *order) accepted() (eventlog.Event, bool) {
	for _, answer := range o.answers {
		if answer.Outcome == OrderAccepted {
			return answer, true
		}
	}
	return eventlog.Event{}, false
}

// refused reports whether every definite answer is a refusal, and there is one.
func (o *order) refused() (eventlog.Event, bool) {
	if len(o.answers) == 0 {
		return eventlog.Event{}, false
	}
	if _, ok := o.accepted(); ok {
		return eventlog.Event{}, false
	}
	return o.answers[0], true
}

func (o *order) detail() string { return o.sends[0].Detail }
func (o *order) zone() string   { return o.sends[0].Zone }
func (o *order) base() uint64   { return o.sends[0].Base }

// digest identifies the document of a configuration order.
func (o *order) digest() string { return o.sends[0].Target }

type orderIndex struct {
	byID map[string]*order
	list []*order
}

func newOrderIndex() *orderIndex {
	return &orderIndex{byID: map[string]*order{}}
}

func (x *orderIndex) add(event eventlog.Event) {
	switch event.Kind {
	case eventlog.OrderSent:
		of, ok := x.byID[event.Order]
		if !ok {
			of = &order{id: event.Order}
			x.byID[event.Order] = of
			x.list = append(x.list, of)
		}
		of.sends = append(of.sends, event)
	case eventlog.OrderAnswered:
		of, ok := x.byID[event.Order]
		if !ok || event.Outcome == OrderUnknown {
			return
		}
		of.answers = append(of.answers, event)
	}
}
