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
	problem *api.Error // answers every order with it
	last    []byte
	token   string
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		json.NewEncoder(w).Encode(map[string]any{
			api.PathConfiguration: api.ConfigurationAnswer{Version: 4, Serial: 9, Author: "ada", Document: document},
			api.PathZones:         api.ZonesAnswer{Zones: []api.ZoneStatus{{Zone: "north-1", Region: "north", Evacuated: true}}},
			api.PathStatus:        api.StatusAnswer{Node: "c1", Primary: "c2", Term: 7, Leases: 8},
			api.PathMembers: api.MembersAnswer{RepairDone: true, Members: []api.MemberStatus{
				{Name: "c1", Role: "control", Up: true, Voter: true, MatchIndex: 5},
				{Name: "g1", Role: "gateway", Up: true, LeaseMS: 900, HeldSerial: 9, ActiveSerial: 9},
			}},
			api.PathReplicas: api.ReplicasAnswer{Replicas: []api.ReplicaStatus{
				{ReplicaEntry: api.ReplicaEntry{ID: "r1", Service: "model", Zone: "north-1", Address: "127.0.0.1:1"}, Region: "north", Condition: "up"},
				{ReplicaEntry: api.ReplicaEntry{ID: "r2", Service: "model", Zone: "north-1", Address: "127.0.0.1:2"}, Region: "north", Condition: "cold", Feeder: "g1"},
			}},
		}[r.URL.Path])
		return
	}
	var body bytes.Buffer
	body.ReadFrom(r.Body)
	n.last, n.token = body.Bytes(), r.Header.Get("Authorization")
	if n.problem != nil {
		w.WriteHeader(n.problem.Status())
		json.NewEncoder(w).Encode(api.ErrorBody{Error: n.problem})
		return
	}
	json.NewEncoder(w).Encode(api.OrderAnswer{OrderID: "o", Accepted: true, Version: 5, Serial: 10})
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
		"zone list":     "ZONE     REGION  EVACUATED\nnorth-1  north   yes\n",
		"members list":  "NAME         ROLE     ZONE  REGION  UP   PEERS  HTTP  DETAIL\nc1           control  -     -       yes  -      -     voter, index 5\ng1           gateway  -     -       yes  -      -     lease 900 ms, serial 9 held, 9 active\nrepair done  -        -     -       yes  -      -     -\n",
		"replicas list": "REPLICA  SERVICE  ZONE     REGION  ADDRESS      CONDITION  FEEDER  DRAINING\nr1       model    north-1  north   127.0.0.1:1  up         -       no\nr2       model    north-1  north   127.0.0.1:2  cold       g1      no\n",
		"config get":    document,
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
	invalid := k.file(t, "invalid.yaml", strings.Replace(document, "service: model", "service: modle", 1))
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
