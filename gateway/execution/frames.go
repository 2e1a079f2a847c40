package execution

import (
	"bytes"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/stream"
)

// frameSeparator ends every event in wire form.
var frameSeparator = []byte("\n\n")

// ForEachChunk calls visit with the JSON of each chunk in the frames, in order, and
// returns the first error of visit. The frames must be complete chunk events.
func ForEachChunk(frames []byte, visit func(data []byte) error) error {
	for len(frames) > 0 {
		size := bytes.Index(frames, frameSeparator) + len(frameSeparator)
		if err := visit(stream.FrameData(frames[:size], api.EventChunk)); err != nil {
			return err
		}
		frames = frames[size:]
	}
	return nil
}
