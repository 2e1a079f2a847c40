package control

import (
	"fmt"
	"strings"
	"testing"
)

// TestLogIsBoundedInBytes guards against a log that is compacted by the number of its
// entries alone and fills the disks of all control nodes with few large changes.
func TestLogIsBoundedInBytes(t *testing.T) {
	const (
		snapshotBytes = 256 << 10
		documentBytes = 100 << 10
		changes       = 40
		// maxLogBytes is the log between two snapshots, the retained entries before the
		// older one, and one change that is written before it is applied.
		maxLogBytes = snapshotBytes + snapshotBytes/2 + 2*documentBytes
	)
	inFleet(t, func(f *fleet) {
		for name, options := range f.options {
			options.SnapshotBytes = snapshotBytes
			f.options[name] = options
		}
		f.start(controlNames...)
		f.startGateway("gateway-1")
		for change := range changes {
			text := document(f.t) + comment(change, documentBytes)
			status, answer := f.send(f.primary(), fmt.Sprint("order-", change), uint64(change), text)
			if !answer.Accepted {
				f.t.Fatalf("change %d returned status %d and %+v", change, status, answer)
			}
			f.checkLogBytes(maxLogBytes)
		}
	})
}

// comment returns lines of a document that differ from those of every other change.
func comment(change, size int) string {
	var text strings.Builder
	for line := 0; text.Len() < size; line++ {
		fmt.Fprintf(&text, "# change %d, line %d\n", change, line)
	}
	return text.String()
}

// checkLogBytes checks the size of the log on each disk.
func (f *fleet) checkLogBytes(limit int) {
	f.t.Helper()
	for name, disk := range f.disks {
		stored, err := disk.Load()
		if err != nil {
			f.t.Fatal(err)
		}
		size := 0
		for _, entry := range stored.Entries {
			size += entry.Size()
		}
		if size > limit {
			f.t.Fatalf("%s has a log of %d bytes, want at most %d", name, size, limit)
		}
	}
}
