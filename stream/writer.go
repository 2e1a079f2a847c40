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

// The parts of an event around its kind and its data.
const (
	frameKind = "event: "
	frameData = "\ndata: "
	frameEnd  = "\n\n"
)

// AppendFrame appends one event in its wire form to buffer and returns the extended
// buffer. data must not contain a line break.
func AppendFrame(buffer []byte, kind string, data []byte) []byte {
	buffer = append(buffer, frameKind...)
	buffer = append(buffer, kind...)
	buffer = append(buffer, frameData...)
	buffer = append(buffer, data...)
	return append(buffer, frameEnd...)
}

// FrameData returns the data of a frame that AppendFrame made with the given kind.
// It is a part of the frame, not a copy.
func FrameData(frame []byte, kind string) []byte {
	return frame[len(frameKind)+len(kind)+len(frameData) : len(frame)-len(frameEnd)]
}

// Writer sends events to one caller. It is not safe for concurrent use.
type Writer struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

// NewWriter writes the header of a stream and returns a writer of its events. A
// write that the caller does not accept within timeout fails.
func NewWriter(response http.ResponseWriter, timeout time.Duration) *Writer {
	response.Header().Set("Content-Type", ContentType)
	response.Header().Set("Cache-Control", "no-store")
	response.WriteHeader(http.StatusOK)
	return &Writer{response: response, controller: http.NewResponseController(response), timeout: timeout}
}

// Frames sends events that are in their wire form and flushes them.
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

// Event sends one event with the JSON form of the message as its data.
func (w *Writer) Event(kind string, message any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("stream: encoding: %w", err)
	}
	return w.Frames(AppendFrame(nil, kind, data))
}

// Abort sends the error as the last event and aborts the connection, so that the
// stream cannot be taken for a complete one. It panics with http.ErrAbortHandler.
func (w *Writer) Abort(failure *api.Error) {
	_ = w.Event(api.EventError, failure) // the connection is aborted either way
	panic(http.ErrAbortHandler)
}
