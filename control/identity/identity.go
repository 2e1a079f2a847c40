// Package identity generates the random ids and seeds of control nodes.
package identity

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// idBytes is the number of random bytes in an id.
const idBytes = 12

// New returns a random hexadecimal id for a group or a process.
func New() string {
	var raw [idBytes]byte
	mustRead(raw[:])
	return hex.EncodeToString(raw[:])
}

// NewSeed returns a random seed other than zero.
func NewSeed() uint64 {
	var raw [8]byte
	mustRead(raw[:])
	return binary.LittleEndian.Uint64(raw[:]) | 1
}

func mustRead(raw []byte) {
	if _, err := rand.Read(raw); err != nil {
		panic(fmt.Sprintf("control: reading random bytes: %v", err))
	}
}
