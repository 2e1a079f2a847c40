package message

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/control/internal/golden"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

func TestGoldenMessageKinds(t *testing.T) {
	cases := []struct {
		name string
		kind transport.Kind
		want transport.Kind
	}{
		{name: "describe", kind: KindDescribe, want: 64},
		{name: "read_index", kind: KindReadIndex, want: 65},
		{name: "overview", kind: KindOverview, want: 66},
		{name: "where", kind: peer.KindWhere, want: 67},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.kind != c.want {
				t.Errorf("message kind is %d, want %d", c.kind, c.want)
			}
		})
	}
}

// encodeBody encodes the body of a message as package transport does.
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
		{name: "describe-request", message: DescribeRequest{}},
		{name: "description", message: Description{
			Name: "control-1", Identity: "disk-1", Zone: "zone-1", Region: "region-1",
			Incarnation: "0123456789abcdef01234567", OperatorAddress: "10.0.0.1:8080",
		}},
		{name: "read-index-request", message: ReadIndexRequest{}},
		{name: "read-index-reply", message: ReadIndexReply{Index: 70_000}},
		{name: "overview-request", message: OverviewRequest{}},
		{name: "overview", message: Overview{
			Status: api.StatusAnswer{
				Node: "control-1", Primary: "control-1", PrimaryAddress: "10.0.0.1:8080", Term: 3, CommitIndex: 901, AppliedIndex: 900,
				Serial: 41, InForceSerial: 40, Version: 7, Leases: 1, Members: []api.MemberStatus{control, learner, gateway},
				Degraded: []string{"control node control-4 is catching up: wait until it votes"},
			},
			RepairDone: true,
		}},
		{name: "overview-empty", message: Overview{}},
		{name: "where-request", message: peer.WhereRequest{Region: "region-1", Limit: 3}},
		{name: "where-reply", message: peer.WhereReply{Addresses: []string{"10.0.1.1:8080", "10.0.1.2:8080"}}},
		{name: "where-reply-empty", message: peer.WhereReply{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			encoded := encodeBody(t, c.message)
			stored := golden.Compare(t, "message-"+c.name, encoded)
			decoded := reflect.New(reflect.TypeOf(c.message))
			if err := cbor.Unmarshal(stored, decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if difference := cmp.Diff(c.message, decoded.Elem().Interface()); difference != "" {
				t.Errorf("decoded (-want +got):\n%s", difference)
			}
		})
	}
}
