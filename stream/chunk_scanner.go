package stream

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/deckpulley/deckpulley/api"
)

// chunkFields holds the members of a chunk that was scanned. The byte slices refer to the
// scanned data.
type chunkFields struct {
	requestID []byte
	runID     []byte
	text      []byte // with its JSON escapes
	sequence  int
	tokens    int
}

// Bits for the members of a chunk, used to detect duplicate and missing members.
const (
	hasRequestID = 1 << iota
	hasRunID
	hasSequence
	hasText
	hasTokens
	hasAllMembers = 1<<iota - 1
)

// maxDigits is the maximum number of digits of a scanned integer, well below an overflow.
const maxDigits = 9

// scanChunk reads a chunk in the usual form without allocating memory. The usual form is
// a flat JSON object without spaces that has each member once, IDs without escapes, and
// integers without a sign, fraction or exponent. For any other data scanChunk returns
// false, and parseChunk must decide whether it is a valid chunk.
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
		return fields, closed && members == hasAllMembers
	}
}

// scanner reads JSON that has no spaces between its tokens.
type scanner struct {
	data     []byte
	position int
}

// accept consumes the next byte if it is the expected one, and reports whether it did.
func (s *scanner) accept(expected byte) bool {
	if s.position < len(s.data) && s.data[s.position] == expected {
		s.position++
		return true
	}
	return false
}

// member reads a member into fields and returns the member's bit. It returns false if the
// member is unknown or not in the usual form.
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

// text reads a JSON string and returns the bytes between its quotes, without decoding
// escapes. plain is false if there are escapes. ok is false if the string is malformed, is
// not valid UTF-8 or has an escape that the scanner does not support.
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

// escape consumes an escape sequence of two bytes. It returns false for any other one:
// chunks with \u sequences are left to parseChunk.
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

// integer reads an unsigned integer of at most maxDigits digits.
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

// parseChunk decodes a chunk in any valid JSON form. canonical is the chunk encoded again
// by encoding/json, which the Reader returns in place of data.
func parseChunk(data []byte) (chunk api.StreamChunk, canonical []byte, ok bool) {
	if !utf8.Valid(data) || json.Unmarshal(data, &chunk) != nil {
		return chunk, nil, false
	}
	canonical, err := json.Marshal(&chunk)
	return chunk, canonical, err == nil
}
