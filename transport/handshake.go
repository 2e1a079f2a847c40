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

// The handshake proves to each side that the other holds one of its keys, over new
// nonces of both. It does not encrypt what follows. The listener proves each of its
// keys first, so that a fleet can replace its key node by node.
//
//	dialer    -> hello{version, name, nonce, purpose}
//	listener  -> challenge{version, name, nonce, one proof for each of its keys}
//	dialer    -> proof{with the first of its own keys that one of those proofs was made with}
//	listener  -> welcome{}
const (
	handshakeVersion = 1
	nonceBytes       = 32
	maxProofs        = 8
	maxPeerNameBytes = 256
	listenerLabel    = "deckpulley listener 1"
	dialerLabel      = "deckpulley dialer 1"
)

// purpose is what a connection carries. The numbers are sent: they stay.
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

// transcript is what both proofs cover: the names, nonces and purpose that were sent.
type transcript struct {
	_             struct{} `cbor:",toarray"`
	Version       int
	DialerName    string
	DialerNonce   []byte
	ListenerName  string
	ListenerNonce []byte
	Purpose       purpose
}

// ErrHandshake is wrapped by each error of a handshake whose messages are malformed,
// of another version, or without a shared key.
var ErrHandshake = errors.New("transport: handshake failed")

func handshakeError(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", ErrHandshake, fmt.Sprintf(format, arguments...))
}

// authenticate returns the proof of a key over an encoded transcript. The label
// differs by side, so that neither proof can be sent back as the other.
func authenticate(key []byte, label string, transcript []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(transcript)
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce) // never fails, see the package
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

// dialHandshake runs the dialer's side and returns the listener's name.
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
		return "", handshakeError("%q holds none of our keys", answer.Name)
	}
	if err := writeHandshake(raw, proof{MAC: authenticate(key, dialerLabel, signed)}); err != nil {
		return "", err
	}
	if err := readHandshake(raw, &welcome{}); err != nil {
		return "", handshakeError("%q did not take our proof: %v", answer.Name, err)
	}
	return answer.Name, raw.SetDeadline(time.Time{})
}

// sharedKey returns the first of the keys that one of the listener's proofs was made
// with, nil if there is none. It compares all of them, so that the time taken does
// not tell which.
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

// acceptHandshake runs the listener's side and returns the dialer's name and the
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
		return "", 0, handshakeError("%q holds none of our keys", first.Name)
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
// compares all of them, so that the time taken does not tell which.
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

// readHandshake reads straight from the connection: a buffer could take bytes of the
// frames that follow the handshake.
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
