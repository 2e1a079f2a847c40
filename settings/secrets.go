package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
)

// Bounds of secrets.
const (
	minKeyBytes     = 16
	maxKeys         = 8
	minTokenLength  = 16
	othersMayAccess = 0o077
)

// Keys reads the fleet's keys, newest first. The file must be its owner's alone
// (mode 0600 or 0400); a line beginning with # is a comment. Errors are of type
// *FieldError and never repeat a key.
func (s *Settings) Keys() ([][]byte, error) {
	lines, err := s.secretLines("key_file", s.KeyFile)
	if err != nil {
		return nil, err
	}
	keys := make([][]byte, 0, len(lines))
	seen := make(map[string]int)
	for _, line := range lines {
		key, err := hex.DecodeString(line.text)
		if err != nil {
			return nil, s.secretProblem("key_file", s.KeyFile, line.number, "is not hexadecimal")
		}
		if len(key) < minKeyBytes {
			return nil, s.secretProblem("key_file", s.KeyFile, line.number, fmt.Sprintf("has %d bytes, %d at least", len(key), minKeyBytes))
		}
		if first, doubled := seen[string(key)]; doubled {
			return nil, s.secretProblem("key_file", s.KeyFile, line.number, fmt.Sprintf("repeats line %d", first))
		}
		seen[string(key)] = line.number
		keys = append(keys, key)
	}
	switch {
	case len(keys) == 0:
		return nil, s.problem("key_file", s.KeyFile+" holds no key")
	case len(keys) > maxKeys:
		return nil, s.problem("key_file", fmt.Sprintf("%s holds %d keys, %d at the most", s.KeyFile, len(keys), maxKeys))
	}
	return keys, nil
}

// Tokens are the operators' tokens.
type Tokens struct {
	entries []tokenEntry
}

type tokenEntry struct {
	name   string
	digest [sha256.Size]byte
}

// Tokens reads the token file: one "name token" a line, the token of 16
// characters or more. It must be its owner's alone. Without a token file the
// result is empty. Errors are of type *FieldError and never repeat a token.
func (s *Settings) Tokens() (Tokens, error) {
	if s.TokenFile == "" {
		return Tokens{}, nil
	}
	lines, err := s.secretLines("token_file", s.TokenFile)
	if err != nil {
		return Tokens{}, err
	}
	var tokens Tokens
	for _, line := range lines {
		fields := strings.Fields(line.text)
		if len(fields) != 2 {
			return Tokens{}, s.secretProblem("token_file", s.TokenFile, line.number, "must be a name and a token")
		}
		if len(fields[1]) < minTokenLength {
			return Tokens{}, s.secretProblem("token_file", s.TokenFile, line.number, fmt.Sprintf("has a token of %d characters, %d at least", len(fields[1]), minTokenLength))
		}
		tokens.entries = append(tokens.entries, tokenEntry{name: fields[0], digest: sha256.Sum256([]byte(fields[1]))})
	}
	if len(tokens.entries) == 0 {
		return Tokens{}, s.problem("token_file", s.TokenFile+" holds no token")
	}
	return tokens, nil
}

// Empty says that no token is asked for.
func (t Tokens) Empty() bool { return len(t.entries) == 0 }

// bearer precedes the token in the Authorization header.
const bearer = "Bearer "

// Authenticate judges the value of an Authorization header ("Bearer TOKEN") in
// constant time and returns the operator's name. With no tokens everyone may
// pass, with an empty name.
func (t Tokens) Authenticate(header string) (name string, ok bool) {
	if t.Empty() {
		return "", true
	}
	token, hasPrefix := strings.CutPrefix(header, bearer)
	digest := sha256.Sum256([]byte(token))
	for _, entry := range t.entries {
		if subtle.ConstantTimeCompare(digest[:], entry.digest[:]) == 1 {
			name, ok = entry.name, hasPrefix
		}
	}
	return name, ok
}

type secretLine struct {
	number int
	text   string
}

func (s *Settings) secretLines(field, path string) ([]secretLine, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, s.problem(field, fmt.Sprintf("%s: %v", path, plainError(err)))
	}
	if !info.Mode().IsRegular() {
		return nil, s.problem(field, path+" is not a file")
	}
	if mode := info.Mode().Perm(); mode&othersMayAccess != 0 {
		return nil, s.problem(field, fmt.Sprintf("%s may be used by others (mode %04o): set mode 0600 or 0400", path, mode))
	}
	text, err := readBounded(path)
	if err != nil {
		return nil, s.problem(field, fmt.Sprintf("%s: %v", path, err))
	}
	var lines []secretLine
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, secretLine{number: i + 1, text: line})
		}
	}
	return lines, nil
}

func (s *Settings) secretProblem(field, path string, line int, reason string) *FieldError {
	return s.problem(field, fmt.Sprintf("%s line %d %s", path, line, reason))
}

// asFieldError unwraps what Keys and Tokens return.
func asFieldError(err error) *FieldError {
	var problem *FieldError
	if errors.As(err, &problem) {
		return problem
	}
	return &FieldError{Reason: err.Error()}
}
