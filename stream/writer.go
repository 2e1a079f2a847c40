package stream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// ContentType is the media type of a stream.
const ContentType = "text/event-stream"

// The text of an event before its kind, between kind and data, and after its data.
const (
	frameKind = "event: "
	frameData = "\ndata: "
	frameEnd  = "\n\n"
)

// AppendFrame appends an event in its wire form, a frame, to buffer and returns the
// extended buffer. data must not contain a line break.
func AppendFrame(buffer []byte, kind string, data []byte) []byte {
	buffer = append(buffer, frameKind...)
	buffer = append(buffer, kind...)
	buffer = append(buffer, frameData...)
	buffer = append(buffer, data...)
	return append(buffer, frameEnd...)
}

// FrameData returns the data of a frame that AppendFrame created with the given kind. The
// result is a slice of the frame, not a copy.
func FrameData(frame []byte, kind string) []byte {
	return frame[len(frameKind)+len(kind)+len(frameData) : len(frame)-len(frameEnd)]
}

// Writer sends the events of one stream to a caller. It is not safe for concurrent use.
type Writer struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

// NewWriter writes the HTTP header of a stream and returns a Writer for its events. A
// write fails if it takes longer than timeout because the caller does not read.
func NewWriter(response http.ResponseWriter, timeout time.Duration) *Writer {
	response.Header().Set("Content-Type", ContentType)
	response.Header().Set("Cache-Control", "no-store")
	response.WriteHeader(http.StatusOK)
	return &Writer{response: response, controller: http.NewResponseController(response), timeout: timeout}
}

// Frames writes and flushes one or more events that are already in their wire form.
func (w *Writer) Frames(frames []byte) error {
	if err := w.controller.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return fmt.Errorf("stream: setting the write deadline: %w", err)
	}
	if _, err := w.response.Write(frames); err != nil {
		return fmt.Errorf("stream: writing: %w", err)
	}
	if err := w.controller.Flush(); err != nil {
		return fmt.Errorf("stream: flushing: %w", err)
	}
	return nil
}

// Event writes and flushes one event, whose data is the message in JSON.
func (w *Writer) Event(kind string, message any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("stream: encoding: %w", err)
	}
	return w.Frames(AppendFrame(nil, kind, data))
}

// Abort sends an error as the last event and aborts the connection, so that the caller
// cannot mistake the stream for a complete one. It does not return: it panics with
// http.ErrAbortHandler, which makes the HTTP server close the connection.
func (w *Writer) Abort(failure *api.Error) {
	_ = w.Event(api.EventError, failure) // the connection is aborted either way
	panic(http.ErrAbortHandler)
}
