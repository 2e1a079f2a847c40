package stream

import "github.com/deckpulley/deckpulley/api"

// SequenceChecker checks that the events of a stream are consistent: all belong to the
// same request and the same run, their sequence numbers start at 1 and have no gaps, and
// the number of tokens in the end marker is the sum of those of the chunks. Its errors
// are of type *ReadError.
type SequenceChecker struct {
	// RequestID is the ID of the request that the events must belong to.
	RequestID    string
	runID        string
	lastSequence int
	tokens       int
	ended        bool
}

// RunID returns the ID of the run that the events belong to. It is empty before the first
// event.
func (c *SequenceChecker) RunID() string { return c.runID }

// Chunks returns the number of chunks that passed the checks.
func (c *SequenceChecker) Chunks() int { return c.lastSequence }

// CheckChunk checks that a chunk is a valid continuation of the stream.
func (c *SequenceChecker) CheckChunk(chunk *api.StreamChunk) error {
	if chunk.RequestID != c.RequestID {
		return readErrorf(api.CodeReplicaMismatch, "a piece of another request")
	}
	return c.recordChunk(chunk.RunID, chunk.Sequence, chunk.Tokens)
}

// checkScanned does the same as CheckChunk for a scanned chunk. It allocates memory only if
// the run ID differs from that of the previous chunk, as for the first one.
func (c *SequenceChecker) checkScanned(fields *chunkFields) error {
	if string(fields.requestID) != c.RequestID {
		return readErrorf(api.CodeReplicaMismatch, "a piece of another request")
	}
	if string(fields.runID) == c.runID {
		return c.recordChunk(c.runID, fields.sequence, fields.tokens)
	}
	return c.recordChunk(string(fields.runID), fields.sequence, fields.tokens)
}

// CheckEnd checks the end marker. After a valid one, all further events are errors.
func (c *SequenceChecker) CheckEnd(end *api.StreamEnd) error {
	if end.RequestID != c.RequestID {
		return readErrorf(api.CodeReplicaMismatch, "the end of another request")
	}
	if err := c.checkOrder(end.RunID, end.Sequence); err != nil {
		return err
	}
	if end.Tokens <= 0 || end.Tokens != c.tokens {
		return readErrorf(api.CodeReplicaIncomplete, "the end counts %d tokens, the pieces %d", end.Tokens, c.tokens)
	}
	c.ended = true
	return nil
}

// recordChunk checks the run, the sequence number and the tokens of a chunk, and records the
// chunk.
func (c *SequenceChecker) recordChunk(runID string, sequence, tokens int) error {
	if err := c.checkOrder(runID, sequence); err != nil {
		return err
	}
	if tokens < 0 {
		return readErrorf(api.CodeReplicaBroken, "a piece of %d tokens", tokens)
	}
	c.lastSequence = sequence
	c.tokens += tokens
	return nil
}

// checkOrder checks that an event belongs to the run of the events before it and has the
// next sequence number. The first event determines the run.
func (c *SequenceChecker) checkOrder(runID string, sequence int) error {
	if c.ended {
		return readErrorf(api.CodeReplicaMismatch, "an event after the end")
	}
	if runID == "" || len(runID) > api.MaxNameBytes {
		return readErrorf(api.CodeReplicaMismatch, "an event without a run")
	}
	if c.runID == "" {
		c.runID = runID
	}
	if runID != c.runID {
		return readErrorf(api.CodeReplicaMismatch, "an event of another run")
	}
	if sequence != c.lastSequence+1 {
		return readErrorf(api.CodeReplicaMismatch, "event %d follows event %d", sequence, c.lastSequence)
	}
	return nil
}
