package dispatch

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

const threeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

func streaming(resumable bool) func(*routemap.Route, *routemap.Service) {
	return func(route *routemap.Route, _ *routemap.Service) {
		route.Kind, route.Resumable = routemap.Stream, resumable
	}
}

func TestStreams(t *testing.T) {
	cut := threeEvents[:len("id: 1\ndata: a\n\nid: 2\nda")] // breaks off within the second event
	rest := "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	tests := map[string]struct {
		resumable bool
		answers   []*Response
		want      string
		code      Code
		begun     bool
	}{
		"whole":                          {false, []*Response{events(threeEvents, nil)}, threeEvents, "", false},
		"breaks before an event":         {false, []*Response{events("", errReset)}, "", CodeOutcomeUnknown, false},
		"breaks within an event":         {false, []*Response{events(cut, errReset)}, "id: 1\ndata: a\n\n", CodeOutcomeUnknown, true},
		"ends within an event":           {false, []*Response{events(cut, nil)}, "id: 1\ndata: a\n\n", CodeOutcomeUnknown, true},
		"goes on elsewhere":              {true, []*Response{events(cut, errReset), events(rest, nil)}, threeEvents, "", false},
		"the other begins anew":          {true, []*Response{events(cut, errReset), events(threeEvents, nil)}, threeEvents, "", false},
		"the other fails":                {true, []*Response{events(cut, errReset), whole(500, "failed")}, "id: 1\ndata: a\n\n", CodeOutcomeUnknown, true},
		"the other breaks off too":       {true, []*Response{events(cut, errReset), events("id: 2\ndata: b\n\n", errReset)}, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", CodeOutcomeUnknown, true},
		"nothing yet, begun by the next": {true, []*Response{events("", errReset), events(threeEvents, nil)}, threeEvents, "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure(streaming(test.resumable))
			f.addReplica("a", "east-1")
			f.addReplica("b", "east-1")
			f.addReplica("c", "east-1")
			f.fillRetryBudget()
			f.answer = func(context.Context, *Attempt) (*Response, error) { return test.answers[len(f.sent)-1], nil }
			client, refusal := f.serve(nil)
			if got := client.body.String(); got != test.want {
				t.Errorf("the client has %q, want %q", got, test.want)
			}
			if (refusal != nil) != (test.code != "") || refusal != nil && (refusal.Code != test.code || refusal.ResponseStarted != test.begun) {
				t.Errorf("got %+v, want %q, begun %v", refusal, test.code, test.begun)
			}
		})
	}
}

func TestAResumedStreamSaysWhereItGoesOn(t *testing.T) {
	f := newFixture(t)
	f.configure(streaming(true))
	f.addReplica("a", "east-1")
	f.addReplica("b", "east-1")
	f.fillRetryBudget()
	f.answer = func(context.Context, *Attempt) (*Response, error) {
		if len(f.sent) == 1 {
			return events("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", errReset), nil
		}
		return events("id: 3\ndata: c\n\n", nil), nil
	}
	client, refusal := f.serve(nil)
	if refusal != nil || client.body.String() != threeEvents || f.sent[1].LastEventID != "2" {
		t.Errorf("got %v, %q after %q", refusal, client.body.String(), f.sent[1].LastEventID)
	}
}

// TestASilentReplicaIsLeft: a replica that sends nothing on any connection is given
// up for requests that may be repeated, and for those alone.
func TestASilentReplicaIsLeft(t *testing.T) {
	f := newFixture(t)
	f.configure(streaming(true))
	f.addReplica("a", "east-1")
	f.addReplica("b", "east-1")
	f.fillRetryBudget()
	f.answer = func(ctx context.Context, _ *Attempt) (*Response, error) {
		if len(f.sent) > 1 {
			return events(threeEvents, nil), nil
		}
		<-ctx.Done()
		return nil, attemptError(FailureIndeterminate)
	}
	started := time.Now()
	client, refusal := f.serve(nil)
	if refusal != nil || client.body.String() != threeEvents {
		t.Errorf("got %v, %q", refusal, client.body.String())
	}
	if took := time.Since(started); took < silence || took > 4*silence {
		t.Errorf("left after %v, want about %v", took, silence)
	}
}

func TestEventReader(t *testing.T) {
	long := "data: " + strings.Repeat("x", 3*eventBuffer) + "\n\n"
	tests := map[string]struct {
		text string
		want []string
		err  error
	}{
		"empty":                  {"", nil, io.EOF},
		"events":                 {threeEvents, []string{"1", "2", "3"}, io.EOF},
		"line ends":              {"id: 7\r\ndata: a\r\n\r\n", []string{"7"}, io.EOF},
		"without id":             {"data: a\n\n", []string{""}, io.EOF},
		"longer than the buffer": {long, []string{""}, io.EOF},
		"cut":                    {"id: 1\n\nid: 2\n", []string{"1"}, errEventCut},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			reader := newEventReader(strings.NewReader(test.text))
			var ids []string
			text := ""
			for {
				next, err := reader.next()
				if err != nil {
					if !errors.Is(err, test.err) {
						t.Errorf("ends with %v, want %v", err, test.err)
					}
					break
				}
				ids = append(ids, next.id)
				text += string(next.text)
			}
			if strings.Join(ids, ",") != strings.Join(test.want, ",") {
				t.Errorf("ids %v, want %v", ids, test.want)
			}
			if errors.Is(test.err, io.EOF) && text != test.text {
				t.Errorf("text %q", text)
			}
		})
	}
}

// TestColdReplicas: while a replica is cold, one gateway feeds it slowly, and
// only if no other can take the request.
func TestColdReplicas(t *testing.T) {
	f := newFixture(t)
	f.configure(func(_ *routemap.Route, service *routemap.Service) {
		service.SlowStartRate, service.SlowStartDuration = 10, 3*time.Second
	})
	f.addReplica("a", "east-1")
	f.addReplica("b", "east-1")
	f.apply(registry.Add(catalog.ConditionRecord("a", catalog.Condition{State: catalog.ConditionWarmingUp})))
	for range 10 {
		f.serve(nil)
	}
	if asked := f.replicasAsked(); strings.Contains(strings.Join(asked, ","), "a") {
		t.Errorf("a cold replica was used beside a warm one: %v", asked)
	}
	f.apply(registry.DeleteName(catalog.ReplicaName("b")))
	f.sent = nil
	for range 10 {
		f.serve(nil)
	}
	if asked := f.replicasAsked(); len(asked) != 1 {
		t.Errorf("%d requests at once to a cold replica", len(asked))
	}
	// Of two gateways, one feeds it.
	f.apply(
		registry.Add(catalog.GatewayRecord("g2", catalog.Gateway{Region: ownRegion, Zone: "east-1", Up: true})),
		registry.Add(catalog.GatewayRecord("g3", catalog.Gateway{Region: ownRegion, Zone: "east-1", Up: true})),
		registry.Add(catalog.GatewayRecord("g4", catalog.Gateway{Region: ownRegion, Zone: "east-1", Up: true})),
	)
	feeders := 0
	for _, name := range []string{"g1", "g2", "g3", "g4"} {
		f.dispatcher.options.Gateway = name
		f.dispatcher.replicas["a"].nextCold = time.Time{}
		if _, refusal := f.serve(nil); refusal == nil {
			feeders++
		}
	}
	if feeders != 1 {
		t.Errorf("%d gateways feed a cold replica", feeders)
	}
}

// TestAZoneThatIsTakenBackIsCold: its replicas may have become cold while nothing
// was sent there.
func TestAZoneThatIsTakenBackIsCold(t *testing.T) {
	f := newFixture(t)
	f.configure(func(_ *routemap.Route, service *routemap.Service) {
		service.SlowStartRate, service.SlowStartDuration = 10, 3*time.Second
	})
	f.addReplica("a", "east-1")
	f.apply(registry.Add(catalog.EvacuationRecord("east-1", catalog.Evacuation{OperationID: "o"})))
	f.apply(registry.DeleteSet(catalog.ZoneName("east-1"), catalog.TypeEvacuation))
	for range 5 {
		f.serve(nil)
	}
	if asked := f.replicasAsked(); len(asked) != 1 {
		t.Errorf("%d requests at once to a zone just taken back", len(asked))
	}
}
