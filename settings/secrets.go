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

// Limits of keys and tokens.
const (
	minKeyBytes   = 16
	maxKeys       = 8
	minTokenBytes = 16
)

// nonOwnerPermissions has the permission bits of a file's group and of all other users.
const nonOwnerPermissions = 0o077

// Keys reads the fleet's keys from KeyFile, newest first. Only the file's owner may have
// access to the file (mode 0600 or 0400). A line that begins with # is a comment. An
// error is a *FieldError and never contains a key.
func (s *Settings) Keys() ([][]byte, error) {
	lines, err := s.secretLines("key_file", s.KeyFile)
	if err != nil {
		return nil, err
	}
	keys := make([][]byte, 0, len(lines))
	firstLine := make(map[string]int) // line number by key
	for _, line := range lines {
		key, err := s.parseKey(line)
		if err != nil {
			return nil, err
		}
		if first, repeated := firstLine[string(key)]; repeated {
			return nil, s.lineError("key_file", s.KeyFile, line.number, fmt.Sprintf("repeats the key of line %d", first))
		}
		firstLine[string(key)] = line.number
		keys = append(keys, key)
	}
	switch {
	case len(keys) == 0:
		return nil, s.fieldError("key_file", s.KeyFile+" contains no key")
	case len(keys) > maxKeys:
		return nil, s.fieldError("key_file", fmt.Sprintf("%s contains %d keys, at most %d are allowed", s.KeyFile, len(keys), maxKeys))
	}
	return keys, nil
}

func (s *Settings) parseKey(line secretLine) ([]byte, error) {
	key, err := hex.DecodeString(line.text)
	if err != nil {
		return nil, s.lineError("key_file", s.KeyFile, line.number, "is not hexadecimal")
	}
	if len(key) < minKeyBytes {
		return nil, s.lineError("key_file", s.KeyFile, line.number, fmt.Sprintf("has a key of %d bytes, at least %d are required", len(key), minKeyBytes))
	}
	return key, nil
}

// Tokens has the tokens of the operators.
type Tokens struct {
	entries []tokenEntry
}

// tokenEntry is one operator's token. Only the digest of the token is stored.
type tokenEntry struct {
	name   string
	digest [sha256.Size]byte
}

// Tokens reads TokenFile: one "name token" per line, each token at least 16 bytes long.
// Only the file's owner may have access to the file. If TokenFile is empty, the result
// has no tokens. An error is a *FieldError and never contains a token.
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
		entry, err := s.parseToken(line)
		if err != nil {
			return Tokens{}, err
		}
		tokens.entries = append(tokens.entries, entry)
	}
	if len(tokens.entries) == 0 {
		return Tokens{}, s.fieldError("token_file", s.TokenFile+" contains no token")
	}
	return tokens, nil
}

func (s *Settings) parseToken(line secretLine) (tokenEntry, error) {
	fields := strings.Fields(line.text)
	if len(fields) != 2 {
		return tokenEntry{}, s.lineError("token_file", s.TokenFile, line.number, "must have a name and a token")
	}
	name, token := fields[0], fields[1]
	if len(token) < minTokenBytes {
		return tokenEntry{}, s.lineError("token_file", s.TokenFile, line.number, fmt.Sprintf("has a token of %d bytes, at least %d are required", len(token), minTokenBytes))
	}
	return tokenEntry{name: name, digest: sha256.Sum256([]byte(token))}, nil
}

// Empty reports whether there are no tokens. Operators then need none.
func (t Tokens) Empty() bool { return len(t.entries) == 0 }

// bearerPrefix is the prefix of the token in the Authorization header.
const bearerPrefix = "Bearer "

// Authenticate returns the name of the operator whose token is in an Authorization
// header ("Bearer TOKEN"). It compares the token's digest with those of all tokens in
// constant time, so that its duration reveals nothing about the tokens. If there are no
// tokens, it accepts any header and returns an empty name.
func (t Tokens) Authenticate(header string) (name string, ok bool) {
	if t.Empty() {
		return "", true
	}
	token, hasPrefix := strings.CutPrefix(header, bearerPrefix)
	digest := sha256.Sum256([]byte(token))
	for _, entry := range t.entries {
		if subtle.ConstantTimeCompare(digest[:], entry.digest[:]) == 1 {
			name, ok = entry.name, hasPrefix
		}
	}
	return name, ok
}

// secretLine is one line of a key file or token file.
type secretLine struct {
	number int // line number, starting at 1
	text   string
}

// secretLines returns the lines of a key file or token file that are neither empty nor
// comments. It rejects a file to which anyone but the owner has access.
func (s *Settings) secretLines(field, path string) ([]secretLine, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, s.fieldError(field, fmt.Sprintf("%s: %v", path, withoutPath(err)))
	}
	if !info.Mode().IsRegular() {
		return nil, s.fieldError(field, path+" is not a regular file")
	}
	if mode := info.Mode().Perm(); mode&nonOwnerPermissions != 0 {
		return nil, s.fieldError(field, fmt.Sprintf("%s is accessible to other users (mode %04o): set mode 0600 or 0400", path, mode))
	}
	text, err := readBounded(path)
	if err != nil {
		return nil, s.fieldError(field, fmt.Sprintf("%s: %v", path, err))
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

// lineError returns an error for one line of a key file or token file.
func (s *Settings) lineError(field, path string, line int, reason string) *FieldError {
	return s.fieldError(field, fmt.Sprintf("%s line %d %s", path, line, reason))
}

// asFieldError returns the *FieldError in an error of Keys or Tokens.
func asFieldError(err error) *FieldError {
	var problem *FieldError
	if errors.As(err, &problem) {
		return problem
	}
	return &FieldError{Reason: err.Error()}
}
