// Package stream reads and strictly checks the server-sent events of a replica, and
// writes events to callers. An incomplete stream cannot be mistaken for a complete one:
// the Reader returns a ReadError for it, and Writer.Abort ends it with an error event and
// aborts the connection.
package stream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/deckpulley/deckpulley/api"
)

// Event is an event that passed all checks. Exactly one of Chunk, End and Error is set.
type Event struct {
	// Chunk is a chunk in JSON. It is valid until the next call of Reader.Next.
	Chunk []byte
	// End is the end marker of a complete stream.
	End *api.StreamEnd
	// Error is the error that the replica sent as the last event.
	Error *api.Error
}

// Options configures a Reader.
type Options struct {
	// RequestID is the ID of the request that the events must belong to.
	RequestID string
	// IdleTimeout is the maximum time that a call of Next waits for an event; 0
	// disables it. The time that the consumer takes between two calls does not count.
	IdleTimeout time.Duration
	// Interrupt is called, from another goroutine, when the idle timeout expires. It
	// must make the source's Read return, for instance by canceling the request. It is
	// required if IdleTimeout is set.
	Interrupt func()
}

// Reader reads and checks one stream. It is not safe for concurrent use.
type Reader struct {
	sequence SequenceChecker
	lines    *bufio.Reader
	// kind, data and hasData hold the fields of the event that is being read.
	kind    []byte
	data    []byte
	hasData bool

	idleTimeout time.Duration
	idleTimer   *time.Timer // nil without an idle timeout
	paused      bool        // idleTimer is stopped until the next call of Next
	stalled     atomic.Bool // the idle timeout has expired
}

// lineReaders holds the line buffers of closed Readers for reuse.
var lineReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, api.MaxStreamLine) }}

// NewReader returns a Reader of the stream in source. The idle timeout starts at once. The
// caller must close the Reader.
func NewReader(source io.Reader, options Options) *Reader {
	r := &Reader{sequence: SequenceChecker{RequestID: options.RequestID}, idleTimeout: options.IdleTimeout}
	r.lines = lineReaders.Get().(*bufio.Reader) //nolint:forcetypeassert // the pool holds no other type
	r.lines.Reset(source)
	if options.IdleTimeout > 0 {
		r.idleTimer = time.AfterFunc(options.IdleTimeout, func() {
			r.stalled.Store(true)
			options.Interrupt()
		})
	}
	return r
}

// Close stops the idle timer and releases the line buffer. It does not close the source.
func (r *Reader) Close() {
	if r.idleTimer != nil {
		r.idleTimer.Stop()
	}
	if r.lines != nil {
		r.lines.Reset(nil)
		lineReaders.Put(r.lines)
		r.lines = nil
	}
}

// Chunks returns the number of chunks read.
func (r *Reader) Chunks() int { return r.sequence.Chunks() }

// RunID returns the ID of the run that the chunks belong to. It is empty before the first
// chunk.
func (r *Reader) RunID() string { return r.sequence.RunID() }

// Next returns the next event. An End or an Error is the last event of a stream; the
// caller stops reading after it. The error of Next is always a *ReadError.
func (r *Reader) Next() (Event, error) {
	r.resumeTimer()
	for {
		complete, err := r.readLine()
		if err != nil {
			return Event{}, r.readError(err)
		}
		if !complete {
			continue
		}
		event, err := r.finishEvent()
		r.pauseTimer()
		return event, err
	}
}

// pauseTimer stops the idle timer until the next call of Next.
func (r *Reader) pauseTimer() {
	if r.idleTimer != nil {
		r.idleTimer.Stop()
		r.paused = true
	}
}

// resumeTimer restarts the idle timer with the full timeout if it is paused.
func (r *Reader) resumeTimer() {
	if r.paused {
		r.idleTimer.Reset(r.idleTimeout)
		r.paused = false
	}
}

// readError converts an error of readLine to a *ReadError.
func (r *Reader) readError(err error) error {
	var readErr *ReadError
	if errors.As(err, &readErr) {
		return readErr
	}
	if r.stalled.Load() {
		return &ReadError{Code: api.CodeReplicaStalled, Reason: "no event within the allowed gap"}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &ReadError{Code: api.CodeReplicaIncomplete, Reason: "the stream stopped before its end marker", Cause: err}
	}
	return &ReadError{Code: api.CodeReplicaBroken, Reason: "the stream cannot be read", Cause: err}
}

// readLine reads one line and reports whether it completes an event.
func (r *Reader) readLine() (complete bool, err error) {
	line, err := r.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return false, readErrorf(api.CodeReplicaBroken, "a line is longer than %d bytes", api.MaxStreamLine)
	}
	if err != nil {
		return false, err
	}
	line = bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
	if len(line) == 0 {
		return r.hasData || len(r.kind) > 0, nil
	}
	if line[0] == ':' {
		return false, nil // a comment
	}
	return false, r.readField(line)
}

// readField stores one field of an event. An event has exactly one kind and one data
// line. Other fields are not allowed, although server-sent events have some more.
func (r *Reader) readField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "event":
		if len(r.kind) > 0 {
			return readErrorf(api.CodeReplicaBroken, "an event with two kinds")
		}
		r.kind = append(r.kind[:0], value...)
		return nil
	case "data":
		if r.hasData {
			return readErrorf(api.CodeReplicaBroken, "an event with two data lines")
		}
		r.data = append(r.data[:0], value...)
		r.hasData = true
		return nil
	}
	return readErrorf(api.CodeReplicaBroken, "an unknown field in an event")
}

// finishEvent checks and returns the event whose fields have been read, and prepares the
// Reader for the next one.
func (r *Reader) finishEvent() (Event, error) {
	kind := r.kind
	r.kind, r.hasData = r.kind[:0], false
	switch string(kind) {
	case api.EventChunk:
		return r.decodeChunk()
	case api.EventEnd:
		return r.decodeEnd()
	case api.EventError:
		return r.decodeError()
	}
	return Event{}, readErrorf(api.CodeReplicaBroken, "an event of an unknown kind")
}

// decodeChunk checks the data of a chunk event.
func (r *Reader) decodeChunk() (Event, error) {
	if fields, ok := scanChunk(r.data); ok {
		return Event{Chunk: r.data}, r.sequence.checkScanned(&fields)
	}
	chunk, canonical, ok := parseChunk(r.data)
	if !ok {
		return Event{}, readErrorf(api.CodeReplicaBroken, "a piece that is not valid JSON")
	}
	return Event{Chunk: canonical}, r.sequence.CheckChunk(&chunk)
}

// decodeEnd decodes and checks the data of an end marker.
func (r *Reader) decodeEnd() (Event, error) {
	end := new(api.StreamEnd)
	if !utf8.Valid(r.data) || json.Unmarshal(r.data, end) != nil {
		return Event{}, readErrorf(api.CodeReplicaBroken, "an end marker that is not valid JSON")
	}
	return Event{End: end}, r.sequence.CheckEnd(end)
}

// decodeError decodes and checks the data of an error event.
func (r *Reader) decodeError() (Event, error) {
	failure := new(api.Error)
	if json.Unmarshal(r.data, failure) != nil || failure.Code == "" {
		return Event{}, readErrorf(api.CodeReplicaBroken, "an error event that is not valid JSON")
	}
	if failure.RequestID != "" && failure.RequestID != r.sequence.RequestID {
		return Event{}, readErrorf(api.CodeReplicaMismatch, "the error of another request")
	}
	return Event{Error: failure}, nil
}
