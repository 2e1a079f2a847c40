package peer

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/deckpulley/deckpulley/registry"
)

// minPackedRecords is the least number of records for which a transfer is compressed.
// Names, zones and addresses repeat in a large transfer, so that compression reduces it
// to about a fifth of its size.
const minPackedRecords = 64

// errPackedTooLarge is returned for a packed transfer whose decompressed content is
// larger than registry.MaxTransferBytes.
var errPackedTooLarge = errors.New("peer: unpacked transfer is too large")

// PackedTransfer is an encoded transfer, compressed with DEFLATE (RFC 1951). The same
// packed transfer can be sent to many gateways.
type PackedTransfer []byte

// PackTransfer compresses a large transfer. It returns nil for a small transfer, which
// is sent uncompressed.
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

// Unpack decompresses and decodes the transfer. The decompressed content is limited to
// registry.MaxTransferBytes, so that invalid input cannot exhaust the memory.
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
