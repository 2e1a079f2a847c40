package transport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// frameType is the type of a frame. The values are part of the wire format and must
// not change.
type frameType uint8

const (
	frameOneWay  frameType = 1 // message without a reply
	frameRequest frameType = 2 // call; answered by frameReply or frameFailure with the same ID
	frameReply   frameType = 3
	frameFailure frameType = 4
	frameCancel  frameType = 5 // the caller no longer waits for the reply to the call ID
	framePing    frameType = 6 // answered by framePong, unless another frame is being written
	framePong    frameType = 7
	frameOpen    frameType = 8 // opens a stream; answered by items, then frameEnd or frameFailure
	frameItem    frameType = 9
	frameEnd     frameType = 10
)

// envelope is the content of a frame, encoded as a CBOR array of the fields in this
// order.
type envelope struct {
	_         struct{} `cbor:",toarray"`
	Type      frameType
	ID        uint64 // call ID, unique on its connection; 0 for other frames
	Kind      Kind   // message kind; 0 for the transport's own frames
	TimeoutMS int64  // remaining time until the caller's deadline; 0 means no deadline
	Error     string // the handler's error in a frameFailure
	Body      cbor.RawMessage
}

// A frame consists of the length of its content, as a big-endian integer of
// lengthBytes bytes, and the content.
const (
	lengthBytes = 4
	// maxControlFrameBytes bounds the content of handshake frames and of frames
	// without a body.
	maxControlFrameBytes = 4 << 10
)

// Limits of the CBOR decoder, in addition to the limit on the frame's length.
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

// encodeFrame encodes the value as the content of a frame. It returns
// errFrameTooLarge if the content exceeds the limit in bytes.
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

// encodeMessage returns a frame with the given envelope and the message as its body.
func encodeMessage(head envelope, message any, limit int) ([]byte, error) {
	body, err := encoding.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encoding message of kind %d: %w", head.Kind, err)
	}
	head.Body = body
	return encodeFrame(head, limit)
}

// readFrame reads one frame and returns its content, which uses the buffer's memory if
// that is large enough. The length is checked against the limit before any allocation.
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

// decodeEnvelope decodes an envelope. The body is copied, so that the content's
// buffer can be reused.
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
