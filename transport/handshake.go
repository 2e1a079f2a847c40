package transport

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"time"
)

// The handshake proves to each side that the other holds one of its keys, over
// fresh nonces of both. It does not encrypt what follows.
//
//	dialer    -> hello{version, name, nonce, purpose}
//	listener  -> challenge{version, name, nonce, one proof for each of its keys}
//	dialer    -> proof{with the first of its own keys that one of those proofs shows}
//	listener  -> welcome{}
const (
	handshakeVersion = 1
	nonceBytes       = 32
	maxProofs        = 8
	maxPeerName      = 256
	listenerLabel    = "deckpulley listener 1"
	dialerLabel      = "deckpulley dialer 1"
)

// purpose says what a connection carries. The numbers are sent: they stay.
type purpose uint8

const (
	purposeMessages purpose = 1
	purposeStreams  purpose = 2
)

type hello struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Name    string
	Nonce   []byte
	Purpose purpose
}

type challenge struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Name    string
	Nonce   []byte
	Proofs  [][]byte
}

type proof struct {
	_   struct{} `cbor:",toarray"`
	MAC []byte
}

type welcome struct {
	_       struct{} `cbor:",toarray"`
	Version int
}

// transcript is what both proofs cover.
type transcript struct {
	_             struct{} `cbor:",toarray"`
	Version       int
	DialerName    string
	DialerNonce   []byte
	ListenerName  string
	ListenerNonce []byte
	Purpose       purpose
}

// ErrHandshake is wrapped by every failure to agree on a key, a version or the
// form of the handshake.
var ErrHandshake = errors.New("transport: handshake failed")

func handshakeProblem(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", ErrHandshake, fmt.Sprintf(format, arguments...))
}

func authenticate(key []byte, label string, covered []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(covered)
	return mac.Sum(nil)
}

func freshNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce) // never fails, see the package
	return nonce
}

// dialHandshake runs the dialer's side and returns the listener's name.
func dialHandshake(raw net.Conn, own string, keys [][]byte, what purpose, deadline time.Time) (string, error) {
	if err := raw.SetDeadline(deadline); err != nil {
		return "", err
	}
	first := hello{Version: handshakeVersion, Name: own, Nonce: freshNonce(), Purpose: what}
	if err := writeHandshake(raw, first); err != nil {
		return "", err
	}
	var answer challenge
	if err := readHandshake(raw, &answer); err != nil {
		return "", err
	}
	if answer.Version != handshakeVersion || len(answer.Nonce) != nonceBytes || len(answer.Name) > maxPeerName || len(answer.Proofs) > maxProofs {
		return "", handshakeProblem("malformed challenge")
	}
	covered, err := encoding.Marshal(transcript{
		Version: handshakeVersion, DialerName: own, DialerNonce: first.Nonce,
		ListenerName: answer.Name, ListenerNonce: answer.Nonce, Purpose: what,
	})
	if err != nil {
		return "", err
	}
	key := sharedKey(keys, covered, answer.Proofs)
	if key == nil {
		return "", handshakeProblem("%q holds none of our keys", answer.Name)
	}
	if err := writeHandshake(raw, proof{MAC: authenticate(key, dialerLabel, covered)}); err != nil {
		return "", err
	}
	if err := readHandshake(raw, &welcome{}); err != nil {
		return "", handshakeProblem("%q did not take our proof: %v", answer.Name, err)
	}
	return answer.Name, raw.SetDeadline(time.Time{})
}

func sharedKey(keys [][]byte, covered []byte, proofs [][]byte) []byte {
	var shared []byte
	for _, key := range keys {
		expected := authenticate(key, listenerLabel, covered)
		for _, shown := range proofs {
			if hmac.Equal(expected, shown) && shared == nil {
				shared = key
			}
		}
	}
	return shared
}

// acceptHandshake runs the listener's side and returns the dialer's name and
// what the connection is for.
func acceptHandshake(raw net.Conn, own string, keys [][]byte, deadline time.Time) (string, purpose, error) {
	if err := raw.SetDeadline(deadline); err != nil {
		return "", 0, err
	}
	var first hello
	if err := readHandshake(raw, &first); err != nil {
		return "", 0, err
	}
	if first.Version != handshakeVersion || len(first.Nonce) != nonceBytes || len(first.Name) > maxPeerName {
		return "", 0, handshakeProblem("malformed hello")
	}
	if first.Purpose != purposeMessages && first.Purpose != purposeStreams {
		return "", 0, handshakeProblem("unknown purpose %d", first.Purpose)
	}
	answer := challenge{Version: handshakeVersion, Name: own, Nonce: freshNonce()}
	covered, err := encoding.Marshal(transcript{
		Version: handshakeVersion, DialerName: first.Name, DialerNonce: first.Nonce,
		ListenerName: own, ListenerNonce: answer.Nonce, Purpose: first.Purpose,
	})
	if err != nil {
		return "", 0, err
	}
	for _, key := range keys {
		answer.Proofs = append(answer.Proofs, authenticate(key, listenerLabel, covered))
	}
	if err := writeHandshake(raw, answer); err != nil {
		return "", 0, err
	}
	var shown proof
	if err := readHandshake(raw, &shown); err != nil {
		return "", 0, err
	}
	if !provesAny(keys, covered, shown.MAC) {
		return "", 0, handshakeProblem("%q holds none of our keys", first.Name)
	}
	if err := writeHandshake(raw, welcome{Version: handshakeVersion}); err != nil {
		return "", 0, err
	}
	return first.Name, first.Purpose, raw.SetDeadline(time.Time{})
}

func provesAny(keys [][]byte, covered, shown []byte) bool {
	proved := false
	for _, key := range keys {
		if hmac.Equal(authenticate(key, dialerLabel, covered), shown) {
			proved = true
		}
	}
	return proved
}

func writeHandshake(raw net.Conn, value any) error {
	frame, err := encodeFrame(value, handshakeFrame)
	if err != nil {
		return err
	}
	_, err = raw.Write(frame)
	return err
}

// readHandshake reads straight from the connection, so that no byte of a later
// frame is taken.
func readHandshake(raw net.Conn, into any) error {
	content, err := readFrame(raw, handshakeFrame, nil)
	if err != nil {
		return err
	}
	if err := decoding.Unmarshal(content, into); err != nil {
		return handshakeProblem("%v", err)
	}
	return nil
}
