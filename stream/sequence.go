package stream

import "github.com/deckpulley/deckpulley/api"

// SequenceChecker checks that the events of one stream belong together: they are
// of one request and one run, their sequence numbers start at 1 and have no gap,
// and the tokens of the chunks add up to those of the end marker. Its errors are
// *ReadError.
type SequenceChecker struct {
	// RequestID is the request that the stream must answer.
	RequestID    string
	runID        string
	lastSequence int
	tokens       int
	ended        bool
}

// RunID returns the run of the events so far; empty before the first.
func (c *SequenceChecker) RunID() string { return c.runID }

// Chunks returns the number of chunks checked.
func (c *SequenceChecker) Chunks() int { return c.lastSequence }

// CheckChunk checks the next chunk.
func (c *SequenceChecker) CheckChunk(chunk *api.StreamChunk) error {
	if chunk.RequestID != c.RequestID {
		return readErrorf(api.CodeReplicaMismatch, "a piece of another request")
	}
	return c.next(chunk.RunID, chunk.Sequence, chunk.Tokens)
}

// checkScanned is CheckChunk for scanned fields. It allocates only for the first
// chunk of a run.
func (c *SequenceChecker) checkScanned(fields *chunkFields) error {
	if string(fields.requestID) != c.RequestID {
		return readErrorf(api.CodeReplicaMismatch, "a piece of another request")
	}
	if string(fields.runID) == c.runID {
		return c.next(c.runID, fields.sequence, fields.tokens)
	}
	return c.next(string(fields.runID), fields.sequence, fields.tokens)
}

// CheckEnd checks the end marker. No event may follow it.
func (c *SequenceChecker) CheckEnd(end *api.StreamEnd) error {
	if end.RequestID != c.RequestID {
		return readErrorf(api.CodeReplicaMismatch, "the end of another request")
	}
	if err := c.checkRun(end.RunID, end.Sequence); err != nil {
		return err
	}
	if end.Tokens <= 0 || end.Tokens != c.tokens {
		return readErrorf(api.CodeReplicaIncomplete, "the end counts %d tokens, the pieces %d", end.Tokens, c.tokens)
	}
	c.ended = true
	return nil
}

// next checks the properties of the next chunk and counts it.
func (c *SequenceChecker) next(runID string, sequence, tokens int) error {
	if err := c.checkRun(runID, sequence); err != nil {
		return err
	}
	if tokens < 0 {
		return readErrorf(api.CodeReplicaBroken, "a piece of %d tokens", tokens)
	}
	c.lastSequence = sequence
	c.tokens += tokens
	return nil
}

// checkRun checks that an event follows the one before it in the same run. The
// first event sets the run.
func (c *SequenceChecker) checkRun(runID string, sequence int) error {
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
