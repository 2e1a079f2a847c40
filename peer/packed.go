package peer

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/deckpulley/deckpulley/registry"
)

// minPackedRecords is the number of records from which a transfer is compressed. Names,
// zones and addresses repeat: a large transfer takes about a fifth of its bytes.
const minPackedRecords = 64

// errPackedTooLarge is returned for a packed transfer whose content is larger than
// any transfer may be.
var errPackedTooLarge = errors.New("peer: a packed transfer is too long")

// PackedTransfer is an encoded transfer, compressed with DEFLATE (RFC 1951). One that
// was packed once can be sent to many gateways.
type PackedTransfer []byte

// PackTransfer compresses a large transfer. It returns nil for a small one, which is
// sent uncompressed.
func PackTransfer(transfer *registry.Transfer) (PackedTransfer, error) {
	if len(transfer.Added)+len(transfer.Removed) < minPackedRecords {
		return nil, nil
	}
	encoded, err := registry.EncodeTransfer(*transfer)
	if err != nil {
		return nil, fmt.Errorf("peer: packing a transfer: %w", err)
	}
	packed, err := compress(encoded)
	if err != nil {
		return nil, fmt.Errorf("peer: packing a transfer: %w", err)
	}
	return packed, nil
}

func compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(data); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// Unpack returns the transfer. Its memory is bounded by registry.MaxTransferBytes,
// whatever the packed bytes are.
func (p PackedTransfer) Unpack() (*registry.Transfer, error) {
	reader := flate.NewReader(bytes.NewReader(p))
	encoded, err := io.ReadAll(io.LimitReader(reader, registry.MaxTransferBytes+1))
	if err != nil {
		return nil, fmt.Errorf("peer: unpacking a transfer: %w", err)
	}
	if len(encoded) > registry.MaxTransferBytes {
		return nil, errPackedTooLarge
	}
	transfer, err := registry.DecodeTransfer(encoded)
	if err != nil {
		return nil, fmt.Errorf("peer: unpacking a transfer: %w", err)
	}
	return &transfer, nil
}
