package caller

import (
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// event returns an event with the fields common to all events of this request.
func (s *session) event(kind eventlog.Kind) eventlog.Event {
	request := s.arrival.Generate
	return eventlog.Event{
		Kind: kind, Source: "callers-" + s.arrival.Region,
		Request: request.RequestID, Region: s.arrival.Region, Class: string(request.Class), Service: request.Model,
		Home: request.Home, HomeRegions: s.arrival.HomeRegions, Repeatable: request.Repeatable, Stream: request.Stream,
		PromptTokens: s.promptTokens,
	}
}

func (s *session) logRouted(gateway string, answer api.WhereAnswer) {
	event := s.event(eventlog.CallerRouted)
	event.Gateway, event.Target, event.Version = gateway, answer.Gateway, answer.ConfigurationVersion
	event.ElapsedMS = s.elapsed()
	s.pool.config.Log.Write(event)
}

func (s *session) logSent(attempt int, gateway string) {
	event := s.event(eventlog.CallerSent)
	event.Attempt, event.Gateway = attempt, gateway
	s.pool.config.Log.Write(event)
}

func (s *session) logChunk(attempt int, gateway string, chunk api.StreamChunk) {
	event := s.event(eventlog.CallerChunk)
	event.Attempt, event.Gateway, event.Run, event.Sequence = attempt, gateway, chunk.RunID, chunk.Sequence
	s.pool.config.Log.Write(event)
}

func (s *session) logAbandoned(attempt int, gateway, run string) {
	event := s.event(eventlog.CallerAbandoned)
	event.Attempt, event.Gateway, event.Run = attempt, gateway, run
	s.pool.config.Log.Write(event)
}

func (s *session) logAnswered(attempt int, gateway string, got result) {
	event := s.event(eventlog.CallerAnswered)
	event.Attempt, event.Gateway = attempt, gateway
	event.Outcome, event.Code, event.Detail = got.outcome, got.code, got.detail
	event.Run, event.Replica, event.Sequence, event.Version = got.run, got.replica, got.sequence, got.version
	event.Tokens, event.CachedTokens = got.tokens, got.cachedTokens
	event.FirstTokenMS, event.MaxGapMS, event.ElapsedMS = got.firstTokenMS, got.maxGapMS, s.elapsed()
	s.pool.config.Log.Write(event)
}

// elapsed returns the time since the start of the request in milliseconds.
func (s *session) elapsed() float64 {
	return milliseconds(time.Since(s.start))
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
