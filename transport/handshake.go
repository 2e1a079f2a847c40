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

// The handshake proves to each side that the other has one of its keys. The proofs cover
// fresh nonces of both sides, which prevents replay. The traffic that follows is not
// encrypted. The listener first sends a proof for each of its keys, so that the key of a
// fleet can be rotated node by node.
//
//	dialer    -> hello{version, name, nonce, purpose}
//	listener  -> challenge{version, name, nonce, one proof for each of its keys}
//	dialer    -> proof{made with the first of its keys that matches one of those proofs}
//	listener  -> welcome{}
const (
	handshakeVersion = 1
	nonceBytes       = 32
	maxProofs        = 8
	maxPeerNameBytes = 256
	listenerLabel    = "deckpulley listener 1"
	dialerLabel      = "deckpulley dialer 1"
)

// purpose is the kind of traffic of a connection. The values are part of the wire
// format and must not change.
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

// transcript is the data that both proofs cover: the names, nonces and purpose that
// were exchanged.
type transcript struct {
	_             struct{} `cbor:",toarray"`
	Version       int
	DialerName    string
	DialerNonce   []byte
	ListenerName  string
	ListenerNonce []byte
	Purpose       purpose
}

// ErrHandshake is wrapped by the errors of a handshake that failed because a message was
// malformed or had another version, or because the two sides share no key.
var ErrHandshake = errors.New("transport: handshake failed")

func handshakeError(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", ErrHandshake, fmt.Sprintf(format, arguments...))
}

// authenticate returns the MAC of an encoded transcript under a key. The two
// sides use different labels, so that a proof of one side cannot be sent back as a proof of
// the other.
func authenticate(key []byte, label string, transcript []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(transcript)
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce) // never fails, see crypto/rand
	return nonce
}

// encodeTranscript returns the bytes that both proofs cover.
func encodeTranscript(first hello, answer challenge) ([]byte, error) {
	return encoding.Marshal(transcript{
		Version:       handshakeVersion,
		DialerName:    first.Name,
		DialerNonce:   first.Nonce,
		ListenerName:  answer.Name,
		ListenerNonce: answer.Nonce,
		Purpose:       first.Purpose,
	})
}

// dialHandshake performs the dialer's side and returns the listener's name.
func dialHandshake(raw net.Conn, name string, keys [][]byte, use purpose, deadline time.Time) (string, error) {
	if err := raw.SetDeadline(deadline); err != nil {
		return "", err
	}
	first := hello{Version: handshakeVersion, Name: name, Nonce: newNonce(), Purpose: use}
	if err := writeHandshake(raw, first); err != nil {
		return "", err
	}
	var answer challenge
	if err := readHandshake(raw, &answer); err != nil {
		return "", err
	}
	if !answer.wellFormed() {
		return "", handshakeError("malformed challenge")
	}
	signed, err := encodeTranscript(first, answer)
	if err != nil {
		return "", err
	}
	key := sharedKey(keys, signed, answer.Proofs)
	if key == nil {
		return "", handshakeError("%q has none of our keys", answer.Name)
	}
	if err := writeHandshake(raw, proof{MAC: authenticate(key, dialerLabel, signed)}); err != nil {
		return "", err
	}
	if err := readHandshake(raw, &welcome{}); err != nil {
		return "", handshakeError("%q did not accept our proof: %v", answer.Name, err)
	}
	return answer.Name, raw.SetDeadline(time.Time{})
}

// sharedKey returns the first of the keys with which one of the listener's proofs was
// made, or nil if there is none. It compares all of them, so that the time taken does
// not reveal which one matched.
func sharedKey(keys [][]byte, signed []byte, proofs [][]byte) []byte {
	var shared []byte
	for _, key := range keys {
		expected := authenticate(key, listenerLabel, signed)
		for _, received := range proofs {
			if hmac.Equal(expected, received) && shared == nil {
				shared = key
			}
		}
	}
	return shared
}

// acceptHandshake performs the listener's side and returns the dialer's name and the
// purpose of the connection.
func acceptHandshake(raw net.Conn, name string, keys [][]byte, deadline time.Time) (string, purpose, error) {
	if err := raw.SetDeadline(deadline); err != nil {
		return "", 0, err
	}
	first, err := readHello(raw)
	if err != nil {
		return "", 0, err
	}
	answer := challenge{Version: handshakeVersion, Name: name, Nonce: newNonce()}
	signed, err := encodeTranscript(first, answer)
	if err != nil {
		return "", 0, err
	}
	for _, key := range keys {
		answer.Proofs = append(answer.Proofs, authenticate(key, listenerLabel, signed))
	}
	if err := writeHandshake(raw, answer); err != nil {
		return "", 0, err
	}
	var received proof
	if err := readHandshake(raw, &received); err != nil {
		return "", 0, err
	}
	if !verifyProof(keys, signed, received.MAC) {
		return "", 0, handshakeError("%q has none of our keys", first.Name)
	}
	if err := writeHandshake(raw, welcome{Version: handshakeVersion}); err != nil {
		return "", 0, err
	}
	return first.Name, first.Purpose, raw.SetDeadline(time.Time{})
}

func readHello(raw net.Conn) (hello, error) {
	var first hello
	if err := readHandshake(raw, &first); err != nil {
		return hello{}, err
	}
	if !first.wellFormed() {
		return hello{}, handshakeError("malformed hello")
	}
	if first.Purpose != purposeMessages && first.Purpose != purposeStreams {
		return hello{}, handshakeError("unknown purpose %d", first.Purpose)
	}
	return first, nil
}

func (h *hello) wellFormed() bool {
	return h.Version == handshakeVersion && len(h.Nonce) == nonceBytes && len(h.Name) <= maxPeerNameBytes
}

func (c *challenge) wellFormed() bool {
	return c.Version == handshakeVersion && len(c.Nonce) == nonceBytes &&
		len(c.Name) <= maxPeerNameBytes && len(c.Proofs) <= maxProofs
}

// verifyProof reports whether the dialer's proof was made with one of the keys. It
// compares all of them, so that the time taken does not reveal which one matched.
func verifyProof(keys [][]byte, signed, received []byte) bool {
	verified := false
	for _, key := range keys {
		if hmac.Equal(authenticate(key, dialerLabel, signed), received) {
			verified = true
		}
	}
	return verified
}

func writeHandshake(raw net.Conn, message any) error {
	frame, err := encodeFrame(message, maxControlFrameBytes)
	if err != nil {
		return err
	}
	_, err = raw.Write(frame)
	return err
}

// readHandshake reads one handshake message. It reads without a buffer, which could
// consume bytes of the frames that follow the handshake.
func readHandshake(raw net.Conn, into any) error {
	content, err := readFrame(raw, maxControlFrameBytes, nil)
	if err != nil {
		return err
	}
	if err := decoding.Unmarshal(content, into); err != nil {
		return handshakeError("%v", err)
	}
	return nil
}
