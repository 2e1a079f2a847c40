package dispatch

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// eventBuffer is the size of a stream's buffer in bytes.
	eventBuffer = 2 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// errEventTooLong and errEventCut are streams that cannot be passed on.
var (
	errEventTooLong = errors.New("event is too long")
	errEventCut     = errors.New("stream ended within an event")
)

// event is one event of a stream, with the empty line that ends it.
type event struct {
	text []byte // valid until the next one is read
	id   string
}

// eventReader cuts a text/event-stream into events.
type eventReader struct {
	reader *bufio.Reader
	text   []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBuffer)}
}

var idField = []byte("id:")

// next returns the next whole event, io.EOF at the end of the stream, or why
// the stream broke off.
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
			return event{}, e.ended(err)
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

// ended tells the end of a stream from one within an event.
func (e *eventReader) ended(err error) error {
	if errors.Is(err, io.EOF) && len(e.text) > 0 {
		return errEventCut
	}
	return err
}
