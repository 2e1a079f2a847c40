package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/routemap"
)

// stalledStream is a stream that sends one event and then nothing until its request
// is broken off.
type stalledStream struct {
	ctx   context.Context //nolint:containedctx // of the request: Read of an io.Reader takes none
	begun io.Reader
}

func (s *stalledStream) Read(into []byte) (int, error) {
	if count, err := s.begun.Read(into); err == nil {
		return count, nil
	}
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

// TestEveryAnswerEndsAtTheRoutesTime: a request that lasts longer than its route's
// time-out gets its final answer then, whatever its replica does: one that has a part
// of an answer is broken off, and its replica with it.
func TestEveryAnswerEndsAtTheRoutesTime(t *testing.T) {
	const timeout = 2 * time.Second
	answers := map[string]func(ctx context.Context) (*Response, error){
		"no answer": func(ctx context.Context) (*Response, error) {
			<-ctx.Done()
			return nil, &AttemptError{Reason: FailureIndeterminate, Err: ctx.Err()}
		},
		"a head and nothing more": func(ctx context.Context) (*Response, error) {
			return &Response{Status: 200, Header: http.Header{}, EventStream: true, Body: io.NopCloser(&stalledStream{ctx, strings.NewReader("")})}, nil
		},
		"a stream that stalls": func(ctx context.Context) (*Response, error) {
			return &Response{Status: 200, Header: http.Header{}, EventStream: true, Body: io.NopCloser(&stalledStream{ctx, strings.NewReader("id: 1\ndata: a\n\n")})}, nil
		},
		"within an event": func(ctx context.Context) (*Response, error) {
			return &Response{Status: 200, Header: http.Header{}, EventStream: true, Body: io.NopCloser(&stalledStream{ctx, strings.NewReader("id: 1\nda")})}, nil
		},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.configure(func(route *routemap.Route, _ *routemap.Service) {
					route.Kind, route.Resumable, route.MaxAttempts, route.Timeout = routemap.Stream, false, 1, timeout
				})
				f.addReplica("a", "east-1")
				f.answer = func(ctx context.Context, _ *Attempt) (*Response, error) { return answer(ctx) }
				began := time.Now()
				client, refusal := f.serve(func(r *Request) { r.ClientTimeout = time.Minute })
				if took := time.Since(began); took != timeout {
					t.Errorf("ended after %v, want %v", took, timeout)
				}
				if refusal == nil || refusal.Code != CodeTimedOut {
					t.Fatalf("got %+v", refusal)
				}
				if begun := client.status != 0; begun != refusal.ResponseStarted {
					t.Errorf("begun %v, told %v", begun, refusal.ResponseStarted)
				}
			})
		})
	}
}

// TestEventsArePassedOnAsTheyCame: lines that the gateway does not know, such as a
// change of the weights' version before an event, reach the client unchanged, and so
// do those of a replica that goes on with the stream.
func TestEventsArePassedOnAsTheyCame(t *testing.T) {
	first := "x-weight-versions: 3\nid: 1\ndata: a\n\n"
	second := ": a comment\r\nid: 2\r\nevent: piece\r\ndata: b\r\n\r\n"
	f := newFixture(t)
	f.configure(streaming(true))
	f.addReplica("a", "east-1")
	f.addReplica("b", "east-1")
	f.fillRetryBudget()
	f.answer = func(context.Context, *Attempt) (*Response, error) {
		if len(f.sent) == 1 {
			return events(first+second[:10], errors.New("connection reset")), nil
		}
		return events(second, nil), nil
	}
	client, refusal := f.serve(nil)
	if refusal != nil || client.body.String() != first+second {
		t.Errorf("got %v, %q", refusal, client.body.String())
	}
}
