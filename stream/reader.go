// Package stream reads the server-sent events of a replica with strict checks and
// writes events to callers. An incomplete stream can never be taken for a complete
// one: the Reader returns a ReadError, and the Writer ends the stream with an error
// event and an aborted connection.
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

// Event is one checked event. Exactly one of Chunk, End and Error is set.
type Event struct {
	// Chunk is the JSON of a chunk, valid until the next call of Next.
	Chunk []byte
	// End is the end marker of a complete stream.
	End *api.StreamEnd
	// Error is the error with which the replica ended the stream.
	Error *api.Error
}

// Options configures a Reader.
type Options struct {
	// RequestID is the request that the stream must answer.
	RequestID string
	// IdleTimeout is the longest wait for an event within Next; 0 disables it. The
	// time between two calls of Next does not count.
	IdleTimeout time.Duration
	// Interrupt is called once, from another goroutine, when the idle timeout is
	// over. It must make the source's Read return, for instance by canceling the
	// request.
	Interrupt func()
}

// Reader reads one stream. It is not safe for concurrent use.
type Reader struct {
	sequence SequenceChecker
	lines    *bufio.Reader
	// kind, data and hasData are the fields of the event that is being read.
	kind    []byte
	data    []byte
	hasData bool

	idleTimeout time.Duration
	idleTimer   *time.Timer // nil without an idle timeout
	paused      bool        // the timer is stopped until the next call of Next
	stalled     atomic.Bool // the idle timeout is over
}

// lineReaders reuses the buffers of closed readers.
var lineReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, api.MaxStreamLine) }}

// NewReader returns a reader of the stream in source. It must be closed.
func NewReader(source io.Reader, options Options) *Reader {
	r := &Reader{sequence: SequenceChecker{RequestID: options.RequestID}, idleTimeout: options.IdleTimeout}
	r.lines = lineReaders.Get().(*bufio.Reader) //nolint:forcetypeassert // New of the pool makes nothing else
	r.lines.Reset(source)
	if options.IdleTimeout > 0 {
		r.idleTimer = time.AfterFunc(options.IdleTimeout, func() {
			r.stalled.Store(true)
			options.Interrupt()
		})
	}
	return r
}

// Close stops the idle timer and gives the buffers back. The source stays open.
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

// RunID returns the run of the chunks read; empty before the first.
func (r *Reader) RunID() string { return r.sequence.RunID() }

// Next returns the next event. None follows an End or an Error. Its error is always
// a *ReadError.
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
		event, err := r.takeEvent()
		r.pauseTimer()
		return event, err
	}
}

// pauseTimer stops the idle timer between two calls of Next.
func (r *Reader) pauseTimer() {
	if r.idleTimer != nil {
		r.idleTimer.Stop()
		r.paused = true
	}
}

// resumeTimer restarts the idle timer if it is paused.
func (r *Reader) resumeTimer() {
	if r.paused {
		r.idleTimer.Reset(r.idleTimeout)
		r.paused = false
	}
}

// readError turns an error of readLine into a *ReadError.
func (r *Reader) readError(err error) error {
	var known *ReadError
	if errors.As(err, &known) {
		return known
	}
	if r.stalled.Load() {
		return &ReadError{Code: api.CodeReplicaStalled, Reason: "no event within the allowed gap"}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &ReadError{Code: api.CodeReplicaIncomplete, Reason: "the stream stopped before its end marker", Cause: err}
	}
	return &ReadError{Code: api.CodeReplicaBroken, Reason: "the stream cannot be read", Cause: err}
}

// readLine reads one line and reports whether it completed an event.
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

// readField takes one field of an event. An event has one kind and one data line;
// other fields are not allowed.
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

// takeEvent checks and returns the event that the lines read so far make up.
func (r *Reader) takeEvent() (Event, error) {
	kind := r.kind
	r.kind, r.hasData = r.kind[:0], false
	switch string(kind) {
	case api.EventChunk:
		return r.takeChunk()
	case api.EventEnd:
		return r.takeEnd()
	case api.EventError:
		return r.takeError()
	}
	return Event{}, readErrorf(api.CodeReplicaBroken, "an event of an unknown kind")
}

func (r *Reader) takeChunk() (Event, error) {
	if fields, ok := scanChunk(r.data); ok {
		return Event{Chunk: r.data}, r.sequence.checkScanned(&fields)
	}
	chunk, canonical, ok := parseChunk(r.data)
	if !ok {
		return Event{}, readErrorf(api.CodeReplicaBroken, "a piece that is not valid JSON")
	}
	return Event{Chunk: canonical}, r.sequence.CheckChunk(&chunk)
}

func (r *Reader) takeEnd() (Event, error) {
	end := new(api.StreamEnd)
	if !utf8.Valid(r.data) || json.Unmarshal(r.data, end) != nil {
		return Event{}, readErrorf(api.CodeReplicaBroken, "an end marker that is not valid JSON")
	}
	return Event{End: end}, r.sequence.CheckEnd(end)
}

func (r *Reader) takeError() (Event, error) {
	failure := new(api.Error)
	if json.Unmarshal(r.data, failure) != nil || failure.Code == "" {
		return Event{}, readErrorf(api.CodeReplicaBroken, "an error event that is not valid JSON")
	}
	if failure.RequestID != "" && failure.RequestID != r.sequence.RequestID {
		return Event{}, readErrorf(api.CodeReplicaMismatch, "the error of another request")
	}
	return Event{Error: failure}, nil
}
