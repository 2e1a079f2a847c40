package registry

import (
	"errors"
	"fmt"
	"strings"
)

// Name is a canonical domain name: lower case, absolute, dot-terminated
// (section 1.1.2). Use ParseName to create one from untrusted input.
type Name string

// Limits of names, in octets of the wire form (RFC 1035, 2.3.4).
const (
	MaxLabelBytes = 63
	MaxNameBytes  = 255
)

// Root is the name of the root; every other name is below it.
const Root Name = "."

// ErrName is wrapped by the errors about malformed names.
var ErrName = errors.New("registry: malformed name")

// ParseName returns the canonical form of text: ASCII letters in lower case, a
// trailing dot, and escapes only where needed. It accepts the escapes \X and \DDD of
// master files (RFC 1035, 5.1).
func ParseName(text string) (Name, error) {
	labels, err := splitLabels(text)
	if err != nil {
		return "", err
	}
	if len(labels) == 0 {
		return Root, nil
	}
	var canonical strings.Builder
	canonical.Grow(len(text) + 1)
	wire := 1
	for _, label := range labels {
		if len(label) == 0 {
			return "", fmt.Errorf("%w: %q has an empty label", ErrName, text)
		}
		if len(label) > MaxLabelBytes {
			return "", fmt.Errorf("%w: label has %d octets, at most %d", ErrName, len(label), MaxLabelBytes)
		}
		wire += 1 + len(label)
		writeLabel(&canonical, label)
		canonical.WriteByte('.')
	}
	if wire > MaxNameBytes {
		return "", fmt.Errorf("%w: name has %d octets, at most %d", ErrName, wire, MaxNameBytes)
	}
	return Name(canonical.String()), nil
}

// In reports whether the name is the apex or below it (sections 1.2 and 7.18).
func (n Name) In(apex Name) bool {
	if n == "" || apex == "" {
		return false
	}
	if apex == Root || n == apex {
		return true
	}
	labels, found := strings.CutSuffix(string(n), "."+string(apex))
	if !found {
		return false
	}
	// A dot after an odd number of backslashes is escaped and belongs to a label.
	backslashes := len(labels) - len(strings.TrimRight(labels, `\`))
	return backslashes%2 == 0
}

// Child returns the name one label below n. The label is given unescaped: dots and other
// special octets in it are escaped.
func (n Name) Child(label string) Name {
	var text strings.Builder
	writeLabel(&text, []byte(label))
	text.WriteByte('.')
	if n != Root {
		text.WriteString(string(n))
	}
	return Name(text.String())
}

// Labels returns the unescaped labels, leftmost first. It returns nil for a malformed
// name and for Root.
func (n Name) Labels() []string {
	labels, err := splitLabels(string(n))
	if err != nil {
		return nil
	}
	var raw []string
	for _, label := range labels {
		raw = append(raw, string(label))
	}
	return raw
}

// canonicalName returns the canonical form of an untrusted name. It does not allocate
// for names that are already canonical and need no escapes.
func canonicalName(n Name) (Name, error) {
	if isPlainCanonical(n) {
		return n, nil
	}
	return ParseName(string(n))
}

// isPlainCanonical reports whether a name other than Root is canonical and has only
// lower-case letters, digits, hyphens, underscores and dots. It does not allocate.
func isPlainCanonical(n Name) bool {
	if len(n) < 2 || len(n) > MaxNameBytes-1 || n[len(n)-1] != '.' {
		return false
	}
	label := 0
	for i := 0; i < len(n); i++ {
		octet := n[i]
		switch {
		case octet == '.':
			if label == 0 || label > MaxLabelBytes {
				return false
			}
			label = 0
		case octet >= 'a' && octet <= 'z', octet >= '0' && octet <= '9', octet == '-', octet == '_':
			label++
		default:
			return false
		}
	}
	return true
}

// key returns the sort key of the name: its labels from the root down, each followed
// by a zero octet, so that a name and all names below it are adjacent.
func (n Name) key() string {
	text := string(n)
	if text == "." || text == "" {
		return ""
	}
	key := make([]byte, 0, len(text))
	end := len(text) - 1
	for i := end - 1; i >= 0; i-- {
		if text[i] != '.' || escapedAt(text, i) {
			continue
		}
		key = append(key, text[i+1:end]...)
		key = append(key, 0)
		end = i
	}
	key = append(key, text[:end]...)
	return string(append(key, 0))
}

// escapedAt reports whether an odd number of backslashes precedes text[i].
func escapedAt(text string, i int) bool {
	count := 0
	for i--; i >= 0 && text[i] == '\\'; i-- {
		count++
	}
	return count%2 == 1
}

// splitLabels splits a name at the dots that are not escaped and unescapes the labels.
func splitLabels(text string) ([][]byte, error) {
	if text == "" {
		return nil, fmt.Errorf("%w: name is empty", ErrName)
	}
	if text == "." {
		return nil, nil
	}
	var labels [][]byte
	var label []byte
	for i := 0; i < len(text); {
		if text[i] == '.' {
			labels = append(labels, label)
			label = nil
			i++
			continue
		}
		octet, width, err := unescape(text[i:])
		if err != nil {
			return nil, err
		}
		label = append(label, octet)
		i += width
	}
	if label != nil {
		labels = append(labels, label)
	}
	return labels, nil
}

// unescape returns the first octet of text and the width of its notation in text.
func unescape(text string) (octet byte, width int, err error) {
	if text[0] != '\\' {
		return text[0], 1, nil
	}
	if len(text) < 2 {
		return 0, 0, fmt.Errorf("%w: ends with an incomplete escape", ErrName)
	}
	if !isDigit(text[1]) {
		return text[1], 2, nil
	}
	if len(text) < 4 || !isDigit(text[2]) || !isDigit(text[3]) {
		return 0, 0, fmt.Errorf("%w: an octet escape needs three digits", ErrName)
	}
	value := int(text[1]-'0')*100 + int(text[2]-'0')*10 + int(text[3]-'0')
	if value > 255 {
		return 0, 0, fmt.Errorf("%w: octet escape %d exceeds 255", ErrName, value)
	}
	return byte(value), 4, nil
}

func isDigit(character byte) bool { return character >= '0' && character <= '9' }

// writeLabel writes an unescaped label in canonical form.
func writeLabel(text *strings.Builder, label []byte) {
	for _, octet := range label {
		switch {
		case octet >= 'A' && octet <= 'Z':
			text.WriteByte(octet + 'a' - 'A')
		case octet == '.' || octet == '\\':
			text.WriteByte('\\')
			text.WriteByte(octet)
		case octet > ' ' && octet < 0x7f:
			text.WriteByte(octet)
		default:
			fmt.Fprintf(text, `\%03d`, octet)
		}
	}
}
