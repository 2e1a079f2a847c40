// Package report summarizes the event logs of a run in figures, as text for a terminal
// and as one self-contained HTML page.
package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// Final outcomes of requests over all their attempts.
const (
	OutcomeSuccess     = string(api.OutcomeSuccess)
	OutcomeRefused     = string(api.OutcomeRefused)
	OutcomeFailed      = string(api.OutcomeFailed)
	OutcomeUnknown     = string(api.OutcomeUnknown)
	OutcomeUnreachable = checker.OutcomeUnreachable
	OutcomeAbandoned   = "abandoned"
	OutcomeUnanswered  = "unanswered"
)

// Request summarizes one request over all its attempts.
type Request struct {
	ID string
	// At is the time of its first event, in nanoseconds of the log.
	At    int64
	Class string
	// Region is the region of the caller.
	Region string
	Stream bool
	// Outcome is the final outcome, and Code its error code.
	Outcome string
	Code    string
	// FirstTokenMS and ElapsedMS are the times to the first token and to the end of the
	// first successful answer, in milliseconds.
	FirstTokenMS float64
	ElapsedMS    float64
	PromptTokens int
	CachedTokens int
}

// Latency holds the latency distributions of one class of requests, in microseconds.
type Latency struct {
	// FirstToken is the time to the first token of a stream.
	FirstToken *hdrhistogram.Histogram
	// Elapsed is the time to the end of the answer.
	Elapsed *hdrhistogram.Histogram
	// InterToken is the time between two events of a stream.
	InterToken *hdrhistogram.Histogram
}

// Range of the histograms, in microseconds, and their precision.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newLatency() *Latency {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	}
	return &Latency{FirstToken: histogram(), Elapsed: histogram(), InterToken: histogram()}
}

// Summary holds the figures of a run.
type Summary struct {
	Requests []*Request
	// Latency holds the latencies of successful requests by class.
	Latency map[string]*Latency
	// Outcomes counts requests by their final outcome.
	Outcomes map[string]int
	// Codes counts unsuccessful requests by outcome and error code.
	Codes map[string]int
	// Placements counts executions by region.
	Placements map[string]int
	// CrossRegion counts executions outside of the caller's region.
	CrossRegion int
	Executed    int
	// FirstAttempts and Retries count the attempts that reached a replica.
	FirstAttempts int
	Retries       int
	// Versions counts the requests that replicas received by the configuration version
	// that placed them.
	Versions   map[uint64]int
	Operations []Operation
	Faults     []eventlog.Event
	// Acknowledgements are the answers that accepted an operation.
	Acknowledgements []eventlog.Event
	// Start and End are the times at which the first and the last request began,
	// in nanoseconds of the log.
	Start, End int64
	// CachedTokens is the number of PromptTokens that were found in a cache. Both count
	// successful requests only.
	CachedTokens, PromptTokens int

	executions []eventlog.Event
	requests   map[string]*Request // by id
	regions    map[string]string   // by replica
	zones      map[string]string   // by replica
	lastChunk  map[attemptKey]int64
}

// attemptKey identifies one attempt of a request.
type attemptKey struct {
	request string
	attempt int
}

// Summarize computes the figures of events that are ordered by their timestamps.
func Summarize(events []eventlog.Event) *Summary {
	s := &Summary{
		Latency: map[string]*Latency{}, Outcomes: map[string]int{}, Codes: map[string]int{},
		Placements: map[string]int{}, Versions: map[uint64]int{},
		requests: map[string]*Request{}, regions: map[string]string{}, zones: map[string]string{}, lastChunk: map[attemptKey]int64{},
	}
	for _, event := range events {
		s.add(event)
	}
	for _, request := range s.Requests {
		s.count(request)
	}
	s.countCrossRegion()
	s.Operations = measureOperations(events, s.zones)
	return s
}

func (s *Summary) add(event eventlog.Event) {
	switch event.Kind {
	case eventlog.Inventory:
		s.regions[event.Replica], s.zones[event.Replica] = event.Region, event.Zone
	case eventlog.CallerRouted, eventlog.CallerSent:
		s.request(event)
	case eventlog.CallerChunk:
		s.addChunk(event)
	case eventlog.CallerAnswered:
		s.request(event).addAnswer(event)
	case eventlog.CallerAbandoned:
		s.request(event).Outcome = OutcomeAbandoned
	case eventlog.ReplicaReceived:
		s.Versions[event.Version]++
		if event.Attempt > 1 {
			s.Retries++
		} else {
			s.FirstAttempts++
		}
	case eventlog.ReplicaExecuted:
		s.executions = append(s.executions, event)
		s.Placements[event.Region]++
		s.Executed++
	case eventlog.FaultInjected:
		s.Faults = append(s.Faults, event)
	case eventlog.OperationAnswered:
		if event.Outcome == checker.OperationAccepted {
			s.Acknowledgements = append(s.Acknowledgements, event)
		}
	}
}

// request returns the request that a caller's event belongs to, and adds it if the event
// is its first.
func (s *Summary) request(event eventlog.Event) *Request {
	if known, ok := s.requests[event.Request]; ok {
		return known
	}
	added := &Request{
		ID: event.Request, At: event.At, Class: event.Class, Region: event.Region, Stream: event.Stream,
		Outcome: OutcomeUnanswered, PromptTokens: event.PromptTokens,
	}
	s.requests[event.Request] = added
	s.Requests = append(s.Requests, added)
	if s.Start == 0 {
		s.Start = event.At
	}
	s.End = event.At
	return added
}

func (s *Summary) addChunk(event eventlog.Event) {
	key := attemptKey{event.Request, event.Attempt}
	if last, ok := s.lastChunk[key]; ok {
		record(s.latency(event.Class).InterToken, (event.At-last)/int64(time.Microsecond))
	}
	s.lastChunk[key] = event.At
}

// addAnswer records the first success or, before any success, the latest answer.
func (r *Request) addAnswer(event eventlog.Event) {
	if r.Outcome == OutcomeSuccess || r.Outcome == OutcomeAbandoned {
		return
	}
	r.Outcome, r.Code = event.Outcome, event.Code
	if event.Outcome != OutcomeSuccess {
		return
	}
	r.FirstTokenMS, r.ElapsedMS, r.CachedTokens = event.FirstTokenMS, event.ElapsedMS, event.CachedTokens
}

// count adds the final state of a request to the figures.
func (s *Summary) count(request *Request) {
	s.Outcomes[request.Outcome]++
	if request.Outcome != OutcomeSuccess {
		s.Codes[request.Outcome+"/"+request.Code]++
		return
	}
	latency := s.latency(request.Class)
	if request.Stream {
		record(latency.FirstToken, micros(request.FirstTokenMS))
	}
	record(latency.Elapsed, micros(request.ElapsedMS))
	s.CachedTokens += request.CachedTokens
	s.PromptTokens += request.PromptTokens
}

func micros(milliseconds float64) int64 { return int64(milliseconds * 1000) }

// record adds a value, in microseconds, to a histogram. A value outside of the
// histogram's range is clamped to it.
func record(histogram *hdrhistogram.Histogram, value int64) {
	if err := histogram.RecordValue(min(highestMicros, max(lowestMicros, value))); err != nil {
		panic("report: a histogram rejected a value within its range: " + err.Error())
	}
}

func (s *Summary) latency(class string) *Latency {
	latency, ok := s.Latency[class]
	if !ok {
		latency = newLatency()
		s.Latency[class] = latency
	}
	return latency
}

func (s *Summary) countCrossRegion() {
	for _, executed := range s.executions {
		request, ok := s.requests[executed.Request]
		if ok && request.Region != s.regionOf(executed) {
			s.CrossRegion++
		}
	}
}

// regionOf returns the region of the replica that an event is about: the region in the
// inventory or, if the replica is missing there, the region in the event.
func (s *Summary) regionOf(event eventlog.Event) string {
	if region, ok := s.regions[event.Replica]; ok {
		return region
	}
	return event.Region
}

// SuccessRatio returns the ratio of successful requests, 0 to 1, to all requests that
// their callers did not abandon.
func (s *Summary) SuccessRatio() float64 {
	counted := len(s.Requests) - s.Outcomes[OutcomeAbandoned]
	if counted == 0 {
		return 0
	}
	return float64(s.Outcomes[OutcomeSuccess]) / float64(counted)
}
