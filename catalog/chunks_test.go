package catalog

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/deckpulley/deckpulley/registry"
)

func TestSplitChunksConcatenateToText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.StringMatching(`[a-z]{0,20}\n?`)
		text := strings.Join(rapid.SliceOfN(line, 0, 400).Draw(t, "lines"), "")
		text += strings.Repeat("x", rapid.IntRange(0, 3*maxChunkBytes).Draw(t, "long"))
		chunks := SplitChunks(text)
		if strings.Join(chunks, "") != text {
			t.Fatalf("the concatenated chunks differ from the text")
		}
		for _, chunk := range chunks {
			if len(chunk) == 0 || len(chunk) > maxChunkBytes {
				t.Fatalf("chunk has %d octets, which is out of bounds", len(chunk))
			}
		}
	})
}

// jsonDocument returns a document of about the given size, as JSON without line breaks. The
// changed route has another target.
func jsonDocument(size, changed int) string {
	var text strings.Builder
	text.WriteString(`{"routes":[`)
	for route := 0; text.Len() < size; route++ {
		target := route % 7
		if route == changed {
			target = 1000
		}
		fmt.Fprintf(&text, `{"host":"h%d.example","path_prefix":"/p%d/","service":"s%d"},`, route%97, route, target)
	}
	text.WriteString(`]}`)
	return text.String()
}

// newBytes returns the size of what a change of a text adds: the chunks that are new, and
// the list of all digests.
func newBytes(before, after string) int {
	stored := make(map[string]bool)
	for _, chunk := range SplitChunks(before) {
		stored[chunk] = true
	}
	chunks := SplitChunks(after)
	size := len(chunks) * digestBytes
	for _, chunk := range chunks {
		if !stored[chunk] {
			size += len(chunk)
		}
	}
	return size
}

// TestSmallChangeOfOneLine guards against chunks at fixed offsets: one change in a document
// without line breaks replaced every chunk after it.
func TestSmallChangeOfOneLine(t *testing.T) {
	for _, size := range []int{100 << 10, 1 << 20, 2<<20 - 200} {
		before := jsonDocument(size, -1)
		for _, route := range []int{0, 100, 500, 1000} {
			added := newBytes(before, jsonDocument(size, route))
			t.Logf("a change of route %d in %d octets adds %d octets", route, len(before), added)
			if added > maxChunkBytes*4+len(before)/64 {
				t.Errorf("a change of route %d in %d octets adds %d octets", route, len(before), added)
			}
		}
	}
}

// TestManyShortLines guards against a list of digests that exceeds a record: a document in
// which one frequent line ends a chunk could not be stored.
func TestManyShortLines(t *testing.T) {
	line := "x\n"
	for !endsChunk(line) {
		line = "x" + line
	}
	text := strings.Repeat(line, 2<<20/len(line))
	if records, digests := ChunkRecords(text); len(digests)*digestBytes > registry.MaxDataBytes-1024 || len(records) == 0 {
		t.Errorf("%d digests do not fit into a record", len(digests))
	}
}
