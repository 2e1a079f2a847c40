package dispatch

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// eventBuffer is the size of a stream's read buffer in bytes.
	eventBuffer = 2 << 10
	// maxEventBytes is the maximum size of one event.
	maxEventBytes = 1 << 20
)

var (
	errEventTooLong   = errors.New("event exceeds the maximum size")
	errTruncatedEvent = errors.New("stream ended within an event")
)

// event is one event of a stream, including the empty line that terminates it.
type event struct {
	text []byte // valid until the next event is read
	id   string
}

// eventReader splits a text/event-stream into events without changing any byte.
type eventReader struct {
	reader *bufio.Reader
	text   []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBuffer)}
}

var idField = []byte("id:")

// next returns the next complete event. It returns io.EOF if the stream ended after a
// complete event, and another error if the stream was interrupted.
func (e *eventReader) next() (event, error) {
	e.text = e.text[:0]
	id := ""
	start := 0
	for {
		part, err := e.reader.ReadSlice('\n')
		e.text = append(e.text, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.text) > maxEventBytes {
				return event{}, errEventTooLong
			}
			continue
		}
		if err != nil {
			return event{}, e.endError(err)
		}
		line := bytes.TrimRight(e.text[start:], "\r\n")
		start = len(e.text)
		if len(line) == 0 {
			return event{text: e.text, id: id}, nil
		}
		if value, found := bytes.CutPrefix(line, idField); found {
			id = string(bytes.TrimSpace(value))
		}
		if len(e.text) > maxEventBytes {
			return event{}, errEventTooLong
		}
	}
}

// endError returns the error for a read error: errTruncatedEvent if the stream ended
// within an event, and otherwise the read error itself.
func (e *eventReader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(e.text) > 0 {
		return errTruncatedEvent
	}
	return err
}
