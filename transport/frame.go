package transport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// frameType is the type of a frame. The numbers are sent: they stay.
type frameType uint8

const (
	frameOneWay  frameType = 1 // message without a reply
	frameRequest frameType = 2 // call; answered by frameReply or frameFailure with the same ID
	frameReply   frameType = 3
	frameFailure frameType = 4
	frameCancel  frameType = 5 // the caller no longer waits for the reply to ID
	framePing    frameType = 6 // answered by framePong at once
	framePong    frameType = 7
	frameOpen    frameType = 8 // request of a stream; followed by items and frameEnd or frameFailure
	frameItem    frameType = 9
	frameEnd     frameType = 10
)

// envelope is the CBOR content of a frame, an array of its fields in this order.
type envelope struct {
	_         struct{} `cbor:",toarray"`
	Type      frameType
	ID        uint64 // of a call, unique on its connection; 0 for other frames
	Kind      Kind   // of the message; 0 for frames of the transport's own
	TimeoutMS int64  // how long the caller still waits, in milliseconds; 0 is unbounded
	Error     string // the handler's error in a frameFailure
	Body      cbor.RawMessage
}

// A frame is the length of its content in lengthBytes octets, big-endian, and the
// content.
const (
	lengthBytes = 4
	// maxControlFrameBytes bounds the content of a frame of the handshake, and of one
	// without a body.
	maxControlFrameBytes = 4 << 10
)

// Limits of what is decoded, beyond the frame's own.
const (
	maxArrayItems = 1 << 22
	maxMapPairs   = 1 << 22
	maxNesting    = 32
)

var (
	errFrameEmpty    = errors.New("transport: empty frame")
	errFrameTooLarge = errors.New("transport: frame above the limit")
)

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(fmt.Sprintf("transport: encoding options: %v", err))
	}
	return mode
}

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxArrayItems,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("transport: decoding options: %v", err))
	}
	return mode
}

// encodeFrame returns the frame whose content is the value.
func encodeFrame(value any, limit int) ([]byte, error) {
	content, err := encoding.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encoding: %w", err)
	}
	if len(content) > limit {
		return nil, fmt.Errorf("%w: %d bytes, %d allowed", errFrameTooLarge, len(content), limit)
	}
	frame := make([]byte, lengthBytes+len(content))
	binary.BigEndian.PutUint32(frame, uint32(len(content)))
	copy(frame[lengthBytes:], content)
	return frame, nil
}

// encodeMessage returns the frame of an envelope whose body is the message.
func encodeMessage(head envelope, message any, limit int) ([]byte, error) {
	body, err := encoding.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encoding message of kind %d: %w", head.Kind, err)
	}
	head.Body = body
	return encodeFrame(head, limit)
}

// readFrame reads one frame's content, into the buffer if that is large enough. The
// length is checked before anything is allocated.
func readFrame(reader io.Reader, limit int, buffer []byte) ([]byte, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length == 0 {
		return nil, errFrameEmpty
	}
	if uint64(length) > uint64(limit) {
		return nil, fmt.Errorf("%w: %d bytes, %d allowed", errFrameTooLarge, length, limit)
	}
	if int(length) > cap(buffer) {
		buffer = make([]byte, length)
	}
	content := buffer[:length]
	if _, err := io.ReadFull(reader, content); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return content, nil
}

// decodeEnvelope decodes an envelope, whose body is a copy.
func decodeEnvelope(content []byte, into *envelope) error {
	*into = envelope{}
	if err := decoding.Unmarshal(content, into); err != nil {
		return fmt.Errorf("decoding frame: %w", err)
	}
	if into.Type < frameOneWay || into.Type > frameEnd {
		return fmt.Errorf("decoding frame: unknown type %d", into.Type)
	}
	return nil
}

// decodeBody decodes a message's body into a value; nil discards it.
func decodeBody(body cbor.RawMessage, into any) error {
	if into == nil {
		return nil
	}
	return decoding.Unmarshal(body, into)
}
