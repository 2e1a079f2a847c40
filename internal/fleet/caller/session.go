package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/workload"
)

const (
	// whereTimeout limits the time of one "where" query, which asks a gateway where to send
	// the request.
	whereTimeout = 2 * time.Second
	// whereAttempts limits the number of gateways that are queried.
	whereAttempts = 4
	// answerGrace is added to the maximum wait stated in the request.
	answerGrace = 2 * time.Second
	// resendDelay is the time between an answer and the following resend.
	resendDelay = 300 * time.Millisecond
	// abandonAfter is the number of events after which a stream is abandoned.
	abandonAfter = 3
)

// Codes of outcomes that callers determine themselves.
const (
	codeUnreachable = "unreachable"
	codeTimeout     = "caller_timeout"
	codeBroken      = "connection_broken"
	codeAbandoned   = "abandoned"
)

// session is one request of a caller, including all attempts to send it.
type session struct {
	pool         *Pool
	arrival      workload.Request
	treatment    treatment
	start        time.Time
	attempts     atomic.Int32
	promptTokens int // including prefixes
}

func newSession(pool *Pool, arrival workload.Request, drawn treatment) *session {
	promptTokens := arrival.Generate.PromptTokens
	for _, prefix := range arrival.Generate.Prefixes {
		promptTokens += prefix.Tokens
	}
	return &session{pool: pool, arrival: arrival, treatment: drawn, start: time.Now(), promptTokens: promptTokens}
}

func (s *session) run() {
	where, ok := s.askWhere()
	if !ok {
		return
	}
	gateways := s.gatewaysOf(where)
	if s.treatment.duplicate && len(gateways) > 1 {
		s.sendTwice(where.Ticket, gateways)
		return
	}
	s.sendUntilAnswered(where.Ticket, gateways)
	if s.treatment.resend && len(gateways) > 1 {
		time.Sleep(resendDelay)
		s.send(where.Ticket, gateways[1])
	}
}

// gatewaysOf returns the gateways to try for a request: the one that it was directed to,
// then the alternates. If there are no alternates, it adds another known gateway.
func (s *session) gatewaysOf(where api.WhereAnswer) []string {
	isDirected := func(gateway string) bool { return gateway == where.Gateway }
	alternates := slices.DeleteFunc(slices.Clone(where.Alternates), isDirected)
	if len(alternates) == 0 {
		known := slices.DeleteFunc(slices.Clone(s.treatment.gateways), isDirected)
		alternates = known[:min(1, len(known))]
	}
	return append([]string{where.Gateway}, alternates...)
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

// sendUntilAnswered sends the request to one gateway after the other until it is answered,
// with the same ticket each time. After a lost connection or a timeout, a repeatable request
// is not resent, because a gateway may have received it.
func (s *session) sendUntilAnswered(ticket string, gateways []string) {
	for _, gateway := range gateways {
		switch s.send(ticket, gateway) {
		case attemptAnswered:
			return
		case attemptLost:
			if s.arrival.Generate.Repeatable {
				return
			}
		case attemptUnreachable:
		}
	}
}

// askWhere asks the first reachable gateway where to send the request. If no gateway can be
// reached or the gateway returns an error, it logs this as the result of the request and
// returns false.
func (s *session) askWhere() (api.WhereAnswer, bool) {
	var last error
	gateways := s.treatment.gateways
	for _, gateway := range gateways[:min(whereAttempts, len(gateways))] {
		answer, failure, err := s.queryWhere(gateway)
		if err != nil {
			s.pool.suspects.add(gateway)
			last = err
			continue
		}
		if failure != nil {
			s.logAnswered(0, gateway, resultOf(failure))
			return api.WhereAnswer{}, false
		}
		s.logRouted(gateway, answer)
		return answer, true
	}
	s.logAnswered(0, "", result{outcome: checker.OutcomeUnreachable, code: codeUnreachable, detail: fmt.Sprint(last)})
	return api.WhereAnswer{}, false
}

// queryWhere asks one gateway queryWhere to send the request. It returns an answer, or the gateway's
// typed error, or the reason why there is no valid response.
func (s *session) queryWhere(gateway string) (api.WhereAnswer, *api.Error, error) {
	ctx, cancel := context.WithTimeout(context.Background(), whereTimeout)
	defer cancel()
	response, err := s.post(ctx, gateway, api.PathWhere, s.arrival.WhereRequest())
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

// attemptEnd classifies how an attempt ended for the caller.
type attemptEnd int

const (
	attemptAnswered attemptEnd = iota
	// attemptLost means that the connection broke or the attempt timed out.
	attemptLost
	// attemptUnreachable means that the connection could not be established, so that no
	// byte was sent.
	attemptUnreachable
)

// send makes one attempt and logs it.
func (s *session) send(ticket, gateway string) attemptEnd {
	attempt := int(s.attempts.Add(1))
	s.logSent(attempt, gateway)
	request := s.arrival.Generate
	request.Ticket = ticket
	wait := time.Duration(request.WaitMS)*time.Millisecond + answerGrace
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	response, err := s.post(ctx, gateway, api.PathRequests, request)
	if err != nil {
		return s.logLostAttempt(attempt, gateway, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		failure, err := readError(response)
		if err != nil {
			return s.logLostAttempt(attempt, gateway, err)
		}
		s.logAnswered(attempt, gateway, resultOf(failure))
		return attemptAnswered
	}
	reader := answerReader{session: s, attempt: attempt, gateway: gateway}
	got := reader.read(response)
	s.logAnswered(attempt, gateway, got)
	if got.code == codeBroken {
		return attemptLost
	}
	return attemptAnswered
}

// logLostAttempt logs an attempt without a valid response and classifies its end.
func (s *session) logLostAttempt(attempt int, gateway string, err error) attemptEnd {
	s.pool.suspects.add(gateway)
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		s.logAnswered(attempt, gateway, result{outcome: checker.OutcomeUnreachable, code: codeUnreachable, detail: err.Error()})
		return attemptUnreachable
	}
	code := codeBroken
	if errors.Is(err, context.DeadlineExceeded) {
		code = codeTimeout
	}
	s.logAnswered(attempt, gateway, result{outcome: string(api.OutcomeUnknown), code: code, detail: err.Error()})
	return attemptLost
}

// result is the result of one attempt as seen by the caller.
type result struct {
	outcome string
	code    string
	// detail is the first fault that the caller found in the answer, or the message
	// of an error.
	detail       string
	run          string
	replica      string
	sequence     int // of the stream's end event
	tokens       int
	cachedTokens int
	version      uint64 // of the configuration
	firstTokenMS float64
	maxGapMS     float64 // longest time between two chunks of a stream
}

func resultOf(failure *api.Error) result {
	return result{outcome: string(failure.Outcome), code: string(failure.Code), detail: failure.Message}
}
