package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/deckpulley/deckpulley/registry"
)

// A document is kept in chunks that end after a line chosen by its content, so
// that a small change of a large document changes few records.
const (
	chunkLineModulus = 32      // one line in so many ends a chunk
	maxChunkBytes    = 8 << 10 // octets
	digestBytes      = 16      // octets of a chunk's SHA-256 kept as its name
)

// SplitChunks returns the chunks of a text in order. Joined they are the text.
func SplitChunks(text string) []string {
	var chunks []string
	start := 0
	for at := 0; at < len(text); {
		end := lineEnd(text, at, start+maxChunkBytes)
		if xxhash.Sum64String(text[at:end])%chunkLineModulus == 0 || end-start >= maxChunkBytes {
			chunks = append(chunks, text[start:end])
			start = end
		}
		at = end
	}
	if start < len(text) {
		chunks = append(chunks, text[start:])
	}
	return chunks
}

// lineEnd returns the end of the line that starts at, at most limit.
func lineEnd(text string, at, limit int) int {
	end := len(text)
	if newline := strings.IndexByte(text[at:], '\n'); newline >= 0 {
		end = at + newline + 1
	}
	return min(end, limit)
}

// ChunkRecords returns the records that hold a text and the digests to put
// into Configuration.Chunks.
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

// ChunkNames returns the places of the chunks with these digests.
func ChunkNames(digests [][]byte) []registry.Name {
	var names []registry.Name
	for _, digest := range digests {
		names = append(names, chunkName(digest))
	}
	return names
}

func chunkName(digest []byte) registry.Name {
	return documentsName.Child(hex.EncodeToString(digest))
}

// joinDocument reads the text back from its chunks.
func joinDocument(view registry.View, digests [][]byte) (string, error) {
	var text strings.Builder
	for _, digest := range digests {
		records := view.Lookup(chunkName(digest), TypeDocumentChunk)
		if len(records) != 1 {
			return "", fmt.Errorf("places: chunk %x of the document is missing", digest)
		}
		text.Write(records[0].Data)
	}
	return text.String(), nil
}
