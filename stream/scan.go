package stream

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/deckpulley/deckpulley/api"
)

// pieceFields are the checked parts of one piece. The byte slices point into
// the scanned data.
type pieceFields struct {
	requestID []byte
	runID     []byte
	text      []byte // still escaped
	sequence  int
	tokens    int
}

// Bits of the members seen, to notice a doubled or missing one.
const (
	sawRequestID = 1 << iota
	sawRunID
	sawSequence
	sawText
	sawTokens
	sawAll = 1<<iota - 1
)

// maxDigits keeps scanned integers far from overflow.
const maxDigits = 9

// scanPiece reads the usual form of a piece without allocating: one flat object
// with each member once, ids without escapes and plain integers. It reports
// false for everything else, valid or not; parsePiece then decides.
func scanPiece(data []byte) (pieceFields, bool) {
	var fields pieceFields
	scan := scanner{data: data}
	if !scan.take('{') {
		return fields, false
	}
	seen := 0
	for {
		bit, ok := scan.member(&fields)
		if !ok || seen&bit != 0 {
			return fields, false
		}
		seen |= bit
		if scan.take(',') {
			continue
		}
		closed := scan.take('}') && scan.position == len(data)
		return fields, closed && seen == sawAll
	}
}

type scanner struct {
	data     []byte
	position int
}

// take consumes one byte if it is the wanted one.
func (s *scanner) take(wanted byte) bool {
	if s.position < len(s.data) && s.data[s.position] == wanted {
		s.position++
		return true
	}
	return false
}

// member reads one name and value into fields and returns the member's bit.
func (s *scanner) member(fields *pieceFields) (int, bool) {
	name, plain, ok := s.text()
	if !ok || !plain || !s.take(':') {
		return 0, false
	}
	switch string(name) {
	case "request_id":
		fields.requestID, plain, ok = s.text()
		return sawRequestID, ok && plain
	case "run_id":
		fields.runID, plain, ok = s.text()
		return sawRunID, ok && plain
	case "text":
		fields.text, _, ok = s.text()
		return sawText, ok
	case "sequence":
		fields.sequence, ok = s.integer()
		return sawSequence, ok
	case "tokens":
		fields.tokens, ok = s.integer()
		return sawTokens, ok
	}
	return 0, false
}

// text reads a string and returns what is between its quotes; plain is false
// if it has escapes.
func (s *scanner) text() (content []byte, plain, ok bool) {
	if !s.take('"') {
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

// escape consumes one escape sequence of two bytes. Others, \u above all, are
// left to parsePiece.
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

// parsePiece decodes a piece of any valid form. canonical is its usual form,
// to be passed on in place of the data.
func parsePiece(data []byte) (piece api.StreamChunk, canonical []byte, ok bool) {
	if !utf8.Valid(data) || json.Unmarshal(data, &piece) != nil {
		return piece, nil, false
	}
	canonical, err := json.Marshal(&piece)
	return piece, canonical, err == nil
}
