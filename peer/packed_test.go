package peer_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// fullTransfer returns a full transfer with the records of this number of gateways.
func fullTransfer(gateways int) *registry.Transfer {
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

func TestLargeTransferIsPacked(t *testing.T) {
	transfer := fullTransfer(300)
	plain, err := registry.EncodeTransfer(*transfer)
	if err != nil {
		t.Fatal(err)
	}
	packed, err := peer.PackTransfer(transfer)
	if err != nil {
		t.Fatal(err)
	}
	if len(packed) == 0 || len(packed) > len(plain)/3 {
		t.Errorf("%d bytes were packed into %d, want at most a third", len(plain), len(packed))
	}
	grant := peer.Grant{Packed: packed}
	unpacked, err := grant.UnpackTransfer()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(unpacked, transfer) {
		t.Error("unpacked transfer differs from the original")
	}
}

func TestSmallTransferIsNotPacked(t *testing.T) {
	transfer := fullTransfer(3)
	packed, err := peer.PackTransfer(transfer)
	if err != nil || packed != nil {
		t.Errorf("PackTransfer returned %d bytes, %v, want nil", len(packed), err)
	}
	grant := peer.Grant{Transfer: transfer}
	if got, err := grant.UnpackTransfer(); err != nil || got != transfer {
		t.Errorf("UnpackTransfer returned %v, %v, want the transfer itself", got, err)
	}
}

func TestDamagedPackedTransferIsRejected(t *testing.T) {
	packed, err := peer.PackTransfer(fullTransfer(100))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name   string
		packed peer.PackedTransfer
	}{
		{"empty", peer.PackedTransfer{}},
		{"truncated", packed[:len(packed)/2]},
		{"not compressed", peer.PackedTransfer("no deflated data")},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if _, err := test.packed.Unpack(); err == nil {
				t.Error("Unpack returned no error")
			}
		})
	}
}
