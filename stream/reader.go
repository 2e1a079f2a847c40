// Package stream reads the server-sent events of a replica with strict checks
// and writes events toward callers. A stream that is not whole never looks
// whole: its reader returns a Fault and its writer ends with an error event and
// an aborted connection.
package stream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/deckpulley/deckpulley/api"
)

// ReadError says why a stream is not whole.
type ReadError struct {
	// Code is one of api.CodeReplicaBroken, CodeReplicaMismatch,
	// CodeReplicaIncomplete and CodeReplicaStalled.
	Code   api.Code
	Reason string
	// Cause is the read error, if there is one.
	Cause error
}

// Error implements the error interface.
func (f *ReadError) Error() string {
	if f.Cause != nil {
		return fmt.Sprintf("stream: %s: %s: %v", f.Code, f.Reason, f.Cause)
	}
	return fmt.Sprintf("stream: %s: %s", f.Code, f.Reason)
}

// Unwrap returns the read error.
func (f *ReadError) Unwrap() error { return f.Cause }

func fault(code api.Code, format string, arguments ...any) *ReadError {
	return &ReadError{Code: code, Reason: fmt.Sprintf(format, arguments...)}
}

// Order checks that the events of one stream belong together: one request, one
// run, sequence numbers from 1 without a gap, and tokens that add up.
type Order struct {
	// RequestID is the request that the stream must answer.
	RequestID string
	runID     string
	last      int
	tokens    int
	ended     bool
}

// RunID is the run that made the events so far; empty before the first.
func (o *Order) RunID() string { return o.runID }

// Pieces is the number of pieces seen.
func (o *Order) Pieces() int { return o.last }

// Piece checks the next piece.
func (o *Order) Piece(piece *api.StreamPiece) error {
	if piece.RequestID != o.RequestID {
		return fault(api.CodeReplicaMismatch, "a piece of another request")
	}
	return o.next(piece.RunID, piece.Sequence, piece.Tokens)
}

func (o *Order) scanned(fields *pieceFields) error {
	if string(fields.requestID) != o.RequestID {
		return fault(api.CodeReplicaMismatch, "a piece of another request")
	}
	if string(fields.runID) == o.runID {
		return o.next(o.runID, fields.sequence, fields.tokens)
	}
	return o.next(string(fields.runID), fields.sequence, fields.tokens)
}

func (o *Order) next(runID string, sequence, tokens int) error {
	if err := o.belongs(runID, sequence); err != nil {
		return err
	}
	if tokens < 0 {
		return fault(api.CodeReplicaBroken, "a piece of %d tokens", tokens)
	}
	o.last = sequence
	o.tokens += tokens
	return nil
}

func (o *Order) belongs(runID string, sequence int) error {
	if o.ended {
		return fault(api.CodeReplicaMismatch, "an event after the end")
	}
	if runID == "" || len(runID) > api.MaxNameBytes {
		return fault(api.CodeReplicaMismatch, "an event without a run")
	}
	if o.runID == "" {
		o.runID = runID
	}
	if runID != o.runID {
		return fault(api.CodeReplicaMismatch, "an event of another run")
	}
	if sequence != o.last+1 {
		return fault(api.CodeReplicaMismatch, "event %d follows event %d", sequence, o.last)
	}
	return nil
}

// End checks the end marker.
func (o *Order) End(end *api.StreamEnd) error {
	if end.RequestID != o.RequestID {
		return fault(api.CodeReplicaMismatch, "the end of another request")
	}
	if err := o.belongs(end.RunID, end.Sequence); err != nil {
		return err
	}
	if end.Tokens <= 0 || end.Tokens != o.tokens {
		return fault(api.CodeReplicaIncomplete, "the end counts %d tokens, the pieces %d", end.Tokens, o.tokens)
	}
	o.ended = true
	return nil
}

// Event is one checked event. Exactly one of Piece, End and Error is set.
type Event struct {
	// Piece is the JSON of a piece, valid until the next call of Next.
	Piece []byte
	End   *api.StreamEnd
	Error *api.Error
}

// Options sets up a Reader.
type Options struct {
	// RequestID is the request that the stream must answer.
	RequestID string
	// Gap is the longest wait for an event; 0 is no bound. The time that the
	// events' user takes between two calls of Next is not a part of it.
	Gap time.Duration
	// Interrupt is called once when the gap is over. It must make the source's
	// Read return, for instance by canceling the request.
	Interrupt func()
}

// Reader reads one stream. It is not safe for concurrent use.
type Reader struct {
	order   Order
	lines   *bufio.Reader
	kind    []byte
	data    []byte
	hasData bool
	gap     time.Duration
	timer   *time.Timer
	paused  bool // the timer stands still until the next wait
	stalled atomic.Bool
}

var lineReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, api.MaxStreamLine) }}

// NewReader reads from source. Close gives its buffers back.
func NewReader(source io.Reader, options Options) *Reader {
	r := &Reader{order: Order{RequestID: options.RequestID}, gap: options.Gap}
	r.lines = lineReaders.Get().(*bufio.Reader)
	r.lines.Reset(source)
	if options.Gap > 0 {
		r.timer = time.AfterFunc(options.Gap, func() {
			r.stalled.Store(true)
			options.Interrupt()
		})
	}
	return r
}

// Close stops the gap timer and returns the buffers. The source stays open.
func (r *Reader) Close() {
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.lines != nil {
		r.lines.Reset(nil)
		lineReaders.Put(r.lines)
		r.lines = nil
	}
}

// Pieces is the number of pieces read.
func (r *Reader) Pieces() int { return r.order.Pieces() }

// RunID is the run of the pieces read; empty before the first.
func (r *Reader) RunID() string { return r.order.RunID() }

// Next returns the next event. After an End or an Error there are no more. Its
// error is always a *Fault.
func (r *Reader) Next() (Event, error) {
	r.resumeTimer()
	for {
		done, err := r.line()
		if err != nil {
			return Event{}, r.readFault(err)
		}
		if !done {
			continue
		}
		event, err := r.event()
		r.pauseTimer()
		return event, err
	}
}

func (r *Reader) pauseTimer() {
	if r.timer != nil {
		r.timer.Stop()
		r.paused = true
	}
}

func (r *Reader) resumeTimer() {
	if r.paused {
		r.timer.Reset(r.gap)
		r.paused = false
	}
}

func (r *Reader) readFault(err error) error {
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

// line reads one line; done means that it closed an event.
func (r *Reader) line() (done bool, err error) {
	line, err := r.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return false, fault(api.CodeReplicaBroken, "a line is longer than %d bytes", api.MaxStreamLine)
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
	return false, r.field(line)
}

func (r *Reader) field(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "event":
		if len(r.kind) > 0 {
			return fault(api.CodeReplicaBroken, "an event with two kinds")
		}
		r.kind = append(r.kind[:0], value...)
		return nil
	case "data":
		if r.hasData {
			return fault(api.CodeReplicaBroken, "an event with two data lines")
		}
		r.data = append(r.data[:0], value...)
		r.hasData = true
		return nil
	}
	return fault(api.CodeReplicaBroken, "an unknown field in an event")
}

// event interprets the collected lines.
func (r *Reader) event() (Event, error) {
	kind := r.kind
	r.kind, r.hasData = r.kind[:0], false
	switch string(kind) {
	case api.EventPiece:
		return r.piece()
	case api.EventEnd:
		return r.end()
	case api.EventError:
		return r.failure()
	}
	return Event{}, fault(api.CodeReplicaBroken, "an event of an unknown kind")
}

func (r *Reader) piece() (Event, error) {
	if fields, ok := scanPiece(r.data); ok {
		return Event{Piece: r.data}, r.order.scanned(&fields)
	}
	piece, canonical, ok := parsePiece(r.data)
	if !ok {
		return Event{}, fault(api.CodeReplicaBroken, "a piece that is not valid JSON")
	}
	return Event{Piece: canonical}, r.order.Piece(&piece)
}

func (r *Reader) end() (Event, error) {
	end := new(api.StreamEnd)
	if !utf8.Valid(r.data) || json.Unmarshal(r.data, end) != nil {
		return Event{}, fault(api.CodeReplicaBroken, "an end marker that is not valid JSON")
	}
	return Event{End: end}, r.order.End(end)
}

func (r *Reader) failure() (Event, error) {
	failure := new(api.Error)
	if json.Unmarshal(r.data, failure) != nil || failure.Code == "" {
		return Event{}, fault(api.CodeReplicaBroken, "an error event that is not valid JSON")
	}
	if failure.RequestID != "" && failure.RequestID != r.order.RequestID {
		return Event{}, fault(api.CodeReplicaMismatch, "the error of another request")
	}
	return Event{Error: failure}, nil
}
