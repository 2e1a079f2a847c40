package control

import (
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/transport"
)

// Golden files hold the encoded form, in hexadecimal, of what control nodes send
// one another and store. They were made by an earlier version, and every later
// version must read and write the same bytes.

var updateGolden = flag.Bool("update-golden", false, "write the golden files of this package anew")

// goldenBytes returns the content of a golden file. With -update-golden, encoded is
// written to it before; nil leaves it as it is.
func goldenBytes(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name+".hex")
	if *updateGolden && encoded != nil {
		if err := os.WriteFile(path, []byte(hex.EncodeToString(encoded)+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// encodeBody encodes a message's body as package transport does.
func encodeBody(t *testing.T, message any) []byte {
	t.Helper()
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := mode.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func TestGoldenMessageKinds(t *testing.T) {
	cases := []struct {
		name string
		kind transport.Kind
		want transport.Kind
	}{
		{name: "describe", kind: kindDescribe, want: 64},
		{name: "read_index", kind: kindReadIndex, want: 65},
		{name: "overview", kind: kindOverview, want: 66},
		{name: "where", kind: kindWhere, want: 67},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.kind != c.want {
				t.Errorf("message kind is %d, want %d", c.kind, c.want)
			}
			if got := kindName(c.kind); got != c.name {
				t.Errorf("label of the traffic metrics is %q, want %q", got, c.name)
			}
		})
	}
}

func TestGoldenMessages(t *testing.T) {
	control := api.MemberStatus{
		Name: "control-1", Role: "control", Zone: "zone-1", Region: "region-1", Incarnation: "0123456789abcdef01234567",
		PeerAddress: "10.0.0.1:7141", HTTPAddress: "10.0.0.1:8080", Up: true, Identity: "disk-1", Voter: true, MatchIndex: 900,
	}
	learner := api.MemberStatus{Name: "control-4", Role: "control", Zone: "zone-2", PeerAddress: "10.0.0.4:7141", Identity: "disk-4", Learner: true}
	gateway := api.MemberStatus{
		Name: "gateway-1", Role: "gateway", Zone: "zone-3", Region: "region-2", Incarnation: "89abcdef0123456789abcdef",
		PeerAddress: "10.0.1.1:7141", HTTPAddress: "10.0.1.1:8080", Up: true, LeaseMS: 2500, ReceivedSerial: 41, ActiveSerial: 40, ActiveVersion: 7,
	}
	cases := []struct {
		name    string
		message any
	}{
		{name: "describe-request", message: describeRequest{}},
		{name: "description", message: description{
			Name: "control-1", Identity: "disk-1", Zone: "zone-1", Region: "region-1",
			Incarnation: "0123456789abcdef01234567", OperatorAddress: "10.0.0.1:8080",
		}},
		{name: "read-index-request", message: readIndexRequest{}},
		{name: "read-index-reply", message: readIndexReply{Index: 70_000}},
		{name: "overview-request", message: overviewRequest{}},
		{name: "overview", message: overview{
			Status: api.StatusAnswer{
				Node: "control-1", Primary: "control-1", PrimaryAddress: "10.0.0.1:8080", Term: 3, CommitIndex: 901, AppliedIndex: 900,
				Serial: 41, InForceSerial: 40, Version: 7, Leases: 1, Members: []api.MemberStatus{control, learner, gateway},
				Degraded: []string{"control node control-4 is catching up: wait until it votes"},
			},
			RepairDone: true,
		}},
		{name: "overview-empty", message: overview{}},
		{name: "where-request", message: whereRequest{Region: "region-1", Limit: 3}},
		{name: "where-reply", message: whereReply{Addresses: []string{"10.0.1.1:8080", "10.0.1.2:8080"}}},
		{name: "where-reply-empty", message: whereReply{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			encoded := encodeBody(t, c.message)
			golden := goldenBytes(t, "message-"+c.name, encoded)
			if !bytes.Equal(encoded, golden) {
				t.Errorf("encoded as\n%x, want\n%x", encoded, golden)
			}
			decoded := reflect.New(reflect.TypeOf(c.message))
			if err := cbor.Unmarshal(golden, decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if difference := cmp.Diff(c.message, decoded.Elem().Interface()); difference != "" {
				t.Errorf("decoded (-want +got):\n%s", difference)
			}
		})
	}
}

// goldenCluster is the id of the group in the golden files.
const goldenCluster = "fedcba9876543210fedcba98"

func TestGoldenFirstSnapshot(t *testing.T) {
	members := []consensus.Member{
		{ID: "disk-1", Name: "control-1", Address: "10.0.0.1:7141", Zone: "zone-1"},
		{ID: "disk-2", Name: "control-2", Address: "10.0.0.2:7141", Zone: "zone-2"},
		{ID: "disk-3", Name: "control-3", Address: "10.0.0.3:7141", Zone: "zone-3"},
	}
	snapshot, err := firstSnapshot(goldenCluster, "control-1", members)
	if err != nil {
		t.Fatal(err)
	}
	golden := goldenBytes(t, "snapshot-first", snapshot.Data)
	if !bytes.Equal(snapshot.Data, golden) {
		t.Errorf("encoded as\n%x, want\n%x", snapshot.Data, golden)
	}
	if snapshot.Index != 1 || snapshot.Term != 1 {
		t.Errorf("the first snapshot has index %d, term %d; want 1, 1", snapshot.Index, snapshot.Term)
	}
}

// goldenUpdates are updates of each kind that control nodes put into the log, in an
// order in which all are accepted.
func goldenUpdates() []struct {
	name   string
	update registry.Update
} {
	update := func(requestor string, prerequisites, changes []registry.Record) registry.Update {
		made := registry.NewUpdate(catalog.Apex, prerequisites, changes)
		made.Requestor = requestor
		return made
	}
	gateway := catalog.Gateway{
		Incarnation: "89abcdef0123456789abcdef", Zone: "zone-3", Region: "region-2",
		PeerAddress: "10.0.1.1:7141", HTTPAddress: "10.0.1.1:8080", Up: true, MayHoldLease: true, LinkMbps: 100,
	}
	down := gateway
	down.Up = false
	accepted := catalog.OperationResult{Digest: 0x0123456789abcdef, Accepted: true, Version: 0, Sequence: 2}
	refused := catalog.OperationResult{Digest: 0xfedcba9876543210, Version: 0, Sequence: 3, Code: "version_conflict", Field: "base_version", Reason: "built on version 1, the current version is 0"}
	return []struct {
		name   string
		update registry.Update
	}{
		{name: "update-head", update: update(requestorControl+"control-1", nil, []registry.Record{
			registry.Add(registry.SOARecord(catalog.Apex, registry.SOA{Primary: "control-1", Serial: 2, Refresh: headRefresh, Expire: headExpire})),
		})},
		{name: "update-members", update: update(requestorControl+"control-1", nil, []registry.Record{
			registry.Add(registry.NSRecord(catalog.Apex, "control-4")),
			registry.DeleteRecord(registry.NSRecord(catalog.Apex, "control-3")),
		})},
		{name: "update-gateway-added", update: update(requestorControl+"control-1",
			[]registry.Record{registry.Absent(catalog.GatewayName("gateway-1"), catalog.TypeGateway)},
			[]registry.Record{registry.Add(catalog.GatewayRecord("gateway-1", gateway))},
		)},
		{name: "update-gateway-down", update: update(requestorControl+"control-1",
			[]registry.Record{registry.Equals(catalog.GatewayRecord("gateway-1", gateway))},
			[]registry.Record{registry.Add(catalog.GatewayRecord("gateway-1", down))},
		)},
		{name: "update-evacuation", update: update(requestorOperator+"operator-1",
			[]registry.Record{registry.Absent(catalog.OperationName("operation-1"), catalog.TypeOperation)},
			[]registry.Record{
				registry.Add(catalog.EvacuationRecord("zone-1", catalog.Evacuation{Author: "operator-1", OperationID: "operation-1"})),
				registry.Add(catalog.OperationResultRecord("operation-1", accepted)),
			},
		)},
		{name: "update-refusal", update: update(requestorOperator,
			[]registry.Record{registry.Absent(catalog.OperationName("operation-2"), catalog.TypeOperation)},
			[]registry.Record{registry.Add(catalog.OperationResultRecord("operation-2", refused))},
		)},
		{name: "update-replicas", update: update(requestorPlatform, nil, []registry.Record{
			registry.Add(catalog.ReplicaRecord("replica-1", catalog.Replica{Service: "service-1", Zone: "zone-1", Region: "region-1", Address: "10.0.2.1:9000", Slots: 4})),
			registry.Add(catalog.DrainRecord("replica-1", catalog.Drain{Reason: "listed as draining"})),
		})},
		{name: "update-condition", update: update(requestorGateway+"10.0.1.1:7141", nil, []registry.Record{
			registry.Add(catalog.ConditionRecord("replica-1", catalog.Condition{State: catalog.ConditionUp})),
		})},
	}
}

func TestGoldenEntries(t *testing.T) {
	for _, c := range goldenUpdates() {
		t.Run(c.name, func(t *testing.T) {
			encoded, err := registry.EncodeUpdate(&c.update)
			if err != nil {
				t.Fatal(err)
			}
			golden := goldenBytes(t, "entry-"+c.name, encoded)
			if !bytes.Equal(encoded, golden) {
				t.Errorf("encoded as\n%x, want\n%x", encoded, golden)
			}
			decoded, err := registry.DecodeUpdate(golden)
			if err != nil {
				t.Fatal(err)
			}
			if difference := cmp.Diff(c.update, decoded); difference != "" {
				t.Errorf("decoded (-want +got):\n%s", difference)
			}
		})
	}
}

// TestGoldenSnapshot applies the golden entries to the golden first snapshot, and
// compares the data of the next snapshot.
func TestGoldenSnapshot(t *testing.T) {
	first, err := decodeSnapshot(goldenBytes(t, "snapshot-first", nil))
	if err != nil {
		t.Fatal(err)
	}
	if first.Cluster != goldenCluster || first.Voters != 3 || len(first.Orders) != 0 {
		t.Errorf("the first snapshot is of group %q with %d voters and orders %v", first.Cluster, first.Voters, first.Orders)
	}
	table, err := registry.Restore(catalog.Schema(), first.Table)
	if err != nil {
		t.Fatal(err)
	}
	var orders orderBook
	for _, c := range goldenUpdates() {
		update, err := registry.DecodeUpdate(goldenBytes(t, "entry-"+c.name, nil))
		if err != nil {
			t.Fatal(err)
		}
		result := table.Apply(&update, permit)
		if result.Code != registry.NoError || !result.Changed {
			t.Errorf("%s answered %+v", c.name, result)
		}
		orders.follow(&update, result)
	}
	encodedTable, err := table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	want := snapshotContent{
		Cluster: goldenCluster,
		Table:   encodedTable,
		Orders: []orderEntry{
			{Name: catalog.OperationName("operation-1"), Serial: 6},
			{Name: catalog.OperationName("operation-2"), Serial: 7},
		},
		Voters: 3,
	}
	encoded, err := encodeSnapshot(snapshotContent{Cluster: first.Cluster, Table: encodedTable, Orders: orders.entries(), Voters: first.Voters})
	if err != nil {
		t.Fatal(err)
	}
	golden := goldenBytes(t, "snapshot", encoded)
	if !bytes.Equal(encoded, golden) {
		t.Errorf("encoded as\n%x, want\n%x", encoded, golden)
	}
	decoded, err := decodeSnapshot(golden)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(want, decoded); difference != "" {
		t.Errorf("decoded (-want +got):\n%s", difference)
	}
}

// TestGoldenOperationDigests holds the identities under which answers to
// operations are kept, as they stand in the registry.
func TestGoldenOperationDigests(t *testing.T) {
	cases := []struct {
		name   string
		parts  []any
		digest uint64
	}{
		{name: "configuration", parts: []any{"configuration", uint64(7), "document"}},
		{name: "configuration-change", parts: []any{"configuration change", uint64(7), "change"}},
		{name: "evacuation", parts: []any{"evacuation", "zone-1", false}},
		{name: "route-map", parts: []any{"routemap", uint64(7), "text"}},
		{name: "route-map-change", parts: []any{"routemap change", uint64(7), "text"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			encoded := encodeBody(t, digestOf(c.parts...))
			if golden := goldenBytes(t, "digest-"+c.name, encoded); !bytes.Equal(encoded, golden) {
				t.Errorf("digest encoded as %x, want %x", encoded, golden)
			}
		})
	}
	order := peer.RouteMapOperation{BaseVersion: 7, Text: "text"}
	if got, want := routeMapID(&order), "map-"; !strings.HasPrefix(got, want) {
		t.Errorf("identity %q does not begin with %q", got, want)
	}
	id := []byte(routeMapID(&order))
	if golden := goldenBytes(t, "identity-route-map", id); !bytes.Equal(id, golden) {
		t.Errorf("identity is %q, want %q", id, golden)
	}
}
