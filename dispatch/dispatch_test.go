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

// fixture is a dispatcher on a registry of its own, with replicas that are functions.
type fixture struct {
	t          *testing.T
	table      *registry.Table
	dispatcher *Dispatcher

	mutex   sync.Mutex
	sent    []Attempt
	answer  func(ctx context.Context, attempt *Attempt) (*Response, error)
	heardAt time.Time
	// connected are the addresses with an idle connection; nil is all.
	connected map[string]bool
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureOf(t, "g1")
}

// newTable is an empty registry.
func newTable(t *testing.T) *registry.Table {
	t.Helper()
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: "c", Serial: 1}, []string{"c"})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// newFixtureOf is the fixture of a gateway with this name.
func newFixtureOf(t *testing.T, gateway string) *fixture {
	t.Helper()
	f := &fixture{t: t, table: newTable(t)}
	f.answer = func(context.Context, *Attempt) (*Response, error) { return whole(200, "ok"), nil }
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
	return f.answer(ctx, attempt)
}

func (f *fixture) LastReceived(string) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.heardAt
}

func (f *fixture) HasIdleConnection(address string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.connected == nil || f.connected[address]
}

func (f *fixture) CloseIdleConnections(string) {}

// apply changes the registry and makes it decide.
func (f *fixture) apply(changes ...registry.Record) {
	f.t.Helper()
	update := registry.NewUpdate(catalog.Apex, nil, changes)
	if result := f.table.Apply(&update, nil); result.Code != registry.NoError {
		f.t.Fatalf("update answered %v: %s", result.Code, result.Reason)
	}
	contents, err := catalog.Read(f.table.View())
	if err != nil {
		f.t.Fatal(err)
	}
	f.dispatcher.Update(contents)
}

var zones = map[string]string{"east-1": ownRegion, "east-2": ownRegion, "west-1": otherRegion}

// configure makes a map with one route of the given kind decide.
func (f *fixture) configure(change func(*routemap.Route, *routemap.Service)) {
	f.t.Helper()
	contents, err := catalog.Read(f.table.View())
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
	routes := &routemap.Map{Version: contents.Version() + 1, Routes: []routemap.Route{route}, Services: []routemap.Service{service}}
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

// serve sends one request.
func (f *fixture) serve(change func(*Request)) (*recorder, *RequestError) {
	f.t.Helper()
	request := &Request{ID: "id", Method: http.MethodPost, Host: "h", Path: "/x", Target: "/x", Header: http.Header{}, Arrived: time.Now()}
	if change != nil {
		change(request)
	}
	client := &recorder{}
	return client, f.dispatcher.Serve(context.Background(), request, client)
}

// fillRetryBudget serves enough requests for a retry, and forgets them.
func (f *fixture) fillRetryBudget() {
	f.t.Helper()
	for range 20 {
		f.serve(nil)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sent = nil
}

// replicasAsked lists the replicas of all attempts so far.
func (f *fixture) replicasAsked() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var ids []string
	for _, attempt := range f.sent {
		ids = append(ids, attempt.Replica.ID)
	}
	return ids
}

// recorder is a client that keeps its answer.
type recorder struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func (r *recorder) WriteHead(status int, header http.Header) { r.status, r.header = status, header }

func (r *recorder) Write(part []byte) (int, error) { return r.body.Write(part) }

func (r *recorder) Flush() {}

func whole(status int, text string) *Response {
	return &Response{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}
}

// events is a stream that ends with an error, nil for a whole one.
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
	return &AttemptError{Reason: failure, Err: errors.New("as the test wants")}
}

var errReset = errors.New("connection reset")

func TestRefusalsBeforeAnythingIsSent(t *testing.T) {
	f := newFixture(t)
	if _, refusal := f.serve(nil); refusal == nil || refusal.Code != CodeNotReady || refusal.RetryAfter == 0 {
		t.Errorf("without a configuration: %v", refusal)
	}
	f.configure(nil)
	if _, refusal := f.serve(nil); refusal == nil || refusal.Code != CodeNoReplica || refusal.RetryAfter == 0 {
		t.Errorf("without replicas: %v", refusal)
	}
	if _, refusal := f.serve(func(r *Request) { r.Host = "other" }); refusal == nil || refusal.Code != CodeNoRoute {
		t.Errorf("without a route: %v", refusal)
	}
	f.addReplica("a", "east-1")
	if _, refusal := f.serve(func(r *Request) { r.Arrived = time.Now().Add(-time.Minute) }); refusal == nil || refusal.Code != CodeExpiredUnsent {
		t.Errorf("without time: %v", refusal)
	}
	if asked := f.replicasAsked(); len(asked) != 0 {
		t.Errorf("sent to %v", asked)
	}
	if client, refusal := f.serve(nil); refusal != nil || client.status != 200 || client.body.String() != "ok" {
		t.Errorf("got %v, %d", refusal, client.status)
	}
}

// TestTheRegistryDecides removes and adds records and watches where requests go.
func TestTheRegistryDecides(t *testing.T) {
	f := newFixture(t)
	f.configure(nil)
	f.addReplica("near", "east-1")
	f.addReplica("far", "west-1")
	expect := func(what, want string) {
		t.Helper()
		f.sent = nil
		_, refusal := f.serve(nil)
		if got := strings.Join(f.replicasAsked(), ","); got != want || (refusal != nil) != (want == "") {
			t.Errorf("%s: sent to %q (%v), want %q", what, got, refusal, want)
		}
	}
	expect("at first", "near")
	f.apply(registry.Add(catalog.DrainRecord("near", catalog.Drain{})))
	expect("drained", "far")
	f.apply(registry.DeleteSet(catalog.ReplicaName("near"), catalog.TypeDrain))
	expect("not drained any more", "near")
	f.apply(registry.Add(catalog.EvacuationRecord("east-1", catalog.Evacuation{OperationID: "o"})))
	expect("evacuated", "far")
	f.apply(registry.DeleteSet(catalog.ZoneName("east-1"), catalog.TypeEvacuation))
	expect("taken back", "near")
	f.apply(registry.DeleteName(catalog.ReplicaName("near")))
	expect("not listed", "far")
	f.configure(func(route *routemap.Route, _ *routemap.Service) { route.HomeRegions = []string{ownRegion} })
	expect("bound to a region without replicas", "")
	f.addReplica("new", "east-2")
	expect("a new replica in the home", "new")
	f.apply(registry.DeleteSet(catalog.PathRouteName("r"), catalog.TypePathRoute))
	f.configure(func(route *routemap.Route, _ *routemap.Service) { route.Host = "elsewhere" })
	expect("without the route", "")
}

// TestAtMostOnce: after a byte was sent, only the replica's word lets a request go
// to another one, unless its route permits repetition.
func TestAtMostOnce(t *testing.T) {
	tests := map[string]struct {
		kind      routemap.Kind
		resumable bool
		failure   FailureReason
		attempts  int
		code      Code // of the refusal, empty if it is served
	}{
		"once, unsent":          {routemap.AtMostOnce, false, FailureUnsent, 2, ""},
		"once, full":            {routemap.AtMostOnce, false, FailureRejected, 2, ""},
		"once, replaced":        {routemap.AtMostOnce, false, FailureReplaced, 2, ""},
		"once, broken":          {routemap.AtMostOnce, false, FailureIndeterminate, 1, CodeOutcomeUnknown},
		"stream, broken":        {routemap.Stream, false, FailureIndeterminate, 1, CodeOutcomeUnknown},
		"resumable, broken":     {routemap.Stream, true, FailureIndeterminate, 2, ""},
		"repeatable, broken":    {routemap.Idempotent, false, FailureIndeterminate, 2, ""},
		"repeatable, refused":   {routemap.Idempotent, false, FailureRejected, 2, ""},
		"stream, nothing there": {routemap.Stream, false, FailureUnsent, 2, ""},
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
			f.answer = func(_ context.Context, attempt *Attempt) (*Response, error) {
				if len(f.replicasAsked()) == 1 {
					return nil, attemptError(test.failure)
				}
				return whole(200, "second"), nil
			}
			client, refusal := f.serve(nil)
			asked := f.replicasAsked()
			if len(asked) != test.attempts || len(asked) == 2 && asked[0] == asked[1] {
				t.Errorf("sent to %v, want %d replicas", asked, test.attempts)
			}
			switch {
			case test.code == "" && (refusal != nil || client.body.String() != "second"):
				t.Errorf("got %v, %q", refusal, client.body.String())
			case test.code != "" && (refusal == nil || refusal.Code != test.code || client.status != 0):
				t.Errorf("got %v, want %s", refusal, test.code)
			}
		})
	}
}

// TestOpenConnectionsAreKeptTo: among replicas that are about as good, a gateway keeps
// to those it has a connection to, and leaves them for one that is clearly better.
func TestOpenConnectionsAreKeptTo(t *testing.T) {
	synctest.Test(t, checkOpenConnections)
}

func checkOpenConnections(t *testing.T) {
	f := newFixture(t)
	f.configure(withPrompts)
	for i := range 12 {
		f.addReplica(fmt.Sprint("r", i), "east-1")
	}
	f.answer = func(context.Context, *Attempt) (*Response, error) { return events("id: 1\ndata: x\n\n", nil), nil }
	f.connected = map[string]bool{"r3:1": true}
	ask := func(i int) {
		f.serve(func(r *Request) {
			r.ID = fmt.Sprint("id-", i)
			r.PrefixChain, r.PromptTokens = chainOf(fmt.Sprint("part-", i), 10), 20
		})
		time.Sleep(10 * time.Millisecond)
	}
	for i := range 20 {
		ask(i)
	}
	for _, name := range f.replicasAsked() {
		if name != "r3" {
			t.Fatalf("asked %v", f.replicasAsked())
		}
	}
	f.dispatcher.Observe(&peer.RegionLoads{PlacedPrompts: []peer.PlacedPrompt{{Replica: peer.NewReplicaKey("r3"), PrefillMS: 200}}})
	f.sent = nil
	ask(20)
	if asked := f.replicasAsked(); len(asked) != 1 || asked[0] == "r3" {
		t.Errorf("a busy replica is kept to: %v", asked)
	}
}

// TestASilentZoneIsAvoided: after three of its replicas gave no sign the others are
// left alone while another zone has some, until one of them answers or a second has
// passed.
func TestASilentZoneIsAvoided(t *testing.T) {
	synctest.Test(t, checkSilentZone)
}

func checkSilentZone(t *testing.T) {
	f := newFixture(t)
	f.configure(func(_ *routemap.Route, service *routemap.Service) { service.Slots = 1 })
	for i := range 8 {
		f.addReplica(fmt.Sprint("cut", i), "east-1")
		f.addReplica(fmt.Sprint("far", i), "west-1")
	}
	const hanging = 300 * time.Millisecond
	hung := 0
	cut := true
	f.answer = func(_ context.Context, attempt *Attempt) (*Response, error) {
		if cut && strings.HasPrefix(attempt.Replica.ID, "cut") {
			hung++
			time.Sleep(hanging)
			return nil, &AttemptError{Reason: FailureUnsent, NoResponse: true, Err: errors.New("i/o timeout")}
		}
		return whole(200, "served"), nil
	}
	began := time.Now()
	for i := range 12 {
		if _, refusal := f.serve(func(r *Request) { r.ID = fmt.Sprint("id-", i) }); refusal != nil {
			t.Errorf("request %d: %v", i, refusal)
		}
	}
	if hung != silentReplicas || time.Since(began) > silentReplicas*hanging {
		t.Errorf("%d connections hung, for %v", hung, time.Since(began))
	}
	time.Sleep(zoneAvoidance)
	cut = false
	f.sent = nil
	f.serve(nil)
	if asked := f.replicasAsked(); len(asked) != 1 || !strings.HasPrefix(asked[0], "cut") {
		t.Errorf("after the cut: asked %v", asked)
	}
	for _, id := range []string{"cut0", "cut1", "cut2"} {
		f.dispatcher.zone("east-1").noteSilent(time.Now(), id)
	}
	f.dispatcher.zone("east-1").noteHeard()
	f.sent = nil
	f.serve(nil)
	if asked := f.replicasAsked(); len(asked) != 1 || !strings.HasPrefix(asked[0], "cut") {
		t.Errorf("after one was heard: asked %v", asked)
	}
}

// TestReplicasThatWereReplacedTogetherArePassedOver: when many replicas are replaced
// at once, the list is late, and several in a row may be others by now. They did not
// run the request, and answer at once.
func TestReplicasThatWereReplacedTogetherArePassedOver(t *testing.T) {
	f := newFixture(t)
	f.configure(nil)
	for _, name := range []string{"a", "b", "c", "d"} {
		f.addReplica(name, "east-1")
	}
	for range 40 {
		f.serve(nil)
	}
	f.sent = nil
	f.answer = func(context.Context, *Attempt) (*Response, error) {
		if len(f.replicasAsked()) < 4 {
			return nil, attemptError(FailureReplaced)
		}
		return whole(200, "served"), nil
	}
	client, refusal := f.serve(nil)
	if refusal != nil || client.body.String() != "served" {
		t.Errorf("got %v, %q after %v", refusal, client.body.String(), f.replicasAsked())
	}
	f.sent = nil
	f.answer = func(context.Context, *Attempt) (*Response, error) { return nil, attemptError(FailureRejected) }
	if _, refusal := f.serve(nil); refusal == nil || len(f.replicasAsked()) > mostRefused {
		t.Errorf("full replicas: %v after %v", refusal, f.replicasAsked())
	}
}

// TestARefusalAfterABreakDoesNotSayNotRun: once something may have run, no refusal
// promises the contrary.
func TestARefusalAfterABreakDoesNotSayNotRun(t *testing.T) {
	f := newFixture(t)
	f.configure(func(route *routemap.Route, _ *routemap.Service) { route.Kind = routemap.Idempotent })
	f.addReplica("a", "east-1")
	for range 20 {
		f.serve(nil)
	}
	f.answer = func(context.Context, *Attempt) (*Response, error) { return nil, attemptError(FailureIndeterminate) }
	if _, refusal := f.serve(nil); refusal == nil || refusal.Code != CodeOutcomeUnknown || refusal.RetryAfter != 0 {
		t.Errorf("got %v", refusal)
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	f := newFixture(t)
	f.configure(func(route *routemap.Route, _ *routemap.Service) { route.Kind = routemap.Idempotent })
	for i := range 6 {
		f.addReplica(fmt.Sprint("r", i), "east-1")
	}
	f.answer = func(context.Context, *Attempt) (*Response, error) { return nil, attemptError(FailureIndeterminate) }
	const requests = 200
	for range requests {
		f.serve(nil)
	}
	if repeated := len(f.replicasAsked()) - requests; repeated > requests/5 || repeated == 0 {
		t.Errorf("%d repeats of %d requests", repeated, requests)
	}
}

func TestAReplicasOwnErrorIsPassedOn(t *testing.T) {
	f := newFixture(t)
	f.configure(nil)
	f.addReplica("a", "east-1")
	f.answer = func(context.Context, *Attempt) (*Response, error) { return whole(500, "failed"), nil }
	if client, refusal := f.serve(nil); refusal != nil || client.status != 500 || client.body.String() != "failed" {
		t.Errorf("got %v, %d", refusal, client.status)
	}
}

func TestAnAnswerThatBreaksOffIsNotBegun(t *testing.T) {
	f := newFixture(t)
	f.configure(nil)
	f.addReplica("a", "east-1")
	f.answer = func(context.Context, *Attempt) (*Response, error) {
		return &Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(io.MultiReader(strings.NewReader("part"), failing{errReset}))}, nil
	}
	if client, refusal := f.serve(nil); refusal == nil || refusal.Code != CodeOutcomeUnknown || refusal.ResponseStarted || client.status != 0 {
		t.Errorf("got %v, status %d", refusal, client.status)
	}
}

func TestTimeEndsWithAnAnswerAtOnce(t *testing.T) {
	f := newFixture(t)
	f.configure(func(route *routemap.Route, _ *routemap.Service) { route.Timeout = 50 * time.Millisecond })
	f.addReplica("a", "east-1")
	f.answer = func(ctx context.Context, _ *Attempt) (*Response, error) {
		<-ctx.Done()
		return nil, attemptError(FailureIndeterminate)
	}
	started := time.Now()
	_, refusal := f.serve(func(r *Request) { r.ClientTimeout = time.Minute })
	if took := time.Since(started); refusal == nil || refusal.Code != CodeTimedOut || took > time.Second {
		t.Errorf("got %v after %v", refusal, took)
	}
	if deadline := f.sent[0].Deadline; time.Until(deadline) > 50*time.Millisecond {
		t.Errorf("the replica was given until %v", deadline)
	}
}

func TestAClientThatLeavesEndsTheAttempt(t *testing.T) {
	f := newFixture(t)
	f.configure(nil)
	f.addReplica("a", "east-1")
	ctx, cancel := context.WithCancel(t.Context())
	f.answer = func(sending context.Context, _ *Attempt) (*Response, error) {
		cancel()
		<-sending.Done()
		return nil, attemptError(FailureIndeterminate)
	}
	request := &Request{ID: "id", Method: http.MethodPost, Host: "h", Path: "/", Arrived: time.Now()}
	if refusal := f.dispatcher.Serve(ctx, request, &recorder{}); refusal == nil || refusal.Code != CodeClientClosed {
		t.Errorf("got %v", refusal)
	}
}
