package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// Patience of a caller.
const (
	// whereTimeout is how long a gateway may take to say where to go.
	whereTimeout = 2 * time.Second
	// answerGrace is added to the wait that the request states.
	answerGrace = 2 * time.Second
	// whereAttempts bounds the gateways that are asked.
	whereAttempts = 4
	// againPause lies between an answer and the resend after it.
	againPause = 300 * time.Millisecond
	// abandonAfter is the number of events after which a stream is abandoned.
	abandonAfter = 3
)

// Codes of a caller's own outcomes.
const (
	codeUnreachable = "unreachable"
	codeTimeout     = "caller_timeout"
	codeBroken      = "connection_broken"
	codeAbandoned   = "abandoned"
)

// session is one request of one caller with its resends.
type session struct {
	pool     *Pool
	arrival  workload.Request
	plan     plan
	start    time.Time
	attempts atomic.Int32
	prompt   int
}

func newSession(pool *Pool, arrival workload.Request, plan plan) *session {
	prompt := arrival.Generate.PromptTokens
	for _, prefix := range arrival.Generate.Prefixes {
		prompt += prefix.Tokens
	}
	return &session{pool: pool, arrival: arrival, plan: plan, start: time.Now(), prompt: prompt}
}

// event fills in what every line of this request carries.
func (s *session) event(kind eventlog.Kind) eventlog.Event {
	request := s.arrival.Generate
	return eventlog.Event{
		Kind: kind, Source: "callers-" + s.arrival.Region,
		Request: request.RequestID, Region: s.arrival.Region, Class: string(request.Class), Service: request.Model,
		Home: request.Home, HomeRegions: s.arrival.HomeRegions, Repeatable: request.Repeatable, Stream: request.Stream,
		PromptTokens: s.prompt,
	}
}

func (s *session) run() {
	where, ok := s.ask()
	if !ok {
		return
	}
	gateways := append([]string{where.Gateway}, without(where.Alternates, where.Gateway)...)
	if len(gateways) == 1 {
		gateways = append(gateways, firstOther(s.plan.entries, where.Gateway)...)
	}
	if s.plan.double && len(gateways) > 1 {
		s.sendTwice(where.Ticket, gateways)
		return
	}
	s.sendUntilAnswered(where.Ticket, gateways)
	if s.plan.again && len(gateways) > 1 {
		time.Sleep(againPause)
		s.send(where.Ticket, gateways[1])
	}
}

func without(list []string, item string) []string {
	var rest []string
	for _, entry := range list {
		if entry != item {
			rest = append(rest, entry)
		}
	}
	return rest
}

func firstOther(list []string, item string) []string {
	rest := without(list, item)
	return rest[:min(1, len(rest))]
}

// sendTwice sends the same request to two gateways at once.
func (s *session) sendTwice(ticket string, gateways []string) {
	var both sync.WaitGroup
	for _, gateway := range gateways[:2] {
		both.Add(1)
		go func() {
			defer both.Done()
			s.send(ticket, gateway)
		}()
	}
	both.Wait()
}

// sendUntilAnswered resends the same ticket through other gateways after a lost
// connection or a time-out. A repeatable request is resent only if it cannot
// have left.
func (s *session) sendUntilAnswered(ticket string, gateways []string) {
	for _, gateway := range gateways {
		switch s.send(ticket, gateway) {
		case sentAnswered:
			return
		case sentLost:
			if s.arrival.Generate.Repeatable {
				return
			}
		case sentUnreachable:
		}
	}
}

// ask finds out where to go, from the first gateway that can be reached.
func (s *session) ask() (api.WhereAnswer, bool) {
	var last error
	for _, gateway := range s.plan.entries[:min(whereAttempts, len(s.plan.entries))] {
		answer, failure, err := s.where(gateway)
		if err != nil {
			s.pool.avoided.add(gateway)
			last = err
			continue
		}
		if failure != nil {
			s.answered(0, gateway, outcomeOf(failure))
			return api.WhereAnswer{}, false
		}
		asked := s.event(eventlog.CallerAsked)
		asked.Gateway, asked.Target, asked.Version = gateway, answer.Gateway, answer.ConfigurationVersion
		asked.ElapsedMS = s.elapsed()
		s.pool.config.Log.Write(asked)
		return answer, true
	}
	s.answered(0, "", result{outcome: checker.OutcomeUnreachable, code: codeUnreachable, detail: fmt.Sprint(last)})
	return api.WhereAnswer{}, false
}

func (s *session) where(gateway string) (api.WhereAnswer, *api.Error, error) {
	ctx, cancel := context.WithTimeout(context.Background(), whereTimeout)
	defer cancel()
	response, err := s.post(ctx, gateway, api.PathWhere, s.arrival.Where())
	if err != nil {
		return api.WhereAnswer{}, nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		failure, err := readError(response)
		return api.WhereAnswer{}, failure, err
	}
	var answer api.WhereAnswer
	if err := decode(response.Body, &answer); err != nil {
		return api.WhereAnswer{}, nil, err
	}
	return answer, nil, nil
}

func (s *session) post(ctx context.Context, gateway, path string, body any) (*http.Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encoding: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+path, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	// A resend is the caller's decision, never its HTTP library's.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return s.pool.client.Do(request)
}

// sent says how one attempt ended for the caller.
type sent int

const (
	sentAnswered    sent = iota
	sentLost             // the connection broke, or the wait was over
	sentUnreachable      // nothing left
)

// send makes one attempt and logs it.
func (s *session) send(ticket, gateway string) sent {
	attempt := int(s.attempts.Add(1))
	line := s.event(eventlog.CallerSent)
	line.Attempt, line.Gateway = attempt, gateway
	s.pool.config.Log.Write(line)
	request := s.arrival.Generate
	request.Ticket = ticket
	wait := time.Duration(request.WaitMS)*time.Millisecond + answerGrace
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	response, err := s.post(ctx, gateway, api.PathRequests, request)
	if err != nil {
		return s.lost(attempt, gateway, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		failure, err := readError(response)
		if err != nil {
			return s.lost(attempt, gateway, err)
		}
		s.answered(attempt, gateway, outcomeOf(failure))
		return sentAnswered
	}
	reader := answerReader{session: s, attempt: attempt, gateway: gateway}
	got := reader.read(response)
	s.answered(attempt, gateway, got)
	if got.code == codeBroken {
		return sentLost
	}
	return sentAnswered
}

// lost logs an attempt without an answer.
func (s *session) lost(attempt int, gateway string, err error) sent {
	s.pool.avoided.add(gateway)
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		s.answered(attempt, gateway, result{outcome: checker.OutcomeUnreachable, code: codeUnreachable, detail: err.Error()})
		return sentUnreachable
	}
	code := codeBroken
	if errors.Is(err, context.DeadlineExceeded) {
		code = codeTimeout
	}
	s.answered(attempt, gateway, result{outcome: string(api.OutcomeUnknown), code: code, detail: err.Error()})
	return sentLost
}

// result is one attempt's end as the caller sees it.
type result struct {
	outcome  string
	code     string
	detail   string
	run      string
	replica  string
	sequence int
	tokens   int
	cached   int
	version  uint64
	firstMS  float64
	maxGapMS float64
}

func outcomeOf(failure *api.Error) result {
	return result{outcome: string(failure.Outcome), code: string(failure.Code), detail: failure.Message}
}

func (s *session) answered(attempt int, gateway string, got result) {
	line := s.event(eventlog.CallerAnswered)
	line.Attempt, line.Gateway = attempt, gateway
	line.Outcome, line.Code, line.Detail = got.outcome, got.code, got.detail
	line.Run, line.Replica, line.Sequence, line.Version = got.run, got.replica, got.sequence, got.version
	line.Tokens, line.CachedTokens = got.tokens, got.cached
	line.FirstTokenMS, line.MaxGapMS, line.ElapsedMS = got.firstMS, got.maxGapMS, s.elapsed()
	s.pool.config.Log.Write(line)
}

func (s *session) elapsed() float64 {
	return milliseconds(time.Since(s.start))
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

func decode(body io.Reader, into any) error {
	if err := json.NewDecoder(io.LimitReader(body, api.MaxReplicaAnswer)).Decode(into); err != nil {
		return fmt.Errorf("decoding: %w", err)
	}
	return nil
}

// readError reads a typed error; an untyped one is an error of its own.
func readError(response *http.Response) (*api.Error, error) {
	var body api.ErrorBody
	if err := decode(response.Body, &body); err != nil {
		return nil, err
	}
	if body.Error == nil || body.Error.Code == "" || body.Error.Outcome == "" {
		return nil, fmt.Errorf("status %d without a typed error", response.StatusCode)
	}
	return body.Error, nil
}
