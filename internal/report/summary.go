// Package report condenses the event logs of a run into figures, into text for
// a terminal and into one HTML page that needs nothing else.
package report

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Outcomes of whole requests, over all their attempts.
const (
	OutcomeSuccess     = string(api.OutcomeSuccess)
	OutcomeRefused     = string(api.OutcomeRefused)
	OutcomeFailed      = string(api.OutcomeFailed)
	OutcomeUnknown     = string(api.OutcomeUnknown)
	OutcomeUnreachable = checker.OutcomeUnreachable
	OutcomeAbandoned   = "abandoned"
	OutcomeUnanswered  = "unanswered"
)

// Request is one request over all its attempts.
type Request struct {
	ID      string
	At      int64 // nanoseconds of the log
	Class   string
	Region  string // of its caller
	Stream  bool
	Outcome string
	Code    string
	// FirstTokenMS and ElapsedMS are those of its first success.
	FirstTokenMS float64
	ElapsedMS    float64
	PromptTokens int
	CachedTokens int
}

// Latency holds the distributions of one class, in microseconds.
type Latency struct {
	FirstToken *hdrhistogram.Histogram
	Elapsed    *hdrhistogram.Histogram
	Between    *hdrhistogram.Histogram
}

// Bounds of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

func newLatency() *Latency {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, digits)
	}
	return &Latency{FirstToken: histogram(), Elapsed: histogram(), Between: histogram()}
}

// InForce says how an order took hold, judged from replicas' receipts.
type InForce struct {
	Order   string
	Detail  string
	Zone    string
	Version uint64
	At      int64
	// Acknowledged is the time from the first send to the acknowledgement, and
	// LastOld to the last request that was decided without the order.
	Acknowledged time.Duration
	LastOld      time.Duration
	// FirstBack is, for a withdrawal, the time to the first request in the zone.
	FirstBack time.Duration
}

// Summary holds the figures of a run.
type Summary struct {
	Requests []*Request
	Latency  map[string]*Latency
	Outcomes map[string]int
	// Codes counts the codes of requests without success.
	Codes      map[string]int
	Placements map[string]int // executions by region
	Spilled    int
	Executed   int
	First      int // first attempts that reached a replica
	Further    int
	Versions   map[uint64]int
	InForce    []InForce
	Faults     []eventlog.Event
	Orders     []eventlog.Event
	// Start and End are the first and last request, in nanoseconds of the log.
	Start, End int64
	// CachedTokens of PromptTokens were found in a cache, successes alone.
	CachedTokens, PromptTokens int

	executions []eventlog.Event
	byID       map[string]*Request
	regions    map[string]string
	zones      map[string]string
	lastPiece  map[pieceKey]int64
}

type pieceKey struct {
	request string
	attempt int
}

// Summarize reads events that are ordered by their stamps.
func Summarize(events []eventlog.Event) *Summary {
	s := &Summary{
		Latency: map[string]*Latency{}, Outcomes: map[string]int{}, Codes: map[string]int{},
		Placements: map[string]int{}, Versions: map[uint64]int{},
		byID: map[string]*Request{}, regions: map[string]string{}, zones: map[string]string{}, lastPiece: map[pieceKey]int64{},
	}
	for _, event := range events {
		s.add(event)
	}
	for _, request := range s.Requests {
		s.count(request)
	}
	s.countSpill()
	s.measureOrders(events)
	return s
}

func (s *Summary) add(event eventlog.Event) {
	switch event.Kind {
	case eventlog.Inventory:
		s.regions[event.Replica], s.zones[event.Replica] = event.Region, event.Zone
	case eventlog.CallerAsked, eventlog.CallerSent:
		s.request(event)
	case eventlog.CallerPiece:
		s.addPiece(event)
	case eventlog.CallerAnswered:
		s.addAnswer(s.request(event), event)
	case eventlog.CallerAbandoned:
		s.request(event).Outcome = OutcomeAbandoned
	case eventlog.ReplicaReceived:
		s.Versions[event.Version]++
		if event.Attempt > 1 {
			s.Further++
		} else {
			s.First++
		}
	case eventlog.ReplicaExecuted:
		s.executions = append(s.executions, event)
		s.Placements[event.Region]++
		s.Executed++
	case eventlog.FaultInjected:
		s.Faults = append(s.Faults, event)
	case eventlog.OrderAnswered:
		if event.Outcome == checker.OrderAccepted {
			s.Orders = append(s.Orders, event)
		}
	}
}

func (s *Summary) request(event eventlog.Event) *Request {
	of, ok := s.byID[event.Request]
	if !ok {
		of = &Request{
			ID: event.Request, At: event.At, Class: event.Class, Region: event.Region, Stream: event.Stream,
			Outcome: OutcomeUnanswered, PromptTokens: event.PromptTokens,
		}
		s.byID[event.Request] = of
		s.Requests = append(s.Requests, of)
		if s.Start == 0 {
			s.Start = event.At
		}
		s.End = event.At
	}
	return of
}

func (s *Summary) addPiece(event eventlog.Event) {
	key := pieceKey{event.Request, event.Attempt}
	if last, ok := s.lastPiece[key]; ok {
		record(s.latency(event.Class).Between, (event.At-last)/int64(time.Microsecond))
	}
	s.lastPiece[key] = event.At
}

// addAnswer keeps a success over anything else, and the last of the others.
func (s *Summary) addAnswer(of *Request, event eventlog.Event) {
	if of.Outcome == OutcomeSuccess || of.Outcome == OutcomeAbandoned {
		return
	}
	of.Outcome, of.Code = event.Outcome, event.Code
	if event.Outcome != OutcomeSuccess {
		return
	}
	of.FirstTokenMS, of.ElapsedMS, of.CachedTokens = event.FirstTokenMS, event.ElapsedMS, event.CachedTokens
}

func (s *Summary) count(of *Request) {
	s.Outcomes[of.Outcome]++
	if of.Outcome != OutcomeSuccess {
		s.Codes[of.Outcome+"/"+of.Code]++
		return
	}
	latency := s.latency(of.Class)
	if of.Stream {
		record(latency.FirstToken, micros(of.FirstTokenMS))
	}
	record(latency.Elapsed, micros(of.ElapsedMS))
	s.CachedTokens += of.CachedTokens
	s.PromptTokens += of.PromptTokens
}

func micros(milliseconds float64) int64 { return int64(milliseconds * 1000) }

// record puts a value, in microseconds, into a histogram; one beyond its bounds
// counts as the bound.
func record(histogram *hdrhistogram.Histogram, value int64) {
	if err := histogram.RecordValue(min(highestMicros, max(lowestMicros, value))); err != nil {
		panic("report: a value within the bounds of a histogram was not taken: " + err.Error())
	}
}

func (s *Summary) latency(class string) *Latency {
	of, ok := s.Latency[class]
	if !ok {
		of = newLatency()
		s.Latency[class] = of
	}
	return of
}

func (s *Summary) countSpill() {
	for _, executed := range s.executions {
		if of, ok := s.byID[executed.Request]; ok && of.Region != s.regionOf(executed) {
			s.Spilled++
		}
	}
}

func (s *Summary) regionOf(event eventlog.Event) string {
	if region, ok := s.regions[event.Replica]; ok {
		return region
	}
	return event.Region
}

// SuccessRatio is the part of the requests that were not abandoned which
// succeeded.
func (s *Summary) SuccessRatio() float64 {
	counted := len(s.Requests) - s.Outcomes[OutcomeAbandoned]
	if counted == 0 {
		return 0
	}
	return float64(s.Outcomes[OutcomeSuccess]) / float64(counted)
}

// measureOrders looks from each accepted order to the last request that was
// decided without it.
func (s *Summary) measureOrders(events []eventlog.Event) {
	sent := map[string]eventlog.Event{}
	seen := map[string]bool{}
	for _, event := range events {
		switch {
		case event.Kind == eventlog.OrderSent:
			if _, ok := sent[event.Order]; !ok {
				sent[event.Order] = event
			}
		case event.Kind == eventlog.OrderAnswered && event.Outcome == checker.OrderAccepted && !seen[event.Order]:
			seen[event.Order] = true
			s.InForce = append(s.InForce, s.inForce(events, sent[event.Order], event))
		}
	}
}

// inForceWindow bounds the search for requests decided without an order.
const inForceWindow = 15 * time.Second

func (s *Summary) inForce(events []eventlog.Event, sent, answered eventlog.Event) InForce {
	found := InForce{
		Order: answered.Order, Detail: answered.Detail, Zone: sent.Zone, Version: answered.Version, At: sent.At,
		Acknowledged: time.Duration(answered.At - sent.At),
	}
	from := sort.Search(len(events), func(i int) bool { return events[i].At >= sent.At })
	for _, event := range events[from:] {
		if event.At > answered.At+int64(inForceWindow) {
			break
		}
		if event.Kind == eventlog.OrderSent && event.Detail == checker.DetailWithdraw && event.Order != answered.Order && event.Zone == sent.Zone {
			break
		}
		if event.Kind == eventlog.ReplicaReceived {
			s.noteReceipt(&found, event)
		}
	}
	return found
}

func (s *Summary) noteReceipt(found *InForce, event eventlog.Event) {
	since := time.Duration(event.At - found.At)
	inZone := s.zones[event.Replica] == found.Zone
	switch found.Detail {
	case checker.DetailConfiguration:
		if event.Version < found.Version {
			found.LastOld = since
		}
	case checker.DetailEvacuate:
		if inZone {
			found.LastOld = since
		}
	case checker.DetailWithdraw:
		if inZone && found.FirstBack == 0 {
			found.FirstBack = since
		}
	}
}
