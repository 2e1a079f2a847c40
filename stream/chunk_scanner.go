package stream

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/deckpulley/deckpulley/api"
)

// chunkFields are the members of one chunk. The byte slices point into the scanned
// data.
type chunkFields struct {
	requestID []byte
	runID     []byte
	text      []byte // still escaped
	sequence  int
	tokens    int
}

// Bits of the members that were scanned, to detect a duplicate or missing one.
const (
	hasRequestID = 1 << iota
	hasRunID
	hasSequence
	hasText
	hasTokens
	hasAll = 1<<iota - 1
)

// maxDigits bounds scanned integers well below an overflow.
const maxDigits = 9

// scanChunk reads the usual form of a chunk without allocating: one flat object
// without spaces, with each member once, IDs without escapes and plain integers.
// It reports false for everything else, valid or not; parseChunk then decides.
func scanChunk(data []byte) (chunkFields, bool) {
	var fields chunkFields
	scan := scanner{data: data}
	if !scan.accept('{') {
		return fields, false
	}
	members := 0
	for {
		bit, ok := scan.member(&fields)
		if !ok || members&bit != 0 {
			return fields, false
		}
		members |= bit
		if scan.accept(',') {
			continue
		}
		closed := scan.accept('}') && scan.position == len(data)
		return fields, closed && members == hasAll
	}
}

// scanner reads JSON from data, without spaces between its tokens.
type scanner struct {
	data     []byte
	position int
}

// accept consumes the next byte if it is the expected one, and reports whether it
// was.
func (s *scanner) accept(expected byte) bool {
	if s.position < len(s.data) && s.data[s.position] == expected {
		s.position++
		return true
	}
	return false
}

// member reads one member into fields and returns its bit.
func (s *scanner) member(fields *chunkFields) (int, bool) {
	name, plain, ok := s.text()
	if !ok || !plain || !s.accept(':') {
		return 0, false
	}
	switch string(name) {
	case "request_id":
		fields.requestID, plain, ok = s.text()
		return hasRequestID, ok && plain
	case "run_id":
		fields.runID, plain, ok = s.text()
		return hasRunID, ok && plain
	case "text":
		fields.text, _, ok = s.text()
		return hasText, ok
	case "sequence":
		fields.sequence, ok = s.integer()
		return hasSequence, ok
	case "tokens":
		fields.tokens, ok = s.integer()
		return hasTokens, ok
	}
	return 0, false
}

// text reads a string and returns the bytes between its quotes, still escaped;
// plain is false if there are escapes. It checks that the string is valid UTF-8.
func (s *scanner) text() (content []byte, plain, ok bool) {
	if !s.accept('"') {
		return nil, false, false
	}
	start := s.position
	plain = true
	ascii := true
	for s.position < len(s.data) {
		c := s.data[s.position]
		switch {
		case c == '"':
			content = s.data[start:s.position]
			s.position++
			return content, plain, ascii || utf8.Valid(content)
		case c == '\\':
			plain = false
			if !s.escape() {
				return nil, false, false
			}
			continue
		case c < ' ':
			return nil, false, false
		case c >= utf8.RuneSelf:
			ascii = false
		}
		s.position++
	}
	return nil, false, false
}

// escape consumes one escape sequence of two bytes. Longer ones (\u) are left to
// parseChunk.
func (s *scanner) escape() bool {
	if s.position+1 >= len(s.data) {
		return false
	}
	switch s.data[s.position+1] {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
		s.position += 2
		return true
	}
	return false
}

// integer reads an integer of at most maxDigits digits without a sign.
func (s *scanner) integer() (int, bool) {
	start := s.position
	value := 0
	for s.position < len(s.data) {
		digit := s.data[s.position] - '0'
		if digit > 9 {
			break
		}
		value = value*10 + int(digit)
		s.position++
	}
	digits := s.position - start
	leadingZero := digits > 1 && s.data[start] == '0'
	return value, digits > 0 && digits <= maxDigits && !leadingZero
}

// parseChunk decodes a chunk of any valid form. canonical is its usual form, which
// is passed on in place of data.
func parseChunk(data []byte) (chunk api.StreamChunk, canonical []byte, ok bool) {
	if !utf8.Valid(data) || json.Unmarshal(data, &chunk) != nil {
		return chunk, nil, false
	}
	canonical, err := json.Marshal(&chunk)
	return chunk, canonical, err == nil
}
