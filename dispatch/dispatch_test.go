package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

const (
	ownRegion   = "east"
	otherRegion = "west"
)

// fixture is a dispatcher with its own registry. It is also the dispatcher's Backend.
type fixture struct {
	t          *testing.T
	table      *registry.Table
	dispatcher *Dispatcher

	mutex        sync.Mutex
	sent         []Attempt
	respond      func(ctx context.Context, attempt *Attempt) (*Response, error)
	lastReceived time.Time
	// connected holds the addresses with an idle connection; nil means all addresses.
	connected map[string]bool
}

// newFixture returns the fixture of a gateway named g1.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureOf(t, "g1")
}

// newTable returns an empty registry.
func newTable(t *testing.T) *registry.Table {
	t.Helper()
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: "c", Serial: 1}, []string{"c"})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// newFixtureOf returns the fixture of a gateway with the given name.
func newFixtureOf(t *testing.T, gateway string) *fixture {
	t.Helper()
	f := &fixture{t: t, table: newTable(t)}
	f.respond = func(context.Context, *Attempt) (*Response, error) { return fullResponse(200, "ok"), nil }
	f.dispatcher = New(Options{
		Gateway: gateway, Zone: "east-1", Region: ownRegion, Backend: f,
		Random: func() float64 { return 0 }, Logger: slog.New(slog.DiscardHandler),
	})
	f.apply(registry.Add(catalog.GatewayRecord(gateway, catalog.Gateway{Region: ownRegion, Zone: "east-1", Up: true})))
	return f
}

func (f *fixture) Send(ctx context.Context, attempt *Attempt) (*Response, error) {
	f.mutex.Lock()
	f.sent = append(f.sent, *attempt)
	f.mutex.Unlock()
	return f.respond(ctx, attempt)
}

func (f *fixture) LastReceived(string) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.lastReceived
}

func (f *fixture) HasIdleConnection(address string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.connected == nil || f.connected[address]
}

func (f *fixture) CloseIdleConnections(string) {}

// apply applies changes to the registry and updates the dispatcher.
func (f *fixture) apply(changes ...registry.Record) {
	f.t.Helper()
	update := registry.NewUpdate(catalog.Apex, nil, changes)
	if result := f.table.Apply(&update, nil); result.Code != registry.NoError {
		f.t.Fatalf("update failed: %v: %s", result.Code, result.Reason)
	}
	state, err := catalog.Read(f.table.View())
	if err != nil {
		f.t.Fatal(err)
	}
	f.dispatcher.Update(state)
}

var zones = map[string]string{"east-1": ownRegion, "east-2": ownRegion, "west-1": otherRegion}

// configure publishes a route map with one route and one service, to which change was
// applied.
func (f *fixture) configure(change func(*routemap.Route, *routemap.Service)) {
	f.t.Helper()
	state, err := catalog.Read(f.table.View())
	if err != nil {
		f.t.Fatal(err)
	}
	route := routemap.Route{
		Name: "r", Host: "h", PathPrefix: "/", Kind: routemap.AtMostOnce, Timeout: 5 * time.Second, MaxAttempts: 2,
		Targets: []routemap.Target{{Service: "s", Weight: 1}},
	}
	service := routemap.Service{Name: "s", Slots: 8, MaxConnections: 100}
	if change != nil {
		change(&route, &service)
	}
	routes := &routemap.Map{Version: state.Version() + 1, Routes: []routemap.Route{route}, Services: []routemap.Service{service}}
	changes, err := configuration.RouteMapChanges(f.table.View(), routes, zones, fmt.Sprint("text ", routes.Version))
	if err != nil {
		f.t.Fatal(err)
	}
	f.apply(changes...)
}

func (f *fixture) addReplica(id, zone string) {
	f.t.Helper()
	f.apply(registry.Add(catalog.ReplicaRecord(id, catalog.Replica{Service: "s", Zone: zone, Region: zones[zone], Address: id + ":1"})))
}

// serve sends one request, to which change was applied, and returns the response.
func (f *fixture) serve(change func(*Request)) (*recorder, *RequestError) {
	f.t.Helper()
	request := &Request{ID: "id", Method: http.MethodPost, Host: "h", Path: "/x", Target: "/x", Header: http.Header{}, Arrived: time.Now()}
	if change != nil {
		change(request)
	}
	client := &recorder{}
	return client, f.dispatcher.Serve(context.Background(), request, client)
}

// fillRetryBudget serves enough requests for the retry budget to allow a retry.
func (f *fixture) fillRetryBudget() {
	f.t.Helper()
	for range 20 {
		f.serve(nil)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sent = nil
}

// attemptedReplicas returns the ids of the replicas of all attempts so far.
func (f *fixture) attemptedReplicas() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var ids []string
	for _, attempt := range f.sent {
		ids = append(ids, attempt.Replica.ID)
	}
	return ids
}

// recorder is a ResponseWriter that records the response.
type recorder struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func (r *recorder) WriteHead(status int, header http.Header) { r.status, r.header = status, header }

func (r *recorder) Write(part []byte) (int, error) { return r.body.Write(part) }

func (r *recorder) Flush() {}

// fullResponse returns a response that is not an event stream.
func fullResponse(status int, text string) *Response {
	return &Response{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}
}

// events returns an event stream with the given text. It ends with err or, if that is nil,
// with io.EOF.
func events(text string, err error) *Response {
	var reader io.Reader = strings.NewReader(text)
	if err != nil {
		reader = io.MultiReader(reader, failing{err})
	}
	return &Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(reader), EventStream: true}
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

func attemptError(failure FailureReason) error {
	return &AttemptError{Reason: failure, Err: errors.New("injected failure")}
}

var errReset = errors.New("connection reset")

// TestRequestErrorsBeforeFirstAttempt checks the errors of requests that were not sent.
func TestRequestErrorsBeforeFirstAttempt(t *testing.T) {
	f := newFixture(t)
	if _, requestErr := f.serve(nil); requestErr == nil || requestErr.Code != CodeNotReady || requestErr.RetryAfter == 0 {
		t.Errorf("error without a configuration: %v", requestErr)
	}
	f.configure(nil)
	if _, requestErr := f.serve(nil); requestErr == nil || requestErr.Code != CodeNoReplica || requestErr.RetryAfter == 0 {
		t.Errorf("error without replicas: %v", requestErr)
	}
	if _, requestErr := f.serve(func(r *Request) { r.Host = "other" }); requestErr == nil || requestErr.Code != CodeNoRoute {
		t.Errorf("error without a route: %v", requestErr)
	}
	f.addReplica("a", "east-1")
	if _, requestErr := f.serve(func(r *Request) { r.Arrived = time.Now().Add(-time.Minute) }); requestErr == nil || requestErr.Code != CodeExpiredUnsent {
		t.Errorf("error after the deadline: %v", requestErr)
	}
	if attempted := f.attemptedReplicas(); len(attempted) != 0 {
		t.Errorf("attempts at %v, want none", attempted)
	}
	if client, requestErr := f.serve(nil); requestErr != nil || client.status != 200 || client.body.String() != "ok" {
		t.Errorf("error %v, status %d; want a response with status 200", requestErr, client.status)
	}
}

// TestRegistryChangesTakeEffect changes records of the registry one after another, and checks
// after each change which replica serves requests.
func TestRegistryChangesTakeEffect(t *testing.T) {
	f := newFixture(t)
	f.configure(nil)
	f.addReplica("near", "east-1")
	f.addReplica("far", "west-1")
	expect := func(what, want string) {
		t.Helper()
		f.sent = nil
		_, requestErr := f.serve(nil)
		if got := strings.Join(f.attemptedReplicas(), ","); got != want || (requestErr != nil) != (want == "") {
			t.Errorf("%s: attempts at %q (error %v), want %q", what, got, requestErr, want)
		}
	}
	expect("initially", "near")
	f.apply(registry.Add(catalog.DrainRecord("near", catalog.Drain{})))
	expect("drained", "far")
	f.apply(registry.DeleteRRset(catalog.ReplicaName("near"), catalog.TypeDrain))
	expect("drain ended", "near")
	f.apply(registry.Add(catalog.EvacuationRecord("east-1", catalog.Evacuation{OperationID: "o"})))
	expect("evacuated", "far")
	f.apply(registry.DeleteRRset(catalog.ZoneName("east-1"), catalog.TypeEvacuation))
	expect("evacuation ended", "near")
	f.apply(registry.DeleteName(catalog.ReplicaName("near")))
	expect("removed", "far")
	f.configure(func(route *routemap.Route, _ *routemap.Service) { route.HomeRegions = []string{ownRegion} })
	expect("home region without replicas", "")
	f.addReplica("new", "east-2")
	expect("new replica in the home region", "new")
	f.apply(registry.DeleteRRset(catalog.PathRouteName("r"), catalog.TypePathRoute))
	f.configure(func(route *routemap.Route, _ *routemap.Service) { route.Host = "elsewhere" })
	expect("no route for the host", "")
}

// TestAtMostOnce checks that a request of which a byte was sent is sent to another replica
// only if the first one rejected it or the route permits a repetition.
func TestAtMostOnce(t *testing.T) {
	tests := map[string]struct {
		kind      routemap.Kind
		resumable bool
		failure   FailureReason
		attempts  int
		code      Code // of the error, "" if the request is served
	}{
		"at most once, unsent":        {routemap.AtMostOnce, false, FailureUnsent, 2, ""},
		"at most once, rejected":      {routemap.AtMostOnce, false, FailureRejected, 2, ""},
		"at most once, replaced":      {routemap.AtMostOnce, false, FailureReplaced, 2, ""},
		"at most once, indeterminate": {routemap.AtMostOnce, false, FailureIndeterminate, 1, CodeOutcomeUnknown},
		"stream, indeterminate":       {routemap.Stream, false, FailureIndeterminate, 1, CodeOutcomeUnknown},
		"resumable, indeterminate":    {routemap.Stream, true, FailureIndeterminate, 2, ""},
		"idempotent, indeterminate":   {routemap.Idempotent, false, FailureIndeterminate, 2, ""},
		"idempotent, rejected":        {routemap.Idempotent, false, FailureRejected, 2, ""},
		"stream, unsent":              {routemap.Stream, false, FailureUnsent, 2, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.configure(func(route *routemap.Route, _ *routemap.Service) {
				route.Kind, route.Resumable = test.kind, test.resumable
			})
			f.addReplica("a", "east-1")
			f.addReplica("b", "east-1")
			f.fillRetryBudget()
			f.respond = func(_ context.Context, attempt *Attempt) (*Response, error) {
				if len(f.attemptedReplicas()) == 1 {
					return nil, attemptError(test.failure)
				}
				return fullResponse(200, "second"), nil
			}
			client, requestErr := f.serve(nil)
			attempted := f.attemptedReplicas()
			if len(attempted) != test.attempts || len(attempted) == 2 && attempted[0] == attempted[1] {
				t.Errorf("attempts at %v, want %d different replicas", attempted, test.attempts)
			}
			switch {
			case test.code == "" && (requestErr != nil || client.body.String() != "second"):
				t.Errorf("error %v, response body %q; want the second response", requestErr, client.body.String())
			case test.code != "" && (requestErr == nil || requestErr.Code != test.code || client.status != 0):
				t.Errorf("error %v, want code %s and no response", requestErr, test.code)
			}
		})
	}
}

// TestIdleConnectionsArePreferred checks that among replicas of about the same cost, a
// gateway selects one to which it has an idle connection, unless another one is clearly
// better.
func TestIdleConnectionsArePreferred(t *testing.T) {
	synctest.Test(t, checkIdleConnections)
}

func checkIdleConnections(t *testing.T) {
	f := newFixture(t)
	f.configure(withPrompts)
	for i := range 12 {
		f.addReplica(fmt.Sprint("r", i), "east-1")
	}
	f.respond = func(context.Context, *Attempt) (*Response, error) { return events("id: 1\ndata: x\n\n", nil), nil }
	f.connected = map[string]bool{"r3:1": true}
	send := func(i int) {
		f.serve(func(r *Request) {
			r.ID = fmt.Sprint("id-", i)
			r.PrefixChain, r.PromptTokens = chainOf(fmt.Sprint("part-", i), 10), 20
		})
		time.Sleep(10 * time.Millisecond)
	}
	for i := range 20 {
		send(i)
	}
	for _, name := range f.attemptedReplicas() {
		if name != "r3" {
			t.Fatalf("attempts at %v, want only r3, which has an idle connection", f.attemptedReplicas())
		}
	}
	f.dispatcher.HandleRegionLoads(&peer.RegionLoads{PlacedPrompts: []peer.PlacedPrompt{{Replica: peer.NewReplicaKey("r3"), PrefillMS: 200}}})
	f.sent = nil
	send(20)
	if attempted := f.attemptedReplicas(); len(attempted) != 1 || attempted[0] == "r3" {
		t.Errorf("attempts at %v, want one at another replica than r3, which is busy", attempted)
	}
}

// TestUnresponsiveZoneIsAvoided checks that a zone is avoided after connections to several
// of its replicas timed out, until one of them responds or some time has passed.
func TestUnresponsiveZoneIsAvoided(t *testing.T) {
	synctest.Test(t, checkUnresponsiveZone)
}

func checkUnresponsiveZone(t *testing.T) {
	f := newFixture(t)
	f.configure(func(_ *routemap.Route, service *routemap.Service) { service.Slots = 1 })
	for i := range 8 {
		f.addReplica(fmt.Sprint("cut", i), "east-1")
		f.addReplica(fmt.Sprint("far", i), "west-1")
	}
	const connectTimeout = 300 * time.Millisecond
	timeouts := 0
	partitioned := true
	f.respond = func(_ context.Context, attempt *Attempt) (*Response, error) {
		if partitioned && strings.HasPrefix(attempt.Replica.ID, "cut") {
			timeouts++
			time.Sleep(connectTimeout)
			return nil, &AttemptError{Reason: FailureUnsent, NoResponse: true, Err: errors.New("i/o timeout")}
		}
		return fullResponse(200, "served"), nil
	}
	began := time.Now()
	for i := range 12 {
		if _, requestErr := f.serve(func(r *Request) { r.ID = fmt.Sprint("id-", i) }); requestErr != nil {
			t.Errorf("request %d: %v", i, requestErr)
		}
	}
	if timeouts != unresponsiveReplicas || time.Since(began) > unresponsiveReplicas*connectTimeout {
		t.Errorf("%d connections timed out, and the requests took %v", timeouts, time.Since(began))
	}
	time.Sleep(zoneAvoidance)
	partitioned = false
	f.sent = nil
	f.serve(nil)
	if attempted := f.attemptedReplicas(); len(attempted) != 1 || !strings.HasPrefix(attempted[0], "cut") {
		t.Errorf("after the partition: attempts at %v, want one in the zone", attempted)
	}
	for _, id := range []string{"cut0", "cut1", "cut2"} {
		f.dispatcher.zone("east-1").recordNoResponse(time.Now(), id)
	}
	f.dispatcher.zone("east-1").recordResponse()
	f.sent = nil
	f.serve(nil)
	if attempted := f.attemptedReplicas(); len(attempted) != 1 || !strings.HasPrefix(attempted[0], "cut") {
		t.Errorf("after a response: attempts at %v, want one in the zone", attempted)
	}
}

// TestReplacedReplicasAreSkipped checks that a request is served after several attempts at
// replaced replicas, as happens when many are replaced at the same time and the registry's
// update is delayed. They reject immediately; the limit for rejections because of load is
// lower.
func TestReplacedReplicasAreSkipped(t *testing.T) {
	f := newFixture(t)
	f.configure(nil)
	for _, name := range []string{"a", "b", "c", "d"} {
		f.addReplica(name, "east-1")
	}
	for range 40 {
		f.serve(nil)
	}
	f.sent = nil
	f.respond = func(context.Context, *Attempt) (*Response, error) {
		if len(f.attemptedReplicas()) < 4 {
			return nil, attemptError(FailureReplaced)
		}
		return fullResponse(200, "served"), nil
	}
	client, requestErr := f.serve(nil)
	if requestErr != nil || client.body.String() != "served" {
		t.Errorf("error %v, response body %q after attempts at %v", requestErr, client.body.String(), f.attemptedReplicas())
	}
	f.sent = nil
	f.respond = func(context.Context, *Attempt) (*Response, error) { return nil, attemptError(FailureRejected) }
	if _, requestErr := f.serve(nil); requestErr == nil || len(f.attemptedReplicas()) > maxRejections {
		t.Errorf("all replicas reject: error %v after attempts at %v", requestErr, f.attemptedReplicas())
	}
}

// TestIndeterminateAttemptMakesOutcomeUnknown checks that a request that may have run never
// ends with an error which states that it has not.
func TestIndeterminateAttemptMakesOutcomeUnknown(t *testing.T) {
	f := newFixture(t)
	f.configure(func(route *routemap.Route, _ *routemap.Service) { route.Kind = routemap.Idempotent })
	f.addReplica("a", "east-1")
	for range 20 {
		f.serve(nil)
	}
	f.respond = func(context.Context, *Attempt) (*Response, error) { return nil, attemptError(FailureIndeterminate) }
	if _, requestErr := f.serve(nil); requestErr == nil || requestErr.Code != CodeOutcomeUnknown || requestErr.RetryAfter != 0 {
		t.Errorf("error %v, want CodeOutcomeUnknown", requestErr)
	}
}

// TestRetryBudget checks that there are retries, and that their ratio to requests is limited.
func TestRetryBudget(t *testing.T) {
	f := newFixture(t)
	f.configure(func(route *routemap.Route, _ *routemap.Service) { route.Kind = routemap.Idempotent })
	for i := range 6 {
		f.addReplica(fmt.Sprint("r", i), "east-1")
	}
	f.respond = func(context.Context, *Attempt) (*Response, error) { return nil, attemptError(FailureIndeterminate) }
	const requests = 200
	for range requests {
		f.serve(nil)
	}
	if retries := len(f.attemptedReplicas()) - requests; retries > requests/5 || retries == 0 {
		t.Errorf("%d retries for %d requests, want at least 1 and at most a fifth", retries, requests)
	}
}

// TestReplicaErrorIsRelayed checks that an error response of a replica is relayed.
func TestReplicaErrorIsRelayed(t *testing.T) {
	f := newFixture(t)
	f.configure(nil)
	f.addReplica("a", "east-1")
	f.respond = func(context.Context, *Attempt) (*Response, error) { return fullResponse(500, "failed"), nil }
	if client, requestErr := f.serve(nil); requestErr != nil || client.status != 500 || client.body.String() != "failed" {
		t.Errorf("error %v, status %d; want the replica's response with status 500", requestErr, client.status)
	}
}

// TestInterruptedShortBodyIsNotRelayed checks that no part of a short body is sent before the
// body is complete.
func TestInterruptedShortBodyIsNotRelayed(t *testing.T) {
	f := newFixture(t)
	f.configure(nil)
	f.addReplica("a", "east-1")
	f.respond = func(context.Context, *Attempt) (*Response, error) {
		return &Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(io.MultiReader(strings.NewReader("part"), failing{errReset}))}, nil
	}
	if client, requestErr := f.serve(nil); requestErr == nil || requestErr.Code != CodeOutcomeUnknown || requestErr.ResponseStarted || client.status != 0 {
		t.Errorf("error %v, status %d; want CodeOutcomeUnknown and no response", requestErr, client.status)
	}
}

// TestRouteTimeout checks that a request ends when its route's timeout has passed, and that
// the replica receives this deadline.
func TestRouteTimeout(t *testing.T) {
	f := newFixture(t)
	f.configure(func(route *routemap.Route, _ *routemap.Service) { route.Timeout = 50 * time.Millisecond })
	f.addReplica("a", "east-1")
	f.respond = func(ctx context.Context, _ *Attempt) (*Response, error) {
		<-ctx.Done()
		return nil, attemptError(FailureIndeterminate)
	}
	started := time.Now()
	_, requestErr := f.serve(func(r *Request) { r.ClientTimeout = time.Minute })
	if took := time.Since(started); requestErr == nil || requestErr.Code != CodeTimedOut || took > time.Second {
		t.Errorf("error %v after %v, want CodeTimedOut within 1 s with a route timeout of 50 ms", requestErr, took)
	}
	if deadline := f.sent[0].Deadline; time.Until(deadline) > 50*time.Millisecond {
		t.Errorf("the replica received the deadline %v", deadline)
	}
}

// TestClientDisconnectAbortsAttempt checks that an attempt is aborted if its client
// disconnects.
func TestClientDisconnectAbortsAttempt(t *testing.T) {
	f := newFixture(t)
	f.configure(nil)
	f.addReplica("a", "east-1")
	ctx, cancel := context.WithCancel(t.Context())
	f.respond = func(sending context.Context, _ *Attempt) (*Response, error) {
		cancel()
		<-sending.Done()
		return nil, attemptError(FailureIndeterminate)
	}
	request := &Request{ID: "id", Method: http.MethodPost, Host: "h", Path: "/", Arrived: time.Now()}
	if requestErr := f.dispatcher.Serve(ctx, request, &recorder{}); requestErr == nil || requestErr.Code != CodeClientClosed {
		t.Errorf("error %v, want CodeClientClosed", requestErr)
	}
}
