package api_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/deckpulley/deckpulley/api"
)

var updateGolden = flag.Bool("update-golden", false, "rewrite the golden files instead of comparing with them")

// goldenDirectory contains the encoded documents. They must not be rewritten when Go names
// change, because nodes and clients of earlier versions send this encoding.
const goldenDirectory = "testdata/golden"

// goldenDocument is one document of the API and the file with its encoded form.
type goldenDocument struct {
	file string
	// document is a pointer to a value of the document's type.
	document any
	// minimal is set if the document has only the fields that are always encoded.
	minimal bool
}

// Values that several documents contain.
var (
	goldenPrefixes = []api.Prefix{{ID: "system", Tokens: 1200}, {ID: "file", Tokens: 300}}

	goldenError = api.Error{
		Code: api.CodeOverloaded, Outcome: api.OutcomeRefused, Message: "the queue is full", Field: "routes.chat",
		Retry: true, RetryAfterMS: 250, RequestID: "request-1",
	}

	goldenReport = api.ReplicaReport{
		Replica: "replica-1", Incarnation: "i-7", Service: "explain", Running: 3, Queued: 2, Slots: 16,
		PendingPrefillTokens: 4096, PrefillTokensPerSecond: 8000.5, CacheUsed: 0.25, CacheEvictions: 9,
		WeightVersion: "w-2", Cold: true, Draining: true, ConfigurationVersion: 12, Sequence: 77,
	}

	goldenStamp = api.Stamp{
		ConfigurationVersion: 12, Serial: 40, Gateway: "gateway-1", Incarnation: "i-3",
		ReplicaIncarnation: "i-7", Attempt: 2,
	}

	goldenReplicaEntry = api.ReplicaEntry{
		ID: "replica-1", Service: "explain", Zone: "north-1", Address: "127.0.0.1:7500", Draining: true, Slots: 16,
		ColdMS: new(int64(60_000)),
	}

	goldenReplicaStatus = api.ReplicaStatus{
		ReplicaEntry: goldenReplicaEntry, Region: "north", Condition: "cold", WarmupGateway: "gateway-1",
	}

	goldenMember = api.MemberStatus{
		Name: "control-1", Role: "control", Zone: "north-1", Region: "north", Incarnation: "i-1",
		PeerAddress: "127.0.0.1:7401", HTTPAddress: "127.0.0.1:7402", Up: true, Identity: "0a0b", Voter: true,
		Learner: true, MatchIndex: 118, LeaseMS: 2900, ReceivedSerial: 41, ActiveSerial: 40, ActiveVersion: 12,
	}

	goldenLoad = api.ServiceLoad{
		Service: "explain", Region: "north", Utilization: 0.75, SetPoint: 0.8, Spill: 0.125, Limit: 64, InFlight: 48,
		Queued: 5, Replicas: 4, Usable: 3, WarmingUp: 1, Draining: 2, Ejected: 6,
	}

	goldenOrder = api.OperationStatus{
		Number: 31, OperationID: "order-9", Accepted: true, Version: 12, Code: api.CodeVersionConflict,
		Field: "base_version", Reason: "the current version is 12",
	}

	goldenExplainStep    = api.ExplainStep{Step: "route", Result: "explain", Reason: "routes.chat"}
	goldenExplainRegion  = api.ExplainRegion{Region: "north", Rank: 1, Load: 0.5, LoadFreshness: "fresh", Usable: true, AcceptsSpill: true}
	goldenExplainReplica = api.ExplainReplica{Replica: "replica-1", State: "usable", InFlight: 2, Others: 3, Limit: 8, FirstTokenMS: 140}
	goldenZone           = api.ZoneStatus{Zone: "north-1", Region: "north", Evacuated: true}

	goldenHTTPReplica = api.HTTPReplicaStatus{
		ID: "replica-1", Service: "explain", Zone: "north-1", Region: "north", Address: "127.0.0.1:7500",
		State: api.HTTPReplicaUsable, Requests: 4, PrefillMS: 800, Slowness: 1.5,
	}
)

// goldenDocuments returns a document of each type with every field set, and for types
// with optional fields also one without them.
func goldenDocuments() []goldenDocument {
	return []goldenDocument{
		// Callers.
		{file: "prefix", document: &goldenPrefixes[0]},
		{file: "where_request", document: &api.WhereRequest{
			RequestID: "request-1", Tenant: "acme", Model: "chat", Prefixes: goldenPrefixes, Home: "north-only",
			Client: "office", WaitMS: 5000, Repeatable: true,
		}},
		{file: "where_request_minimal", minimal: true, document: &api.WhereRequest{RequestID: "request-1", Model: "chat"}},
		{file: "where_answer", document: &api.WhereAnswer{
			RequestID: "request-1", Ticket: "dGlja2V0", Gateway: "127.0.0.1:7413", Alternates: []string{"127.0.0.1:7423"},
			Region: "north", ExpiresInMS: 60_000, ConfigurationVersion: 12,
		}},
		{file: "where_answer_minimal", minimal: true, document: &api.WhereAnswer{RequestID: "request-1", Ticket: "dGlja2V0", Gateway: "127.0.0.1:7413"}},
		{file: "generate_request", document: &api.GenerateRequest{
			RequestID: "request-1", Ticket: "dGlja2V0", Tenant: "acme", Model: "chat", Class: api.ClassLong,
			Prefixes: goldenPrefixes, PromptTokens: 40, MaxTokens: 5, Stream: true, Home: "north-only", Client: "office",
			WaitMS: 5000, Repeatable: true,
		}},
		{file: "generate_request_minimal", minimal: true, document: &api.GenerateRequest{RequestID: "request-1", Model: "chat"}},
		{file: "generate_answer", document: &api.GenerateAnswer{
			RequestID: "request-1", RunID: "run-1", Tokens: 5, Text: "one <two> & \"three\"\n", CachedTokens: 1200, Replica: "replica-1",
			Region: "north", ConfigurationVersion: 12, Report: &goldenReport,
		}},
		{file: "generate_answer_minimal", minimal: true, document: &api.GenerateAnswer{RequestID: "request-1", RunID: "run-1"}},
		{file: "stream_piece", document: &api.StreamChunk{RequestID: "request-1", RunID: "run-1", Sequence: 2, Text: "two", Tokens: 1}},
		{file: "stream_end", document: &api.StreamEnd{
			RequestID: "request-1", RunID: "run-1", Sequence: 6, Tokens: 5, CachedTokens: 1200, Replica: "replica-1",
			Region: "north", ConfigurationVersion: 12, Report: &goldenReport,
		}},
		{file: "stream_end_minimal", minimal: true, document: &api.StreamEnd{RequestID: "request-1", RunID: "run-1", Sequence: 6}},
		// Errors.
		{file: "error", document: &goldenError},
		{file: "error_minimal", minimal: true, document: &api.Error{Code: api.CodeInternal, Outcome: api.OutcomeUnknown, Message: "a defect"}},
		{file: "error_body", document: &api.ErrorBody{Error: &goldenError}},
		// Replicas.
		{file: "replica_report", document: &goldenReport},
		{file: "stamp", document: &goldenStamp},
		{file: "stamp_minimal", minimal: true, document: &api.Stamp{Gateway: "gateway-1", Incarnation: "i-3"}},
		{file: "replica_request", document: &api.ReplicaRequest{
			RequestID: "request-1", Model: "chat", Class: api.ClassQuick, Prefixes: goldenPrefixes, PromptTokens: 40,
			MaxTokens: 5, Stream: true, TimeLeftMS: 4900, Stamp: goldenStamp,
		}},
		{file: "replica_request_minimal", minimal: true, document: &api.ReplicaRequest{RequestID: "request-1", Model: "chat", Class: api.ClassFetch}},
		{file: "http_replica_status", document: &goldenHTTPReplica},
		{file: "http_replicas_answer", document: &api.HTTPReplicasAnswer{Gateway: "gateway-1", Replicas: []api.HTTPReplicaStatus{goldenHTTPReplica}}},
		// Operators and the platform.
		{file: "configuration_order", document: &api.ConfigurationOperation{
			OperationID: "order-9", BaseVersion: 11, Author: "alice", Document: "regions:\n  north: {}\n",
		}},
		{file: "configuration_order_minimal", minimal: true, document: &api.ConfigurationOperation{OperationID: "order-9"}},
		{file: "configuration_change_order", document: &api.ConfigurationPatchOperation{
			OperationID: "order-9", BaseVersion: 11, Author: "alice", Change: "remove:\n  tenants: [old]\n",
		}},
		{file: "configuration_change_order_minimal", minimal: true, document: &api.ConfigurationPatchOperation{OperationID: "order-9"}},
		{file: "evacuation_order", document: &api.EvacuationOperation{OperationID: "order-9", Zone: "north-1", Withdraw: true, Author: "alice"}},
		{file: "evacuation_order_minimal", minimal: true, document: &api.EvacuationOperation{OperationID: "order-9", Zone: "north-1"}},
		{file: "order_answer", document: &api.OperationResult{OperationID: "order-9", Accepted: true, Version: 12, Serial: 40, Error: &goldenError}},
		{file: "order_answer_minimal", minimal: true, document: &api.OperationResult{OperationID: "order-9"}},
		{file: "configuration_answer", document: &api.ConfigurationAnswer{Version: 12, Serial: 40, Author: "alice", Document: "regions: {}\n"}},
		{file: "configuration_answer_minimal", minimal: true, document: &api.ConfigurationAnswer{}},
		{file: "zone_status", document: &goldenZone},
		{file: "zones_answer", document: &api.ZonesAnswer{Zones: []api.ZoneStatus{goldenZone}}},
		{file: "replica_entry", document: &goldenReplicaEntry},
		{file: "replica_entry_minimal", minimal: true, document: &api.ReplicaEntry{ID: "replica-1", Service: "explain", Zone: "north-1", Address: "127.0.0.1:7500"}},
		{file: "replica_list", document: &api.ReplicaList{Replicas: []api.ReplicaEntry{goldenReplicaEntry}}},
		{file: "replica_status", document: &goldenReplicaStatus},
		{file: "replica_status_minimal", minimal: true, document: &api.ReplicaStatus{Region: "north", Condition: "up"}},
		{file: "replicas_answer", document: &api.ReplicasAnswer{Serial: 40, Replicas: []api.ReplicaStatus{goldenReplicaStatus}}},
		{file: "member_status", document: &goldenMember},
		{file: "member_status_minimal", minimal: true, document: &api.MemberStatus{Name: "gateway-1", Role: "gateway"}},
		{file: "members_answer", document: &api.MembersAnswer{Members: []api.MemberStatus{goldenMember}, RepairDone: true}},
		{file: "status_answer", document: &api.StatusAnswer{
			Node: "control-2", Primary: "control-1", PrimaryAddress: "127.0.0.1:7402", Term: 4, CommitIndex: 118,
			AppliedIndex: 117, Serial: 41, InForceSerial: 40, Version: 12, Leases: 2, Members: []api.MemberStatus{goldenMember},
			Degraded: []string{"control-3 is down"}, Services: []api.ServiceLoad{goldenLoad},
		}},
		{file: "status_answer_minimal", minimal: true, document: &api.StatusAnswer{Node: "control-2"}},
		{file: "service_load", document: &goldenLoad},
		{file: "order_status", document: &goldenOrder},
		{file: "order_status_minimal", minimal: true, document: &api.OperationStatus{Number: 31, OperationID: "order-9", Accepted: true, Version: 12}},
		{file: "orders_answer", document: &api.OperationsAnswer{Serial: 40, Orders: []api.OperationStatus{goldenOrder}}},
		{file: "explain_step", document: &goldenExplainStep},
		{file: "explain_region", document: &goldenExplainRegion},
		{file: "explain_replica", document: &goldenExplainReplica},
		{file: "explain_answer", document: &api.ExplainAnswer{
			Gateway: "gateway-1", Region: "north", ConfigurationVersion: 12, Serial: 40,
			Steps: []api.ExplainStep{goldenExplainStep}, Regions: []api.ExplainRegion{goldenExplainRegion},
			Replicas: []api.ExplainReplica{goldenExplainReplica}, Error: &goldenError,
		}},
		{file: "explain_answer_minimal", minimal: true, document: &api.ExplainAnswer{Gateway: "gateway-1"}},
	}
}

// TestGoldenDocuments checks that each document is encoded as in its golden file, and
// that the file decodes to the same document.
func TestGoldenDocuments(t *testing.T) {
	for _, golden := range goldenDocuments() {
		t.Run(golden.file, func(t *testing.T) { testGoldenDocument(t, golden) })
	}
}

func testGoldenDocument(t *testing.T, golden goldenDocument) {
	t.Helper()
	if !golden.minimal {
		requireEveryField(t, golden.file, reflect.ValueOf(golden.document).Elem())
	}
	encoded, err := json.Marshal(golden.document)
	if err != nil {
		t.Fatalf("encoding the document: %v", err)
	}
	want := readGolden(t, golden.file+".json", append(encoded, '\n'))
	if got := string(encoded) + "\n"; got != string(want) {
		t.Errorf("encoded as\n%swant the golden file\n%s", got, want)
	}
	decoded := reflect.New(reflect.TypeOf(golden.document).Elem()).Interface()
	decoder := json.NewDecoder(bytes.NewReader(want))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(decoded); err != nil {
		t.Fatalf("decoding the golden file: %v", err)
	}
	if !reflect.DeepEqual(decoded, golden.document) {
		t.Errorf("the golden file decodes to\n%+v\nwant\n%+v", decoded, golden.document)
	}
}

// TestGoldenDocumentsCoverEveryType checks that each struct type of the package has a
// golden document.
func TestGoldenDocumentsCoverEveryType(t *testing.T) {
	covered := make(map[string]bool)
	for _, golden := range goldenDocuments() {
		if !golden.minimal {
			covered[reflect.TypeOf(golden.document).Elem().Name()] = true
		}
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		for _, name := range structNames(t, path) {
			if !covered[name] {
				t.Errorf("%s: %s has no golden document", path, name)
			}
		}
	}
}

// structNames returns the names of the struct types that a file declares.
func structNames(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	ast.Inspect(file, func(node ast.Node) bool {
		declared, isType := node.(*ast.TypeSpec)
		if !isType {
			return true
		}
		if _, isStruct := declared.Type.(*ast.StructType); isStruct {
			names = append(names, declared.Name.Name)
		}
		return false
	})
	return names
}

// goldenStrings contains the API's string constants, grouped by kind. Clients compare
// with these values.
type goldenStrings struct {
	Outcomes          []api.Outcome          `json:"outcomes"`
	Classes           []api.Class            `json:"classes"`
	Events            []string               `json:"events"`
	HTTPReplicaStates []api.HTTPReplicaState `json:"http_replica_states"`
	Paths             []string               `json:"paths"`
	Codes             []goldenCode           `json:"codes"`
}

// goldenCode is an error code and the HTTP status of a response with it.
type goldenCode struct {
	Code   api.Code `json:"code"`
	Status int      `json:"status"`
}

// TestGoldenStrings checks that the API's string constants have the values in their
// golden file: outcomes, classes, event names, replica states, paths, and error codes with
// their HTTP statuses.
func TestGoldenStrings(t *testing.T) {
	values := goldenStrings{
		Outcomes: []api.Outcome{api.OutcomeSuccess, api.OutcomeRefused, api.OutcomeFailed, api.OutcomeUnknown},
		Classes:  []api.Class{api.ClassQuick, api.ClassLong, api.ClassFetch},
		Events:   []string{api.EventChunk, api.EventEnd, api.EventError},
		HTTPReplicaStates: []api.HTTPReplicaState{
			api.HTTPReplicaReplaced, api.HTTPReplicaEvacuated, api.HTTPReplicaDraining, api.HTTPReplicaEjected,
			api.HTTPReplicaAvoided, api.HTTPReplicaFull, api.HTTPReplicaCold, api.HTTPReplicaUsable,
		},
		Paths: []string{
			api.PathWhere, api.PathRequests, api.PathLive, api.PathReady, api.PathHTTPReplicas, api.PathConfiguration,
			api.PathZones, api.PathEvacuations, api.PathStatus, api.PathMembers, api.PathReplicas, api.PathOperations,
			api.PathMetrics, api.PathExplain, api.PathReplicaReport, api.PathReplicaGenerate,
		},
	}
	for _, code := range []api.Code{
		api.CodeInvalid, api.CodeTooLarge, api.CodeUnauthorized, api.CodeNotFound, api.CodeTicketRequired,
		api.CodeTicketInvalid, api.CodeTicketExpired, api.CodeTicketOrphaned, api.CodeDuplicate, api.CodeOverloaded,
		api.CodeDeadline, api.CodeNoCapacity, api.CodeHomeUnavailable, api.CodeNoLease, api.CodeNotReady, api.CodeStale,
		api.CodeRestarted, api.CodeReplicaDraining, api.CodeReplicaError, api.CodeReplicaBroken, api.CodeReplicaMismatch,
		api.CodeReplicaIncomplete, api.CodeReplicaStalled, api.CodeVersionConflict, api.CodeOperationConflict,
		api.CodeNoPrimary, api.CodePending, api.CodeCanceled, api.CodeInternal,
	} {
		values.Codes = append(values.Codes, goldenCode{Code: code, Status: (&api.Error{Code: code}).Status()})
	}
	encoded, err := json.MarshalIndent(values, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	encoded = append(encoded, '\n')
	if want := readGolden(t, "strings.json", encoded); !bytes.Equal(encoded, want) {
		t.Errorf("got\n%swant\n%s", encoded, want)
	}
}

// readGolden returns the content of a golden file. With -update-golden it first writes
// the text to the file.
func readGolden(t *testing.T, name string, text []byte) []byte {
	t.Helper()
	path := filepath.Join(goldenDirectory, name)
	if *updateGolden {
		if err := os.MkdirAll(goldenDirectory, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

// requireEveryField reports each field that is not set, because a change of its encoded
// name could go unnoticed.
func requireEveryField(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			requireEveryField(t, path, value.Elem())
			return
		}
	case reflect.Struct:
		for i := range value.NumField() {
			requireEveryField(t, path+"."+value.Type().Field(i).Name, value.Field(i))
		}
		return
	case reflect.Slice:
		for i := range value.Len() {
			requireEveryField(t, path, value.Index(i))
		}
	}
	if value.IsZero() {
		t.Errorf("%s is not set", path)
	}
}
