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

// stalledStream returns its first bytes and then blocks until its request is aborted.
type stalledStream struct {
	ctx   context.Context //nolint:containedctx // of the request: Read of an io.Reader takes none
	first io.Reader
}

func (s *stalledStream) Read(into []byte) (int, error) {
	if count, err := s.first.Read(into); err == nil {
		return count, nil
	}
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

// TestResponseEndsAtRouteTimeout checks that a request ends when its route's timeout has
// passed, whatever its replica does, and that the error reports whether a part of the
// response was sent.
func TestResponseEndsAtRouteTimeout(t *testing.T) {
	const timeout = 2 * time.Second
	responses := map[string]func(ctx context.Context) (*Response, error){
		"no response": func(ctx context.Context) (*Response, error) {
			<-ctx.Done()
			return nil, &AttemptError{Reason: FailureIndeterminate, Err: ctx.Err()}
		},
		"head only": func(ctx context.Context) (*Response, error) {
			return &Response{Status: 200, Header: http.Header{}, EventStream: true, Body: io.NopCloser(&stalledStream{ctx, strings.NewReader("")})}, nil
		},
		"stalled stream": func(ctx context.Context) (*Response, error) {
			return &Response{Status: 200, Header: http.Header{}, EventStream: true, Body: io.NopCloser(&stalledStream{ctx, strings.NewReader("id: 1\ndata: a\n\n")})}, nil
		},
		"stalled within an event": func(ctx context.Context) (*Response, error) {
			return &Response{Status: 200, Header: http.Header{}, EventStream: true, Body: io.NopCloser(&stalledStream{ctx, strings.NewReader("id: 1\nda")})}, nil
		},
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.configure(func(route *routemap.Route, _ *routemap.Service) {
					route.Kind, route.Resumable, route.MaxAttempts, route.Timeout = routemap.Stream, false, 1, timeout
				})
				f.addReplica("a", "east-1")
				f.respond = func(ctx context.Context, _ *Attempt) (*Response, error) { return response(ctx) }
				began := time.Now()
				client, requestErr := f.serve(func(r *Request) { r.ClientTimeout = time.Minute })
				if took := time.Since(began); took != timeout {
					t.Errorf("Serve returned after %v, want %v", took, timeout)
				}
				if requestErr == nil || requestErr.Code != CodeTimedOut {
					t.Fatalf("error %+v, want the code of a timeout", requestErr)
				}
				if started := client.status != 0; started != requestErr.ResponseStarted {
					t.Errorf("response started: %v, but the error reports %v", started, requestErr.ResponseStarted)
				}
			})
		})
	}
}

// TestEventsAreRelayedUnchanged checks that fields and comments that the gateway does not
// interpret reach the client unchanged, also from a replica that resumes the stream. An
// example is x-weight-versions, a line before the id of an event, which reports that the
// version of the weights changes before this event.
func TestEventsAreRelayedUnchanged(t *testing.T) {
	first := "x-weight-versions: 3\nid: 1\ndata: a\n\n"
	second := ": a comment\r\nid: 2\r\nevent: piece\r\ndata: b\r\n\r\n"
	f := newFixture(t)
	f.configure(streaming(true))
	f.addReplica("a", "east-1")
	f.addReplica("b", "east-1")
	f.fillRetryBudget()
	f.respond = func(context.Context, *Attempt) (*Response, error) {
		if len(f.sent) == 1 {
			return events(first+second[:10], errors.New("connection reset")), nil
		}
		return events(second, nil), nil
	}
	client, requestErr := f.serve(nil)
	if requestErr != nil || client.body.String() != first+second {
		t.Errorf("error %v, response body %q; want both events unchanged", requestErr, client.body.String())
	}
}
