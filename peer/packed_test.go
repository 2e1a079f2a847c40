package peer_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// tableOf is a full transfer with so many gateways.
func tableOf(gateways int) *registry.Transfer {
	transfer := &registry.Transfer{Full: true, To: 7}
	for i := range gateways {
		transfer.Added = append(transfer.Added, catalog.GatewayRecord(fmt.Sprintf("edge-north-hall%d-%d", i%6, i), catalog.Gateway{
			Incarnation: fmt.Sprintf("%024x", uint64(i+1)*0x9e3779b97f4a7c15), Zone: fmt.Sprintf("north-hall%d", i%6), Region: "north",
			PeerAddress: fmt.Sprintf("10.1.%d.%d:7141", i/200, i%200), HTTPAddress: fmt.Sprintf("10.1.%d.%d:8080", i/200, i%200),
			Up: true, MayHoldLease: true, LinkMbps: 10,
		}))
	}
	return transfer
}

func TestALargeTransferIsPacked(t *testing.T) {
	transfer := tableOf(300)
	plain, err := registry.EncodeTransfer(*transfer)
	if err != nil {
		t.Fatal(err)
	}
	packed, err := peer.PackTransfer(transfer)
	if err != nil {
		t.Fatal(err)
	}
	if len(packed) == 0 || len(packed) > len(plain)/3 {
		t.Errorf("%d octets are packed into %d", len(plain), len(packed))
	}
	grant := peer.Grant{Packed: packed}
	unpacked, err := grant.UnpackTransfer()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(unpacked, transfer) {
		t.Error("what was unpacked differs")
	}
}

func TestASmallTransferIsNotPacked(t *testing.T) {
	transfer := tableOf(3)
	packed, err := peer.PackTransfer(transfer)
	if err != nil || packed != nil {
		t.Errorf("packed into %d octets, %v", len(packed), err)
	}
	grant := peer.Grant{Transfer: transfer}
	if same, err := grant.UnpackTransfer(); err != nil || same != transfer {
		t.Errorf("%v, %v", same, err)
	}
}

func TestADamagedPackedTransferIsRefused(t *testing.T) {
	packed, err := peer.PackTransfer(tableOf(100))
	if err != nil {
		t.Fatal(err)
	}
	damaged := map[string]peer.PackedTransfer{
		"empty": {}, "cut": packed[:len(packed)/2], "noise": peer.PackedTransfer("no deflated data"),
	}
	for name, of := range damaged {
		if _, err := of.Unpack(); err == nil {
			t.Errorf("%s: unpacked without an error", name)
		}
	}
}
