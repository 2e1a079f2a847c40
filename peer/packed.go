package peer

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/deckpulley/deckpulley/registry"
)

// leastPacked is the number of records from which a transfer is compressed: names,
// places and addresses repeat, so that a large one takes about a fifth of its octets.
const leastPacked = 64

// errPackedTooLong is a packed transfer that holds more than any table may.
var errPackedTooLong = errors.New("peer: a packed transfer is too long")

// PackedTransfer is a transfer in its encoding, compressed. It can be sent to many.
type PackedTransfer []byte

// PackTransfer compresses a large transfer. It returns nil for a small one, which is
// sent as it is.
func PackTransfer(transfer *registry.Transfer) (PackedTransfer, error) {
	if len(transfer.Added)+len(transfer.Removed) < leastPacked {
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

// Unpack returns the transfer.
func (p PackedTransfer) Unpack() (*registry.Transfer, error) {
	reader := flate.NewReader(bytes.NewReader(p))
	encoded, err := io.ReadAll(io.LimitReader(reader, registry.MaxTransferBytes+1))
	if err != nil {
		return nil, fmt.Errorf("peer: unpacking a transfer: %w", err)
	}
	if len(encoded) > registry.MaxTransferBytes {
		return nil, errPackedTooLong
	}
	transfer, err := registry.DecodeTransfer(encoded)
	if err != nil {
		return nil, fmt.Errorf("peer: unpacking a transfer: %w", err)
	}
	return &transfer, nil
}
