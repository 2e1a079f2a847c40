package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/deckpulley/deckpulley/registry"
)

// The text of a configuration is stored in chunks whose boundaries depend on the text near
// them alone (content-defined chunking), so that a small change of a large text changes few
// records. The boundaries are a format: a release with others would replace the chunks of
// every stored text once. Their rules:
//
//   - A line of at most longLineBytes octets ends a chunk if the XXH64 hash of the line,
//     with its line break, is a multiple of chunkLineModulus. A chunk that would exceed
//     maxChunkBytes ends there.
//   - A longer line, as in JSON without line breaks, begins a chunk and ends one, and is cut
//     by a rolling hash: see gearEnd.
//   - If these rules give more than maxLineChunks chunks, the whole text is cut by the
//     rolling hash. The list of the chunks' digests would exceed a record otherwise.
//
// Releases that lack the last two rules read the chunks, whose boundaries they take from
// the stored list.
const (
	chunkLineModulus = 32                // on average one line in 32 ends a chunk
	maxChunkBytes    = 8 << 10           // octets
	longLineBytes    = 2 * maxChunkBytes // octets
	maxLineChunks    = 3000
	digestBytes      = 16 // length of the SHA-256 prefix that names a chunk, in octets
)

// SplitChunks returns the chunks of a text in order. Their concatenation is the text.
func SplitChunks(text string) []string {
	var chunks []string
	for len(text) > 0 {
		lines := shortLines(text)
		chunks = append(chunks, splitLines(text[:lines])...)
		text = text[lines:]
		end := lineEnd(text, 0, len(text))
		chunks = append(chunks, splitLong(text[:end])...)
		text = text[end:]
	}
	if len(chunks) > maxLineChunks {
		return splitLong(strings.Join(chunks, ""))
	}
	return chunks
}

// shortLines returns the length of the lines at the start of a text that have at most
// longLineBytes octets each.
func shortLines(text string) int {
	offset := 0
	for offset < len(text) {
		end := lineEnd(text, offset, len(text))
		if end-offset > longLineBytes {
			break
		}
		offset = end
	}
	return offset
}

// splitLines returns the chunks of lines of at most longLineBytes octets.
func splitLines(text string) []string {
	var chunks []string
	start := 0 // of the chunk
	for offset := 0; offset < len(text); {
		end := lineEnd(text, offset, start+maxChunkBytes)
		if endsChunk(text[offset:end]) || end-start >= maxChunkBytes {
			chunks = append(chunks, text[start:end])
			start = end
		}
		offset = end
	}
	if start < len(text) {
		chunks = append(chunks, text[start:])
	}
	return chunks
}

// endsChunk reports whether a chunk ends after a line.
func endsChunk(line string) bool { return xxhash.Sum64String(line)%chunkLineModulus == 0 }

// lineEnd returns the offset after the line that starts at an offset, or the limit
// if that is less.
func lineEnd(text string, offset, limit int) int {
	end := len(text)
	if newline := strings.IndexByte(text[offset:], '\n'); newline >= 0 {
		end = offset + newline + 1
	}
	return min(end, limit)
}

// ChunkRecords returns the records that store a text, each chunk once, and the
// digests of all chunks in order, for Configuration.Chunks.
func ChunkRecords(text string) (records []registry.Record, digests [][]byte) {
	seen := map[registry.Name]bool{}
	for _, chunk := range SplitChunks(text) {
		digest := sha256.Sum256([]byte(chunk))
		digests = append(digests, digest[:digestBytes])
		name := chunkName(digest[:digestBytes])
		if seen[name] {
			continue
		}
		seen[name] = true
		records = append(records, registry.Record{Name: name, Type: TypeDocumentChunk, Class: registry.ClassTable, Data: []byte(chunk)})
	}
	return records, digests
}

// ChunkNames returns the registry names of the chunks with these digests.
func ChunkNames(digests [][]byte) []registry.Name {
	names := make([]registry.Name, 0, len(digests))
	for _, digest := range digests {
		names = append(names, chunkName(digest))
	}
	return names
}

func chunkName(digest []byte) registry.Name {
	return documentsName.Child(hex.EncodeToString(digest))
}

// joinChunks returns the text whose chunks have these digests.
func joinChunks(view registry.View, digests [][]byte) (string, error) {
	var text strings.Builder
	for _, digest := range digests {
		records := view.Lookup(chunkName(digest), TypeDocumentChunk)
		if len(records) != 1 {
			return "", fmt.Errorf("catalog: chunk %x of the document is missing", digest)
		}
		text.Write(records[0].Data)
	}
	return text.String(), nil
}
