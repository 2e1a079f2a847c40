package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/stream"
	"github.com/deckpulley/deckpulley/transport"
)

// testTimeout bounds the wait for an event that must happen. A test that passes never
// waits that long.
const testTimeout = 15 * time.Second

// testLeaseConfig has frequent renewals and long leases, so that no lease expires on a
// busy machine.
var testLeaseConfig = lease.Config{Duration: 30 * time.Second, ClockDriftMargin: time.Second, MaxQuorumContactAge: time.Second, RenewalInterval: 50 * time.Millisecond}

// waitFor polls until the condition is true, and fails the test after testTimeout. what
// describes the expected event.
func waitFor(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	tb.Fatalf("timed out waiting for %s", what)
}

// fakePrimary is a primary that grants leases to all gateways and holds the registry.
type fakePrimary struct {
	mutex           sync.Mutex
	table           *registry.Table
	rejectRenewals  bool   // no lease is granted
	activationLimit uint32 // newest serial that may be activated; 0 permits all
	operations      []peer.OperationRequest
}

func newFakePrimary(tb testing.TB, network transport.Network) *fakePrimary {
	tb.Helper()
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: "control", Serial: 1}, []string{"control"})
	if err != nil {
		tb.Fatal(err)
	}
	p := &fakePrimary{table: table}
	network.Handle(peer.KindRenew, p.renew)
	network.Handle(peer.KindUpdate, p.update)
	network.Handle(peer.KindOperation, p.submitOperation)
	if err := network.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { network.Close() })
	return p
}

func (p *fakePrimary) renew(_ context.Context, _ string, decode func(any) error) (any, error) {
	var renew peer.Renew
	if err := decode(&renew); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.rejectRenewals {
		return &peer.Grant{Cluster: "cluster", Term: 1}, nil
	}
	info := renew.Gateway
	p.apply(registry.Add(catalog.GatewayRecord(info.Name, catalog.Gateway{
		Incarnation: info.Incarnation, Zone: info.Zone, Region: info.Region,
		PeerAddress: info.PeerAddress, HTTPAddress: info.HTTPAddress, Up: !info.Draining,
	})))
	grant := &peer.Grant{QuorumConfirmed: true, Cluster: "cluster", Term: 1, ActivationSerial: p.table.Serial(), ControlAddresses: []string{"control"}}
	if p.activationLimit != 0 {
		grant.ActivationSerial = p.activationLimit
	}
	if renew.ActiveSerial != 0 {
		grant.LeaseMS = testLeaseConfig.Duration.Milliseconds()
	}
	if renew.ReceivedSerial != p.table.Serial() {
		transfer := p.table.TransferSince(renew.ReceivedSerial)
		grant.Transfer = &transfer
	}
	return grant, nil
}

func (p *fakePrimary) update(_ context.Context, _ string, decode func(any) error) (any, error) {
	var request peer.UpdateRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	result := p.table.Apply(&request.Update, nil)
	return &peer.UpdateReply{Code: result.Code, Serial: result.Serial}, nil
}

func (p *fakePrimary) submitOperation(_ context.Context, _ string, decode func(any) error) (any, error) {
	var request peer.OperationRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.operations = append(p.operations, request)
	return &peer.OperationReply{Answer: &api.OperationResult{Accepted: true}}, nil
}

func (p *fakePrimary) apply(changes ...registry.Record) {
	update := registry.NewUpdate(catalog.Apex, nil, changes)
	if result := p.table.Apply(&update, nil); result.Code != registry.NoError {
		panic(fmt.Sprintf("applying an update: %v at %s %d", result.Code, result.Section, result.FailedIndex))
	}
}

func (p *fakePrimary) set(change func(*fakePrimary)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(p)
}

// answerFunc answers one request as a replica.
type answerFunc func(w http.ResponseWriter, r *http.Request, request *api.ReplicaRequest)

// fakeReplica is a replica that answers with the function that the test sets, and records
// the requests that it receives.
type fakeReplica struct {
	name    string
	server  *httptest.Server
	answer  atomic.Pointer[answerFunc]
	version atomic.Uint64 // configuration version in its reports
	// draining is the draining state in its reports.
	draining atomic.Bool

	mutex        sync.Mutex
	received     []api.ReplicaRequest
	incarnation  string
	blockReports chan struct{} // if not nil, reports are delayed until it is closed
}

func newFakeReplica(tb testing.TB, name string) *fakeReplica {
	tb.Helper()
	f := &fakeReplica{name: name, incarnation: "1"}
	f.setAnswer(writeAnswer)
	f.server = httptest.NewServer(f)
	tb.Cleanup(f.server.Close)
	return f
}

func (f *fakeReplica) setAnswer(answer answerFunc) { f.answer.Store(&answer) }

func (f *fakeReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == api.PathReplicaReport {
		f.mutex.Lock()
		incarnation, blocked := f.incarnation, f.blockReports
		f.mutex.Unlock()
		if blocked != nil {
			<-blocked
		}
		writeJSON(w, http.StatusOK, api.ReplicaReport{
			Replica: f.name, Incarnation: incarnation, Service: "explain", Slots: 64, PrefillTokensPerSecond: 1e6,
			ConfigurationVersion: f.version.Load(), Draining: f.draining.Load(), Sequence: uint64(time.Now().UnixNano()),
		})
		return
	}
	var request api.ReplicaRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		panic(http.ErrAbortHandler)
	}
	f.mutex.Lock()
	f.received = append(f.received, request)
	f.mutex.Unlock()
	(*f.answer.Load())(w, r, &request)
}

func (f *fakeReplica) requests() []api.ReplicaRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]api.ReplicaRequest(nil), f.received...)
}

func writeAnswer(w http.ResponseWriter, _ *http.Request, request *api.ReplicaRequest) {
	if request.Stream {
		writeStream(w, request, 5)
		return
	}
	writeJSON(w, http.StatusOK, api.GenerateAnswer{RequestID: request.RequestID, RunID: "run-1", Tokens: 3, Text: "abc"})
}

func chunkFrame(request *api.ReplicaRequest, sequence int) []byte {
	data, _ := json.Marshal(api.StreamChunk{RequestID: request.RequestID, RunID: "run-1", Sequence: sequence, Text: "word ", Tokens: 1})
	return stream.AppendFrame(nil, api.EventChunk, data)
}

func writeStream(w http.ResponseWriter, request *api.ReplicaRequest, chunks int) {
	w.Header().Set("Content-Type", stream.ContentType)
	for i := range chunks {
		w.Write(chunkFrame(request, i+1))
	}
	data, _ := json.Marshal(api.StreamEnd{RequestID: request.RequestID, RunID: "run-1", Sequence: chunks + 1, Tokens: chunks})
	w.Write(stream.AppendFrame(nil, api.EventEnd, data))
}

// fleet runs a primary, gateways and replicas in the process of the test.
type fleet struct {
	t           testing.TB
	memory      *transport.Memory
	primary     *fakePrimary
	clockOffset atomic.Int64 // added to every gateway's clock
}

// node is a gateway of a fleet, with its server for callers.
type node struct {
	*Gateway
	url     string
	network transport.Network
	stop    func()
}

func newFleet(tb testing.TB) *fleet {
	tb.Helper()
	memory := transport.NewMemory()
	f := &fleet{t: tb, memory: memory, primary: newFakePrimary(tb, memory.Node("control", "control"))}
	f.primary.set(func(p *fakePrimary) {
		p.apply(
			registry.Add(catalog.ConfigurationRecord(catalog.Configuration{Version: 1})),
			registry.Add(catalog.ServiceRecord("explain", catalog.Service{Kind: "model", MaxConcurrency: 64})),
			registry.Add(catalog.RouteRecord("m", catalog.Route{Service: "explain"})),
			registry.Add(catalog.RegionRecord("north", catalog.Region{Capacity: 1, Spill: []string{"south"}})),
			registry.Add(catalog.RegionRecord("south", catalog.Region{Capacity: 1, Spill: []string{"north"}})),
			registry.Add(catalog.ZoneRecord("north-1", catalog.Zone{Region: "north"})),
			registry.Add(catalog.ZoneRecord("south-1", catalog.Zone{Region: "south"})),
			registry.Add(catalog.LimitsRecord(catalog.Limits{StreamGapMS: 300})),
		)
	})
	return f
}

func (f *fleet) replica(name, region string) *fakeReplica {
	replica := newFakeReplica(f.t, name)
	f.primary.set(func(p *fakePrimary) {
		p.apply(registry.Add(catalog.ReplicaRecord(name, catalog.Replica{
			Service: "explain", Zone: region + "-1", Region: region, Address: replica.server.Listener.Addr().String(),
		})))
	})
	return replica
}

func (f *fleet) gateway(name, region, incarnation string, change func(*Options)) *node {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	network := f.memory.Node(name, name)
	started := time.Now()
	options := Options{
		Info: peer.GatewayInfo{
			Name: name, Incarnation: incarnation, Zone: region + "-1", Region: region,
			PeerAddress: name, HTTPAddress: listener.Addr().String(),
		},
		Seeds:           []string{"control"},
		TicketKeys:      [][]byte{bytes.Repeat([]byte{7}, 32)},
		LeaseConfig:     testLeaseConfig,
		Network:         network,
		Clock:           func() time.Duration { return time.Since(started) + time.Duration(f.clockOffset.Load()) },
		PollInterval:    20 * time.Millisecond,
		PollTimeout:     testTimeout,
		ShutdownTimeout: 10 * time.Millisecond,
		Seed:            1,
	}
	if change != nil {
		change(&options)
	}
	g, err := New(options)
	if err != nil {
		f.t.Fatal(err)
	}
	server := g.CallersServer()
	go server.Serve(listener)
	if err := g.Start(); err != nil {
		f.t.Fatal(err)
	}
	stop := sync.OnceFunc(func() {
		server.Close()
		g.Stop(context.Background())
		network.Close()
	})
	f.t.Cleanup(stop)
	return &node{Gateway: g, url: "http://" + listener.Addr().String(), network: network, stop: stop}
}

// awaitReady waits until the gateways can place requests, know each other, and may use
// all replicas of their region.
func (f *fleet) awaitReady(nodes ...*node) {
	f.t.Helper()
	waitFor(f.t, "the gateways to become ready", func() bool {
		for _, n := range nodes {
			if n.checkServing() != nil || len(n.agent.Active().Gateways()) < len(nodes) {
				return false
			}
			watched := n.router.LocalReplicas()
			services := n.router.Status().Services
			if len(watched) > 0 && (len(services) == 0 || services[0].Usable < len(watched)) {
				return false
			}
		}
		return true
	})
}

// reply is the response that a caller received.
type reply struct {
	status  int
	answer  api.GenerateAnswer
	failure *api.Error
	chunks  int
	ended   *api.StreamEnd
	broken  error // error of reading the body
	header  http.Header
}

// outcome describes the response in the form "success" or "code/outcome".
func (r *reply) outcome() string {
	switch {
	case r.failure != nil:
		return fmt.Sprintf("%s/%s", r.failure.Code, r.failure.Outcome)
	case r.broken != nil:
		return "broken"
	case r.ended != nil || r.answer.RunID != "":
		return "success"
	default:
		return "nothing"
	}
}

func post(ctx context.Context, url string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Close = true
	return http.DefaultClient.Do(request)
}

// send sends one request to a gateway and reads the complete response.
func (n *node) send(tb testing.TB, request api.GenerateRequest) *reply {
	tb.Helper()
	response, err := post(tb.Context(), n.url+api.PathRequests, request)
	if err != nil {
		return &reply{broken: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	got := &reply{status: response.StatusCode, broken: err, header: response.Header}
	if !isEventStream(response) {
		var wrapped struct {
			api.GenerateAnswer
			Error *api.Error `json:"error"`
		}
		if err := json.Unmarshal(body, &wrapped); err != nil {
			tb.Fatalf("decoding the answer %q: %v", body, err)
		}
		got.answer, got.failure = wrapped.GenerateAnswer, wrapped.Error
		return got
	}
	for _, event := range strings.Split(string(body), "\n\n") {
		kind, data, _ := strings.Cut(strings.TrimPrefix(event, "event: "), "\ndata: ")
		switch kind {
		case api.EventChunk:
			got.chunks++
		case api.EventEnd:
			got.ended = new(api.StreamEnd)
			err = json.Unmarshal([]byte(data), got.ended)
		case api.EventError:
			got.failure = new(api.Error)
			err = json.Unmarshal([]byte(data), got.failure)
		}
	}
	if err != nil && got.broken == nil {
		tb.Fatalf("decoding an event: %v", err)
	}
	return got
}

// where asks the gateway where to send a request. It returns the request with the ticket,
// and the answer.
func (n *node) where(tb testing.TB, request api.GenerateRequest) (api.GenerateRequest, *api.WhereAnswer) {
	tb.Helper()
	whereRequest := api.WhereRequest{RequestID: request.RequestID, Model: request.Model, WaitMS: request.WaitMS, Repeatable: request.Repeatable, Home: request.Home}
	response, err := post(tb.Context(), n.url+api.PathWhere, whereRequest)
	if err != nil {
		tb.Fatal(err)
	}
	defer response.Body.Close()
	var answer api.WhereAnswer
	body, _ := io.ReadAll(response.Body)
	if err := json.Unmarshal(body, &answer); err != nil || response.StatusCode != http.StatusOK {
		tb.Fatalf("where: status %d: %s", response.StatusCode, body)
	}
	request.Ticket = answer.Ticket
	return request, &answer
}

// requestOwnedBy returns a request with a ticket that this gateway issued. It tries
// different request ids, since the id determines the owner.
func (n *node) requestOwnedBy(tb testing.TB, request api.GenerateRequest) api.GenerateRequest {
	tb.Helper()
	for try := range 64 {
		candidate := request
		candidate.RequestID = fmt.Sprintf("%s-%d", request.RequestID, try)
		candidate, answer := n.where(tb, candidate)
		if "http://"+answer.Gateway == n.url {
			return candidate
		}
	}
	tb.Fatalf("gateway %s issued none of 64 tickets", n.options.Info.Name)
	return request
}

// newRequest returns a valid request that is not repeatable.
func newRequest(id string) api.GenerateRequest {
	return api.GenerateRequest{RequestID: id, Model: "m", PromptTokens: 10, MaxTokens: 5, WaitMS: 10_000}
}
