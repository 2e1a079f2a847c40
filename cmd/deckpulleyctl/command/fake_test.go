package command

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/api"
)

const document = `regions:
  north: {zones: [north-1], capacity: 4}
services:
  model: {kind: model, max_concurrency: 8}
routes:
  ask: {service: model, class: quick}
`

// fakeNode serves the API of a control node and of a gateway, and records the last
// operation that it received.
type fakeNode struct {
	// operationError is the response to every operation if it is not nil.
	operationError *api.Error
	// additionalReplicas are listed after r1 and r2.
	additionalReplicas []api.ReplicaStatus
	// operation is the body of the last operation, and authorization its Authorization
	// header.
	operation     []byte
	authorization string
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet:
		json.NewEncoder(w).Encode(n.responses()[r.URL.Path])
	case r.URL.Path == api.PathExplain:
		n.serveExplain(w, r)
	default:
		n.serveOperation(w, r)
	}
}

// responses returns the responses to GET requests by path.
func (n *fakeNode) responses() map[string]any {
	control := api.MemberStatus{Name: "c1", Role: "control", Up: true, Voter: true, MatchIndex: 5}
	gateway := api.MemberStatus{Name: "g1", Role: "gateway", Up: true, LeaseMS: 900, ReceivedSerial: 9, ActiveSerial: 9, ActiveVersion: 4}
	load := api.ServiceLoad{Service: "model", Region: "north", Utilization: 0.5, SetPoint: 0.8, Spill: 0.1, Limit: 8, InFlight: 3, Queued: 1, Replicas: 2, WarmingUp: 2}
	replicas := []api.ReplicaStatus{
		{ReplicaEntry: api.ReplicaEntry{ID: "r1", Service: "model", Zone: "north-1", Address: "127.0.0.1:1"}, Region: "north", Condition: "up"},
		{ReplicaEntry: api.ReplicaEntry{ID: "r2", Service: "model", Zone: "north-1", Address: "127.0.0.1:2"}, Region: "north", Condition: "cold", WarmupGateway: "g1"},
	}
	return map[string]any{
		api.PathConfiguration: api.ConfigurationAnswer{Version: 4, Serial: 9, Author: "ada", Document: document},
		api.PathZones:         api.ZonesAnswer{Zones: []api.ZoneStatus{{Zone: "north-1", Region: "north", Evacuated: true}}},
		api.PathStatus: api.StatusAnswer{
			Node: "c1", Primary: "c2", Term: 7, Leases: 8, CommitIndex: 6,
			Members: []api.MemberStatus{control, gateway}, Services: []api.ServiceLoad{load},
		},
		api.PathOperations: api.OperationsAnswer{Orders: []api.OperationStatus{
			{Number: 7, OperationID: "o2", Version: 4, Code: api.CodeVersionConflict, Reason: "the base is 3"},
			{Number: 6, OperationID: "o1", Accepted: true, Version: 4},
		}},
		api.PathMembers:  api.MembersAnswer{RepairDone: true, Members: []api.MemberStatus{control, gateway}},
		api.PathReplicas: api.ReplicasAnswer{Replicas: append(replicas, n.additionalReplicas...)},
	}
}

// serveExplain returns the body of the request as the reason of a step.
func (n *fakeNode) serveExplain(w http.ResponseWriter, r *http.Request) {
	var body bytes.Buffer
	body.ReadFrom(r.Body)
	json.NewEncoder(w).Encode(api.ExplainAnswer{
		Gateway: "g1", Region: "north",
		Steps:    []api.ExplainStep{{Step: "route", Result: "ask", Reason: body.String()}},
		Regions:  []api.ExplainRegion{{Region: "north", Rank: 1, Load: 0.5, LoadFreshness: "fresh", Usable: true}, {Region: "south", LoadFreshness: "stale"}},
		Replicas: []api.ExplainReplica{{Replica: "r1", State: "usable", Limit: 8, FirstTokenMS: 40}},
	})
}

func (n *fakeNode) serveOperation(w http.ResponseWriter, r *http.Request) {
	var body bytes.Buffer
	body.ReadFrom(r.Body)
	n.operation, n.authorization = body.Bytes(), r.Header.Get("Authorization")
	if n.operationError != nil {
		w.WriteHeader(n.operationError.Status())
		json.NewEncoder(w).Encode(api.ErrorBody{Error: n.operationError})
		return
	}
	json.NewEncoder(w).Encode(api.OperationResult{OperationID: "o", Accepted: true, Version: 5, Serial: 10})
}

// commandLine runs commands against a fake node.
type commandLine struct {
	node    *fakeNode
	address string
	folder  string
}

func newCommandLine(t *testing.T) *commandLine {
	t.Helper()
	node := &fakeNode{}
	server := httptest.NewServer(node)
	t.Cleanup(server.Close)
	return &commandLine{node: node, address: strings.TrimPrefix(server.URL, "http://"), folder: t.TempDir()}
}

func (c *commandLine) writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(c.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (c *commandLine) run(arguments ...string) (status int, output, errorOutput string) {
	var out, errs bytes.Buffer
	arguments = append(arguments, "--address", c.address, "--timeout", "300ms")
	status = Run(arguments, &out, &errs)
	return status, out.String(), errs.String()
}
