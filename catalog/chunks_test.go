package catalog

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
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
