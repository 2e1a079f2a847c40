package consensus

import "testing"

// TestRetainableEntriesFitBothLimits guards against a compaction that retains entries by
// their number alone, however large they are.
func TestRetainableEntriesFitBothLimits(t *testing.T) {
	const last = 100
	entries := make([]Entry, 0, last)
	for index := uint64(1); index <= last; index++ {
		entries = append(entries, Entry{Term: 1, Index: index, Data: make([]byte, 1000)})
	}
	node, err := New(Config{ID: "a", HardState: HardState{Term: 1, Commit: last}, Entries: entries, Snapshot: Snapshot{Membership: Membership{Members: []Member{{ID: "a"}}}}})
	if err != nil {
		t.Fatal(err)
	}
	size := entries[0].Size()
	for _, test := range []struct {
		maxEntries uint64
		maxBytes   int
		want       uint64
	}{
		{maxEntries: 10, maxBytes: 1000 * size, want: 10},
		{maxEntries: 1000, maxBytes: 5*size + 1, want: 5},
		{maxEntries: 1000, maxBytes: size - 1, want: 1},
		{maxEntries: 1000, maxBytes: 1000 * size, want: last},
	} {
		if got := node.RetainableEntries(last, test.maxEntries, test.maxBytes); got != test.want {
			t.Errorf("%d entries and %d bytes: %d entries can be retained, want %d", test.maxEntries, test.maxBytes, got, test.want)
		}
	}
}
