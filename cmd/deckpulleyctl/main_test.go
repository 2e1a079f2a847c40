package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/api"
)

const document = `regions:
  north: {zones: [north-1], capacity: 4}
services:
  model: {kind: model, max_concurrency: 8}
routes:
  ask: {service: model, class: quick}
`

// fakeNode answers as a control node would and keeps the last body it was sent.
type fakeNode struct {
	problem *api.Error          // answers every order with it
	more    []api.ReplicaStatus // listed after the others
	last    []byte
	token   string
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		json.NewEncoder(w).Encode(map[string]any{
			api.PathConfiguration: api.ConfigurationAnswer{Version: 4, Serial: 9, Author: "ada", Document: document},
			api.PathZones:         api.ZonesAnswer{Zones: []api.ZoneStatus{{Zone: "north-1", Region: "north", Evacuated: true}}},
			api.PathStatus: api.StatusAnswer{Node: "c1", Primary: "c2", Term: 7, Leases: 8, CommitIndex: 6, Members: []api.MemberStatus{
				{Name: "c1", Role: "control", Up: true, Voter: true, MatchIndex: 5},
				{Name: "g1", Role: "gateway", Up: true, LeaseMS: 900, ReceivedSerial: 9, ActiveSerial: 9, ActiveVersion: 4},
			}, Services: []api.ServiceLoad{{Service: "model", Region: "north", Utilization: 0.5, SetPoint: 0.8, Spill: 0.1, Limit: 8, InFlight: 3, Queued: 1, Replicas: 2, Cold: 2}}},
			api.PathOperations: api.OperationsAnswer{Orders: []api.OperationStatus{
				{Number: 7, OperationID: "o2", Version: 4, Code: api.CodeVersionConflict, Reason: "the base is 3"},
				{Number: 6, OperationID: "o1", Accepted: true, Version: 4},
			}},
			api.PathMembers: api.MembersAnswer{RepairDone: true, Members: []api.MemberStatus{
				{Name: "c1", Role: "control", Up: true, Voter: true, MatchIndex: 5},
				{Name: "g1", Role: "gateway", Up: true, LeaseMS: 900, ReceivedSerial: 9, ActiveSerial: 9},
			}},
			api.PathReplicas: api.ReplicasAnswer{Replicas: append([]api.ReplicaStatus{
				{ReplicaEntry: api.ReplicaEntry{ID: "r1", Service: "model", Zone: "north-1", Address: "127.0.0.1:1"}, Region: "north", Condition: "up"},
				{ReplicaEntry: api.ReplicaEntry{ID: "r2", Service: "model", Zone: "north-1", Address: "127.0.0.1:2"}, Region: "north", Condition: "cold", Feeder: "g1"},
			}, n.more...)},
		}[r.URL.Path])
		return
	}
	var body bytes.Buffer
	body.ReadFrom(r.Body)
	if r.URL.Path == api.PathExplain {
		json.NewEncoder(w).Encode(api.ExplainAnswer{
			Gateway: "g1", Region: "north",
			Steps:    []api.ExplainStep{{Step: "route", Result: "ask", Reason: body.String()}},
			Regions:  []api.ExplainRegion{{Region: "north", Rank: 1, Load: 0.5, Knowledge: "fresh", Usable: true}, {Region: "south", Knowledge: "stale"}},
			Replicas: []api.ExplainReplica{{Replica: "r1", State: "usable", Limit: 8, FirstTokenMS: 40}},
		})
		return
	}
	n.last, n.token = body.Bytes(), r.Header.Get("Authorization")
	if n.problem != nil {
		w.WriteHeader(n.problem.Status())
		json.NewEncoder(w).Encode(api.ErrorBody{Error: n.problem})
		return
	}
	json.NewEncoder(w).Encode(api.OperationResult{OperationID: "o", Accepted: true, Version: 5, Serial: 10})
}

// tool runs the command against a fake node.
type tool struct {
	node    *fakeNode
	address string
	folder  string
}

func newTool(t *testing.T) *tool {
	t.Helper()
	node := &fakeNode{}
	server := httptest.NewServer(node)
	t.Cleanup(server.Close)
	return &tool{node: node, address: strings.TrimPrefix(server.URL, "http://"), folder: t.TempDir()}
}

func (k *tool) file(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(k.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (k *tool) run(arguments ...string) (status int, output, complaints string) {
	var out, errs bytes.Buffer
	arguments = append(arguments, "--address", k.address, "--timeout", "300ms")
	status = run(arguments, &out, &errs)
	return status, out.String(), errs.String()
}

func TestTables(t *testing.T) {
	k := newTool(t)
	for command, want := range map[string]string{
		"zone list":      "ZONE     REGION  EVACUATED\nnorth-1  north   yes\n",
		"members list":   "NAME         ROLE     ZONE  REGION  UP   PEERS  HTTP  DETAIL\nc1           control  -     -       yes  -      -     voter, index 5\ng1           gateway  -     -       yes  -      -     lease 900 ms, serial 9 held, 9 active\nrepair done  -        -     -       yes  -      -     -\n",
		"replicas list":  "REPLICA  SERVICE  ZONE     REGION  ADDRESS      CONDITION  FEEDER  DRAINING\nr1       model    north-1  north   127.0.0.1:1  up         -       no\nr2       model    north-1  north   127.0.0.1:2  cold       g1      no\n",
		"config get":     document,
		"config history": "NUMBER  ORDER  ACCEPTED  VERSION  REASON\n7       o2     no        4        version_conflict (refused): the base is 3\n6       o1     yes       4        -\n",
	} {
		status, output, complaints := k.run(strings.Fields(command)...)
		if status != exitDone {
			t.Fatalf("%s: status %d, %s", command, status, complaints)
		}
		if diff := cmp.Diff(want, output); diff != "" {
			t.Errorf("%s: %s", command, diff)
		}
	}
	if _, output, _ := k.run("zone", "list", "-o", "yaml"); output != "zones:\n  - evacuated: true\n    region: north\n    zone: north-1\n" {
		t.Errorf("yaml %q", output)
	}
	var decoded api.StatusAnswer
	if _, output, _ := k.run("status", "-o", "json"); json.Unmarshal([]byte(output), &decoded) != nil || decoded.Primary != "c2" {
		t.Errorf("json %q", output)
	}
}

func TestOrders(t *testing.T) {
	k := newTool(t)
	path := k.file(t, "c.yaml", document)
	token := k.file(t, "token", "# mine\nada 0123456789abcdef\n")
	cases := []struct {
		arguments []string
		want      string
	}{
		{
			[]string{"config", "apply", path, "--order-id", "o", "--author", "ada", "--token-file", token},
			fmt.Sprintf(`{"order_id":"o","base_version":4,"author":"ada","document":%q}`, document),
		},
		{
			[]string{"config", "apply", path, "--order-id", "o", "--author", "", "--base-version", "2", "--token-file", token},
			fmt.Sprintf(`{"order_id":"o","base_version":2,"document":%q}`, document),
		},
		{
			[]string{"zone", "evacuate", "north-1", "--order-id", "o", "--author", "ada", "--token-file", token},
			`{"order_id":"o","zone":"north-1","author":"ada"}`,
		},
		{
			[]string{"zone", "restore", "north-1", "--order-id", "o", "--author", "ada", "--token-file", token},
			`{"order_id":"o","zone":"north-1","withdraw":true,"author":"ada"}`,
		},
		{
			[]string{"replicas", "drain", "r2", "--token-file", token},
			`{"replicas":[{"id":"r1","service":"model","zone":"north-1","address":"127.0.0.1:1"},{"id":"r2","service":"model","zone":"north-1","address":"127.0.0.1:2","draining":true}]}`,
		},
	}
	for _, c := range cases {
		status, output, complaints := k.run(c.arguments...)
		if status != exitDone || output != "ORDER  ACCEPTED  VERSION  SERIAL\no      yes       5        10\n" {
			t.Errorf("%v: status %d, %s%s", c.arguments, status, output, complaints)
		}
		if diff := cmp.Diff(c.want, string(k.node.last)); diff != "" {
			t.Errorf("%v: %s", c.arguments, diff)
		}
		if k.node.token != "Bearer 0123456789abcdef" {
			t.Errorf("%v: token %q", c.arguments, k.node.token)
		}
	}
}

func TestExitStatuses(t *testing.T) {
	k := newTool(t)
	valid := k.file(t, "valid.yaml", document)
	invalid := k.file(t, "invalid.yaml", strings.Replace(document, "service: model", "service: modell", 1))
	apply := []string{"config", "apply", valid, "--order-id", "o", "--author", "ada"}
	cases := []struct {
		name      string
		arguments []string
		problem   *api.Error
		status    int
		complaint string
	}{
		{"valid file", []string{"config", "validate", valid}, nil, exitDone, ""},
		{"invalid file", []string{"config", "validate", invalid}, nil, exitUsage, "routes.ask.service"},
		{"invalid file is not sent", []string{"config", "apply", invalid}, nil, exitUsage, "routes.ask.service"},
		{"unknown command", []string{"zones"}, nil, exitUsage, "unknown command"},
		{"unknown replica", []string{"replicas", "drain", "r9"}, nil, exitUsage, `no replica "r9"`},
		{"unknown format", append(apply, "-o", "xml"), nil, exitUsage, "xml"},
		{"refused", apply, &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: "why"}, exitRefused, "why"},
		{"outraced", apply, &api.Error{Code: api.CodeVersionConflict, Outcome: api.OutcomeRefused}, exitConflict, ""},
		{"unknown", apply, &api.Error{Code: api.CodePending, Outcome: api.OutcomeUnknown}, exitUnknown, `--order-id o --author "ada" --base-version 4`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			k.node.problem, k.node.last = c.problem, nil
			status, _, complaints := k.run(c.arguments...)
			if status != c.status || !strings.Contains(complaints, c.complaint) {
				t.Errorf("status %d, %s", status, complaints)
			}
			if status == exitUsage && k.node.last != nil {
				t.Error("something was sent")
			}
		})
	}
	var output, complaints bytes.Buffer
	if status := run([]string{"status", "--address", "127.0.0.1:1", "--timeout", "100ms"}, &output, &complaints); status != exitUnreachable {
		t.Errorf("nobody there: status %d, %s", status, &complaints)
	}
	t.Setenv(environmentAddress, "")
	if status := run([]string{"status"}, &output, &complaints); status != exitUsage {
		t.Errorf("no address: status %d", status)
	}
}

func TestDiff(t *testing.T) {
	k := newTool(t)
	changed := strings.NewReplacer("capacity: 4", "capacity: 5", "  ask:", "  answer:").Replace(document)
	status, output, complaints := k.run("config", "diff", k.file(t, "c.yaml", changed))
	want := `against version 4: 5 changes
~ regions.north.capacity: 4 -> 5
+ routes.answer.class: "quick"
+ routes.answer.service: "model"
- routes.ask.class: "quick"
- routes.ask.service: "model"
`
	if status != exitDone {
		t.Fatal(complaints)
	}
	if diff := cmp.Diff(want, output); diff != "" {
		t.Error(diff)
	}
}

const statusScreen = `FIELD                  VALUE
answered by            c1
primary                c2
primary address        -
term                   7
committed index        6
serial                 0
serial in force        0
configuration version  0
leases                 8
repair done            yes

CONTROL  ZONE  UP   VOTES  LAG  PEERS  IDENTITY
c1       -     yes  yes    1    -      -

GATEWAY  ZONE  REGION  UP   LEASE MS  HELD  ACTIVE  VERSION  CALLERS
g1       -     -       yes  900       9     9       4        -

REGION  SERVICE  REPLICAS UP  COLD  DRAINING  DOWN  UNSEEN
north   model    1            1     0         0     0
south   model    0            0     0         1     0
`

const loadScreen = `REGION  SERVICE  LOAD  AIM  SPILL  IN FLIGHT  QUEUED  LIMIT  USABLE  COLD  DRAINING  EJECTED
north   model    50%   80%  10%    3          1       8      0 of 2  2     0         0
`

const degradedScreen = `DEGRADED, AND WHAT TO DO
gateway at 127.0.0.1:1 does not answer its operators' port: restart it or its machine
service model has no usable replica in region north: look at them with deckpulleyctl replicas list
replica r3 of service model in zone south-1 is down: restart it, or take it off the platform's list
`

const explainScreen = `gateway g1 in region north, configuration version 0, serial 0

STEP   RESULT  REASON
route  ask     {"request_id":"","tenant":"bank","model":"ask","prefixes":[{"id":"repository","tokens":900},{"id":"file","tokens":20}],"prompt_tokens":0,"max_tokens":1,"repeatable":true}

REGION  RANK             LOAD  KNOWLEDGE  USABLE  TAKES SPILL
north   1                50%   fresh      yes     no
south   not a candidate  0%    stale      no      no

REPLICA  STATE   IN FLIGHT  OTHERS  LIMIT  FIRST TOKEN MS
r1       usable  0          0       8      40
`

// TestScreens shows the fleet with two gateways, one of which does not answer.
func TestScreens(t *testing.T) {
	k := newTool(t)
	t.Setenv(environmentGateways, k.address+",127.0.0.1:1")
	k.node.more = []api.ReplicaStatus{{ReplicaEntry: api.ReplicaEntry{ID: "r3", Service: "model", Zone: "south-1"}, Region: "south", Condition: "down"}}
	for command, want := range map[string]string{
		"status":                         statusScreen + "\n" + loadScreen + "\n" + degradedScreen,
		"top --count 2 --interval 200ms": strings.Repeat("primary c2, term 7, version 0, serial 0, in force 0, leases 8\n"+loadScreen+degradedScreen, 2),
		"route explain ask --tenant bank --prefix repository=900,file=20": explainScreen,
	} {
		status, output, complaints := k.run(strings.Fields(command)...)
		if status != exitDone {
			t.Errorf("%s: status %d, %s", command, status, complaints)
		}
		if diff := cmp.Diff(want, output); diff != "" {
			t.Errorf("%s: %s", command, diff)
		}
	}
	for command, want := range map[string]int{
		"status --check":                  exitDegraded,
		"top --interval 1ms":              exitUsage,
		"route explain ask --prefix file": exitUsage,
		"recover":                         exitDone,
	} {
		if status, _, complaints := k.run(strings.Fields(command)...); status != want {
			t.Errorf("%s: status %d, %s", command, status, complaints)
		}
	}
}

// TestPages finds a man page for every command that is shown.
func TestPages(t *testing.T) {
	k := newTool(t)
	if status, _, complaints := k.run("man", k.folder); status != exitDone {
		t.Fatal(complaints)
	}
	for _, page := range []string{"deckpulleyctl.1", "deckpulleyctl-config-history.1", "deckpulleyctl-route-explain.1", "deckpulleyctl-top.1", "deckpulleyctl-recover.1"} {
		if text, err := os.ReadFile(filepath.Join(k.folder, page)); err != nil || !bytes.Contains(text, []byte("deckpulleyctl")) {
			t.Errorf("%s: %v", page, err)
		}
	}
	for typed, want := range map[string]string{
		"zone evacuate n":       "north-1\n",
		"replicas drain r1 r":   "r2\n",
		"zone restore north-1 ": "",
	} {
		t.Setenv(environmentAddress, k.address)
		var output, complaints bytes.Buffer
		run(append([]string{"__completeNoDesc"}, strings.Split(typed, " ")...), &output, &complaints)
		if got, _, _ := strings.Cut(output.String(), ":"); got != want {
			t.Errorf("%q is completed by %q", typed, got)
		}
	}
	for _, shell := range []string{"bash", "zsh", "fish"} {
		if status, output, _ := k.run("completion", shell); status != exitDone || !strings.Contains(output, "deckpulleyctl") {
			t.Errorf("completion for %s: status %d", shell, status)
		}
	}
}
