package control

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// randomIDBytes is the length of a random id before its encoding.
const randomIDBytes = 12

// randomID returns a fresh id in hexadecimal.
func randomID() string {
	var raw [randomIDBytes]byte
	mustRead(raw[:])
	return hex.EncodeToString(raw[:])
}

// randomSeed returns a seed that is not zero.
func randomSeed() uint64 {
	var raw [8]byte
	mustRead(raw[:])
	return binary.LittleEndian.Uint64(raw[:]) | 1
}

func mustRead(raw []byte) {
	if _, err := rand.Read(raw); err != nil {
		panic(fmt.Sprintf("control: reading random bytes: %v", err))
	}
}
