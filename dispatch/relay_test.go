package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/routemap"
)

const threeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// streaming returns a change that configures a route for event streams.
func streaming(resumable bool) func(*routemap.Route, *routemap.Service) {
	return func(route *routemap.Route, _ *routemap.Service) {
		route.Kind, route.Resumable = routemap.Stream, resumable
	}
}

// TestEventStreams checks that a stream is relayed in complete events, resumed only if its
// route permits, and otherwise aborted with an error that reports whether a part of the
// response was sent.
func TestEventStreams(t *testing.T) {
	truncated := threeEvents[:len("id: 1\ndata: a\n\nid: 2\nda")] // interrupted within the second event
	rest := "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	tests := map[string]struct {
		resumable bool
		responses []*Response
		want      string
		code      Code
		started   bool
	}{
		"complete":                                               {false, []*Response{events(threeEvents, nil)}, threeEvents, "", false},
		"interrupted before an event":                            {false, []*Response{events("", errReset)}, "", CodeOutcomeUnknown, false},
		"interrupted within an event":                            {false, []*Response{events(truncated, errReset)}, "id: 1\ndata: a\n\n", CodeOutcomeUnknown, true},
		"ends within an event":                                   {false, []*Response{events(truncated, nil)}, "id: 1\ndata: a\n\n", CodeOutcomeUnknown, true},
		"resumed by another replica":                             {true, []*Response{events(truncated, errReset), events(rest, nil)}, threeEvents, "", false},
		"restarted by another replica":                           {true, []*Response{events(truncated, errReset), events(threeEvents, nil)}, threeEvents, "", false},
		"other replica fails":                                    {true, []*Response{events(truncated, errReset), fullResponse(500, "failed")}, "id: 1\ndata: a\n\n", CodeOutcomeUnknown, true},
		"other replica interrupted too":                          {true, []*Response{events(truncated, errReset), events("id: 2\ndata: b\n\n", errReset)}, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", CodeOutcomeUnknown, true},
		"interrupted before an event, served by another replica": {true, []*Response{events("", errReset), events(threeEvents, nil)}, threeEvents, "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure(streaming(test.resumable))
			f.addReplica("a", "east-1")
			f.addReplica("b", "east-1")
			f.addReplica("c", "east-1")
			f.fillRetryBudget()
			f.respond = func(context.Context, *Attempt) (*Response, error) { return test.responses[len(f.sent)-1], nil }
			client, requestErr := f.serve(nil)
			if got := client.body.String(); got != test.want {
				t.Errorf("the client received %q, want %q", got, test.want)
			}
			if (requestErr != nil) != (test.code != "") || requestErr != nil && (requestErr.Code != test.code || requestErr.ResponseStarted != test.started) {
				t.Errorf("error %+v, want code %q and ResponseStarted %v", requestErr, test.code, test.started)
			}
		})
	}
}

// TestResumedStreamSendsLastEventID checks that the attempt that resumes a stream carries the
// id of the last event that was relayed to the client.
func TestResumedStreamSendsLastEventID(t *testing.T) {
	f := newFixture(t)
	f.configure(streaming(true))
	f.addReplica("a", "east-1")
	f.addReplica("b", "east-1")
	f.fillRetryBudget()
	f.respond = func(context.Context, *Attempt) (*Response, error) {
		if len(f.sent) == 1 {
			return events("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", errReset), nil
		}
		return events("id: 3\ndata: c\n\n", nil), nil
	}
	client, requestErr := f.serve(nil)
	if requestErr != nil || client.body.String() != threeEvents || f.sent[1].LastEventID != "2" {
		t.Errorf("error %v, response body %q, resumed after event %q", requestErr, client.body.String(), f.sent[1].LastEventID)
	}
}

// TestAttemptAtIdleReplicaIsAborted checks that an attempt at a replica that sends nothing on
// any connection is aborted if the request may be repeated, and that another replica then
// serves the request.
func TestAttemptAtIdleReplicaIsAborted(t *testing.T) {
	f := newFixture(t)
	f.configure(streaming(true))
	f.addReplica("a", "east-1")
	f.addReplica("b", "east-1")
	f.fillRetryBudget()
	f.respond = func(ctx context.Context, _ *Attempt) (*Response, error) {
		if len(f.sent) > 1 {
			return events(threeEvents, nil), nil
		}
		<-ctx.Done()
		return nil, attemptError(FailureIndeterminate)
	}
	started := time.Now()
	client, requestErr := f.serve(nil)
	if requestErr != nil || client.body.String() != threeEvents {
		t.Errorf("error %v, response body %q; want all three events", requestErr, client.body.String())
	}
	if took := time.Since(started); took < idleTimeout || took > 4*idleTimeout {
		t.Errorf("Serve took %v, want between one and four times the idle timeout of %v", took, idleTimeout)
	}
}
