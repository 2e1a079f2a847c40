package peer_test

import (
	"bytes"
	"compress/flate"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/transport"
)

var updateGolden = flag.Bool("update-golden", false, "rewrite the golden files from the current code")

// The golden files were written by an earlier release. This release must decode them
// and encode the same bytes, because both releases run side by side during an upgrade.
var (
	goldenMessages = filepath.Join("testdata", "messages.golden")
	goldenPacked   = filepath.Join("testdata", "packed_transfer.golden")
)

func TestGoldenMessageKinds(t *testing.T) {
	kinds := []struct {
		name string
		kind transport.Kind
		want transport.Kind
	}{
		{"consensus", peer.KindConsensus, 1},
		{"hello", peer.KindHello, 2},
		{"bootstrap", peer.KindBootstrap, 3},
		{"join", peer.KindJoin, 4},
		{"renew", peer.KindRenew, 5},
		{"notify", peer.KindNotify, 6},
		{"update", peer.KindUpdate, 7},
		{"operation", peer.KindOperation, 8},
		{"issue ticket", peer.KindIssueTicket, 9},
		{"offer", peer.KindOffer, 10},
		{"withdraw", peer.KindWithdraw, 11},
		{"region utilization", peer.KindRegionUtilization, 12},
		{"run", peer.KindRun, 13},
		{"owner", peer.KindOwner, 14},
		{"replica loads", peer.KindReplicaLoads, 15},
		{"load digest", peer.KindLoadDigest, 16},
		{"fetch state", peer.KindFetchState, 17},
		{"witness vote", peer.KindWitnessVote, 18},
	}
	for _, test := range kinds {
		if test.kind != test.want {
			t.Errorf("kind of %s messages is %d, want %d", test.name, test.kind, test.want)
		}
	}
}

// goldenMessage is a message in which either every field has a value or none has. Its
// name is the key of the message in the golden file, and so may differ from the current
// name of the type.
type goldenMessage struct {
	name  string
	value any
}

// goldenMessageCases returns every message, and the parts that several kinds of messages
// have in common.
func goldenMessageCases() []goldenMessage {
	var cases []goldenMessage
	add := func(name string, value any) { cases = append(cases, goldenMessage{name, value}) }

	for kind := consensus.MessagePreVote; kind <= consensus.MessageTimeoutNow; kind++ {
		message := filled[peer.ConsensusMessage]()
		message.Message.Kind = kind
		message.Message.Entries = []consensus.Entry{
			{Term: 1, Index: 2, Kind: consensus.EntryNormal, Data: []byte("data")},
			{Term: 1, Index: 3, Kind: consensus.EntryMembership, Data: []byte("membership")},
			{Term: 2, Index: 4, Kind: consensus.EntryNoop},
		}
		add(fmt.Sprintf("ConsensusMessage kind %d", kind), withoutWitnesses(message))
		if kind == consensus.MessageSnapshot {
			add("ConsensusMessage, witnesses", message)
		}
	}
	add("ConsensusMessage empty", peer.ConsensusMessage{})
	hello := filled[peer.Hello]()
	hello.PeerAddress = "" // from before that field, like the next: older programs send these
	initialHello := hello
	hello.Initial = false
	add("Hello", hello)
	add("Hello, initial", initialHello)
	add("Hello, peer address", filled[peer.Hello]())
	add("Hello empty", peer.Hello{})
	helloReply := filled[peer.HelloReply]()
	helloReply.Gateways = nil
	servingReply := helloReply
	helloReply.ActiveSerial = 0
	initialReply := helloReply
	helloReply.Initial = false
	add("HelloReply", helloReply)
	add("HelloReply, initial", initialReply)
	add("HelloReply, active serial", servingReply)
	add("HelloReply, gateways", filled[peer.HelloReply]())
	add("HelloReply empty", peer.HelloReply{})
	form := filled[peer.Bootstrap]()
	form.Snapshot.Membership = consensus.Membership{Members: form.Snapshot.Membership.Members}
	form.Snapshot.Data = []byte{0x09} // as in the golden file
	add("Form", form)
	add("Form, witnesses", filled[peer.Bootstrap]())
	add("Form empty", peer.Bootstrap{})
	add("FormReply", filled[peer.BootstrapReply]())
	add("FormReply empty", peer.BootstrapReply{})
	add("Join", filled[peer.Join]())
	add("Join empty", peer.Join{})
	add("JoinReply", filled[peer.JoinReply]())
	add("JoinReply empty", peer.JoinReply{})
	renew := filled[peer.Renew]()
	renew.Follows = false // from before that field: older programs send this one
	add("Renew", renew)
	add("Renew, follows", filled[peer.Renew]())
	add("Renew empty", peer.Renew{})
	add("Grant", filled[peer.Grant]())
	add("Grant empty", peer.Grant{})
	add("Notify", filled[peer.Notify]())
	add("Notify empty", peer.Notify{})
	add("UpdateRequest", filled[peer.UpdateRequest]())
	add("UpdateRequest empty", peer.UpdateRequest{})
	for code := registry.NoError; code <= registry.NotZone; code++ {
		reply := filled[peer.UpdateReply]()
		reply.Code = code
		add(fmt.Sprintf("UpdateReply code %d", code), reply)
	}
	add("UpdateReply empty", peer.UpdateReply{})
	everything := filled[peer.OperationRequest]()
	everything.KnownSerial = nil // from before that field: older programs send this one
	add("OrderRequest all", everything)
	add("OrderRequest all, known serial", filled[peer.OperationRequest]())
	add("OrderRequest configuration", peer.OperationRequest{Configuration: filledPointer[api.ConfigurationOperation](), Hops: 1, WaitMS: 2})
	add("OrderRequest evacuation", peer.OperationRequest{Evacuation: filledPointer[api.EvacuationOperation](), Hops: 1, WaitMS: 2})
	add("OrderRequest replicas", peer.OperationRequest{Replicas: filledPointer[api.ReplicaList](), Hops: 1, WaitMS: 2})
	add("OrderRequest route map", peer.OperationRequest{RouteMap: filledPointer[peer.RouteMapOperation](), Hops: 1, WaitMS: 2})
	add("OrderRequest configuration change", peer.OperationRequest{ConfigurationChange: filledPointer[api.ConfigurationPatchOperation](), Hops: 1, WaitMS: 2})
	add("OrderRequest empty", peer.OperationRequest{})
	add("OrderReply answer", peer.OperationReply{Answer: filledPointer[api.OperationResult]()})
	add("OrderReply error", peer.OperationReply{Error: filledPointer[api.Error]()})
	add("OrderReply empty", peer.OperationReply{})
	add("MintTicket", filled[peer.IssueTicket]())
	add("MintTicket empty", peer.IssueTicket{})
	add("MintTicketReply answer", peer.IssueTicketReply{Answer: filledPointer[api.WhereAnswer]()})
	add("MintTicketReply error", peer.IssueTicketReply{Error: filledPointer[api.Error]()})
	add("MintTicketReply empty", peer.IssueTicketReply{})
	add("Offer", filled[peer.Offer]())
	add("Offer empty", peer.Offer{})
	add("OfferReply", filled[peer.OfferReply]())
	add("OfferReply empty", peer.OfferReply{})
	add("Withdraw", filled[peer.Withdraw]())
	add("Withdraw empty", peer.Withdraw{})
	add("WithdrawReply", filled[peer.WithdrawReply]())
	add("WithdrawReply empty", peer.WithdrawReply{})
	add("RegionLoad", filled[peer.RegionUtilization]())
	add("RegionLoad empty", peer.RegionUtilization{})
	add("Run", filled[peer.Run]())
	add("Run empty", peer.Run{})
	add("OwnerRequest", filled[peer.OwnerRequest]())
	add("OwnerRequest empty", peer.OwnerRequest{})
	add("RunEvent answer", peer.RunEvent{Answer: filledPointer[api.GenerateAnswer](), Attempts: 1})
	add("RunEvent piece", peer.RunEvent{Chunk: filledPointer[api.StreamChunk]()})
	add("RunEvent end", peer.RunEvent{End: filledPointer[api.StreamEnd](), Attempts: 2})
	add("RunEvent error", peer.RunEvent{Error: filledPointer[api.Error](), Attempts: 3})
	add("RunEvent empty", peer.RunEvent{})
	add("ReplicaLoads", filled[peer.ReplicaLoads]())
	add("ReplicaLoads empty", peer.ReplicaLoads{})
	add("LoadDigest", filled[peer.LoadDigest]())
	add("LoadDigest empty", peer.LoadDigest{})
	add("RegionLoads", filled[peer.RegionLoads]())
	add("RegionLoads empty", peer.RegionLoads{})
	add("FetchState", filled[peer.FetchState]())
	add("FetchState empty", peer.FetchState{})
	add("FetchStateReply", filled[peer.FetchStateReply]())
	add("FetchStateReply empty", peer.FetchStateReply{})
	add("WitnessVote", filled[peer.WitnessVote]())
	add("WitnessVote empty", peer.WitnessVote{})
	add("WitnessVoteReply", filled[peer.WitnessVoteReply]())
	add("WitnessVoteReply empty", peer.WitnessVoteReply{})
	return cases
}

// withoutWitnesses returns a message from before memberships had witnesses: older programs
// send it.
func withoutWitnesses(message peer.ConsensusMessage) peer.ConsensusMessage {
	snapshot := *message.Message.Snapshot
	snapshot.Membership = consensus.Membership{Members: snapshot.Membership.Members}
	snapshot.Data = []byte{0x17} // as in the golden file
	message.Message.Snapshot = &snapshot
	message.Message.KnowsWitnesses = false
	return message
}

// TestGoldenMessages decodes each message as an earlier release encoded it, and checks
// that encoding it again yields the same bytes.
func TestGoldenMessages(t *testing.T) {
	cases := goldenMessageCases()
	if *updateGolden {
		writeGoldenMessages(t, cases)
	}
	golden := readGoldenMessages(t)
	if len(golden) != len(cases) {
		t.Errorf("golden file has %d messages, want %d", len(golden), len(cases))
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			encoded, found := golden[test.name]
			if !found {
				t.Fatal("golden file does not contain this message")
			}
			decoded := reflect.New(reflect.TypeOf(test.value))
			if err := cbor.Unmarshal(encoded, decoded.Interface()); err != nil {
				t.Fatalf("decode: %v", err)
			}
			if got := decoded.Elem().Interface(); !reflect.DeepEqual(got, test.value) {
				t.Errorf("decoded %+v, want %+v", got, test.value)
			}
			if got := encode(t, decoded.Elem().Interface()); !bytes.Equal(got, encoded) {
				t.Errorf("encoded %x, want %x", got, encoded)
			}
		})
	}
}

// TestGoldenPackedTransfer unpacks a packed transfer of an earlier release. It also
// packs the same transfer again and compares the decompressed content. The compressed
// bytes may differ between versions of Go, which does not affect a receiver.
func TestGoldenPackedTransfer(t *testing.T) {
	want := goldenTransfer()
	repacked, err := peer.PackTransfer(want)
	if err != nil {
		t.Fatal(err)
	}
	if repacked == nil {
		t.Fatal("PackTransfer returned nil for a large transfer")
	}
	if *updateGolden {
		writeGolden(t, goldenPacked, hex.EncodeToString(repacked)+"\n")
	}
	packed := peer.PackedTransfer(decodeHex(t, strings.TrimSpace(readGolden(t, goldenPacked))))
	unpacked, err := packed.Unpack()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(unpacked, want) {
		t.Errorf("unpacked %+v, want %+v", unpacked, want)
	}
	if got, want := inflate(t, repacked), inflate(t, packed); !bytes.Equal(got, want) {
		t.Errorf("decompressed content of the repacked transfer is %x, want %x", got, want)
	}
	grant := peer.Grant{Packed: packed}
	if transfer, err := grant.UnpackTransfer(); err != nil || !reflect.DeepEqual(transfer, want) {
		t.Errorf("UnpackTransfer of the grant returned %+v, %v, want %+v", transfer, err, want)
	}
}

// goldenTransfer returns a transfer that has enough records to be packed.
func goldenTransfer() *registry.Transfer {
	const records = 100
	transfer := &registry.Transfer{From: 6, To: 7}
	for i := range records {
		record := registry.Record{
			Name: registry.Name(fmt.Sprintf("gateway-%d.fleet", i)), Type: registry.FirstPrivateType,
			Class: registry.ClassTable, TTL: uint32(i), Data: []byte(fmt.Sprintf("data of gateway %d", i)),
		}
		if i%4 == 0 {
			transfer.Removed = append(transfer.Removed, record)
			continue
		}
		transfer.Added = append(transfer.Added, record)
	}
	return transfer
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	encoded, err := cbor.Marshal(value)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	return encoded
}

func inflate(t *testing.T, packed []byte) []byte {
	t.Helper()
	content, err := io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// writeGoldenMessages writes three lines for each message: its name, its content in
// CBOR's diagnostic notation as a comment, and its bytes in hexadecimal.
func writeGoldenMessages(t *testing.T, cases []goldenMessage) {
	t.Helper()
	var text strings.Builder
	for _, each := range cases {
		encoded := encode(t, each.value)
		diagnostic, err := cbor.Diagnose(encoded)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%s\n# %s\n%x\n", each.name, diagnostic, encoded)
	}
	writeGolden(t, goldenMessages, text.String())
}

func readGoldenMessages(t *testing.T) map[string][]byte {
	t.Helper()
	const linesPerMessage = 3
	lines := strings.Split(strings.TrimSpace(readGolden(t, goldenMessages)), "\n")
	if len(lines)%linesPerMessage != 0 {
		t.Fatalf("%s has %d lines, want a multiple of %d", goldenMessages, len(lines), linesPerMessage)
	}
	messages := make(map[string][]byte)
	for i := 0; i < len(lines); i += linesPerMessage {
		messages[lines[i]] = decodeHex(t, lines[i+linesPerMessage-1])
	}
	return messages
}

func readGolden(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func writeGolden(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func decodeHex(t *testing.T, text string) []byte {
	t.Helper()
	content, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func filledPointer[T any]() *T {
	value := filled[T]()
	return &value
}

// filled returns a value in which every field is nonzero, so that no field is omitted
// from the encoding. Numbers and texts increase in the order of the fields, so that the
// test detects two fields that were swapped. Maps have a single entry, because the
// iteration order of maps is not fixed.
func filled[T any]() T {
	var value T
	count := 0
	fill(reflect.ValueOf(&value).Elem(), &count)
	return value
}

func fill(value reflect.Value, count *int) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				fill(value.Field(i), count)
			}
		}
		return
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), count)
		return
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), count)
		return
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, count)
		fill(element, count)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
		return
	}
	*count++
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.String:
		value.SetString(fmt.Sprintf("text %d", *count))
	case reflect.Float64:
		value.SetFloat(float64(*count) + 0.5)
	case reflect.Int, reflect.Int64:
		value.SetInt(int64(*count))
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*count))
	default:
		panic(fmt.Sprintf("cannot fill a value of %s", value.Type()))
	}
}
