// Package filewatch reports changes of a file's content. It reads the file periodically,
// since not every file system reports changes.
package filewatch

import (
	"bytes"
	"context"
	"os"
	"time"
)

// Interval is the time between two readings.
const Interval = time.Second

// Watcher watches one file.
type Watcher struct {
	path string
	last []byte // content at the last reading
}

// New returns a watcher that compares with the present content of the file.
func New(path string) *Watcher {
	w := &Watcher{path: path}
	w.last, _ = os.ReadFile(path)
	return w
}

// Run calls changed each time the content of the file differs from that of the last
// reading, until ctx ends. A file that cannot be read counts as unchanged.
func (w *Watcher) Run(ctx context.Context, changed func()) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		text, err := os.ReadFile(w.path)
		if err == nil && !bytes.Equal(text, w.last) {
			w.last = text
			changed()
		}
	}
}
