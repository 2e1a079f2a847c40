package catalog

import "github.com/cespare/xxhash/v2"

// The rolling hash of a long line is a gear hash: with each octet it is doubled, modulo
// 2^64, and the octet's value of gearValues is added. An octet thus counts for the next 63
// octets.
const (
	// minGearBytes is the shortest chunk, in octets. The hash starts anew after it.
	minGearBytes = 1 << 10
	// gearShift selects the bits of the hash that are zero at the end of a chunk: the 11
	// highest, so that a chunk has 3 KiB on average.
	gearShift = 64 - 11
	octets    = 256
)

// gearValues has the XXH64 hash of each octet.
var gearValues = newGearValues()

func newGearValues() [octets]uint64 {
	var values [octets]uint64
	for octet := range values {
		values[octet] = xxhash.Sum64([]byte{byte(octet)})
	}
	return values
}

// splitLong returns the chunks of a text that is cut by the rolling hash.
func splitLong(text string) []string {
	var chunks []string
	for len(text) > 0 {
		end := gearEnd(text)
		chunks = append(chunks, text[:end])
		text = text[end:]
	}
	return chunks
}

// gearEnd returns the length of the first chunk of a text: the first octet after
// minGearBytes at which the bits of the rolling hash above gearShift are zero ends it, and
// the octet at maxChunkBytes or the end of the text at the latest.
func gearEnd(text string) int {
	limit := min(len(text), maxChunkBytes)
	hash := uint64(0)
	for offset := minGearBytes; offset < limit; offset++ {
		hash = hash<<1 + gearValues[text[offset]]
		if hash>>gearShift == 0 {
			return offset + 1
		}
	}
	return limit
}
