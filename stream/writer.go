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

const (
	frameKind = "event: "
	frameData = "\ndata: "
	frameEnd  = "\n\n"
)

// AppendFrame appends one event in its wire form. data must hold no line break.
func AppendFrame(buffer []byte, kind string, data []byte) []byte {
	buffer = append(buffer, frameKind...)
	buffer = append(buffer, kind...)
	buffer = append(buffer, frameData...)
	buffer = append(buffer, data...)
	return append(buffer, frameEnd...)
}

// FrameData returns the data of one frame made by AppendFrame.
func FrameData(frame []byte, kind string) []byte {
	return frame[len(frameKind)+len(kind)+len(frameData) : len(frame)-len(frameEnd)]
}

// Writer sends events to one caller. It is not safe for concurrent use.
type Writer struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

// NewWriter writes the header of a stream. A write that the caller does not
// take within timeout fails.
func NewWriter(response http.ResponseWriter, timeout time.Duration) *Writer {
	response.Header().Set("Content-Type", ContentType)
	response.Header().Set("Cache-Control", "no-store")
	response.WriteHeader(http.StatusOK)
	return &Writer{response: response, controller: http.NewResponseController(response), timeout: timeout}
}

// Frames sends events that are in their wire form, at once.
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

// Event sends one event.
func (w *Writer) Event(kind string, message any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("stream: encoding: %w", err)
	}
	return w.Frames(AppendFrame(nil, kind, data))
}

// Abort sends the error as the last event and breaks the connection off, so
// that the stream cannot be taken for a whole one. It does not return.
func (w *Writer) Abort(failure *api.Error) {
	_ = w.Event(api.EventError, failure) // the connection goes either way
	panic(http.ErrAbortHandler)
}
