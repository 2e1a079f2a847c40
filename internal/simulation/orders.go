package simulation

import (
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"
)

// order changes the one value if it was built on the newest version.
type order struct {
	ID   string `cbor:"1,keyasint"`
	Base uint64 `cbor:"2,keyasint"`
}

// answer is the first and only answer to an order.
type answer struct {
	Accepted bool   `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"` // after an accepted order, or at its refusal
	Serial   uint32 `cbor:"3,keyasint"`
}

// book is the replicated state: a versioned value with the answers to all
// orders. Each change raises the serial by one.
type book struct {
	version  uint64
	serial   uint32
	answers  map[string]answer
	sequence []string // order ids in the order of their answers
	// reuse plants the fault of a serial used twice.
	reuse bool
}

// reuseEvery is how often the planted fault strikes.
const reuseEvery = 5

type bookSnapshot struct {
	Version uint64   `cbor:"1,keyasint"`
	Serial  uint32   `cbor:"2,keyasint"`
	IDs     []string `cbor:"3,keyasint"`
	Answers []answer `cbor:"4,keyasint"`
}

func newBook() *book {
	return &book{serial: 1, answers: make(map[string]answer)}
}

// apply evaluates one order. Every machine does so in the log's order.
func (b *book) apply(data []byte) error {
	var asked order
	if err := cbor.Unmarshal(data, &asked); err != nil {
		return err
	}
	if _, known := b.answers[asked.ID]; known {
		return nil
	}
	accepted := asked.Base == b.version
	if accepted {
		b.version++
	}
	if !b.reuse || len(b.sequence)%reuseEvery != 0 {
		b.serial++
	}
	b.answers[asked.ID] = answer{Accepted: accepted, Version: b.version, Serial: b.serial}
	b.sequence = append(b.sequence, asked.ID)
	return nil
}

func (b *book) snapshot(dropAnswers bool) ([]byte, error) {
	held := bookSnapshot{Version: b.version, Serial: b.serial}
	if !dropAnswers {
		held.IDs = b.sequence
		for _, id := range b.sequence {
			held.Answers = append(held.Answers, b.answers[id])
		}
	}
	return cbor.Marshal(held)
}

// restore replaces the state; empty data is that of a new group.
func (b *book) restore(data []byte) error {
	fresh := newBook()
	fresh.reuse = b.reuse
	if len(data) > 0 {
		var held bookSnapshot
		if err := cbor.Unmarshal(data, &held); err != nil {
			return err
		}
		fresh.version = held.Version
		fresh.serial = held.Serial
		fresh.sequence = held.IDs
		for position, id := range held.IDs {
			fresh.answers[id] = held.Answers[position]
		}
	}
	*b = *fresh
	return nil
}

// digest identifies the whole state.
func (b *book) digest() uint64 {
	hash := fnv.New64a()
	data, err := b.snapshot(false)
	if err != nil {
		return 0
	}
	_, _ = hash.Write(data)
	return hash.Sum64()
}
