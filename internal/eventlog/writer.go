package eventlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// flushInterval is the time between flushes. It limits the events that are lost when the
// process is killed.
const flushInterval = 50 * time.Millisecond

// writeBufferBytes is the size of a writer's buffer.
const writeBufferBytes = 64 << 10

// Writer appends events to a file. It is safe for concurrent use.
type Writer struct {
	mutex  sync.Mutex
	file   *os.File
	buffer *bufio.Writer
	source string
	err    error // first error of a write or flush, returned by Close
	stop   chan struct{}
	done   chan struct{} // closed when flushLoop has returned
}

// Open opens the log at path for appending and creates it if it does not exist.
// The source is written into every event that has none. The caller must call Close,
// which stops the goroutine that flushes the buffer.
func Open(path, source string) (*Writer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("opening event log: %w", err)
	}
	w := &Writer{
		file:   file,
		buffer: bufio.NewWriterSize(file, writeBufferBytes),
		source: source,
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	go w.flushLoop()
	return w, nil
}

// Write appends the event. It fills in the time and the source if they are not
// set. Close returns the first error of any write.
func (w *Writer) Write(event Event) {
	if event.At == 0 {
		event.At = Now()
	}
	if event.Source == "" {
		event.Source = w.source
	}
	line, err := json.Marshal(event)
	if err != nil {
		panic(fmt.Sprintf("eventlog: encoding %s: %v", event.Kind, err))
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, err = w.buffer.Write(append(line, '\n'))
	w.recordError(err)
	if event.Kind == ReplicaExecuted || event.Kind == ReplicaReceived {
		// The at-most-once check needs this event even if the process is killed right
		// after it.
		w.recordError(w.buffer.Flush())
	}
}

// recordError stores the first error. The caller must hold the mutex.
func (w *Writer) recordError(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *Writer) flushLoop() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.mutex.Lock()
			w.recordError(w.buffer.Flush())
			w.mutex.Unlock()
		case <-w.stop:
			return
		}
	}
}

// Close flushes and closes the log. It returns the first error of any write since
// Open. It must be called once.
func (w *Writer) Close() error {
	close(w.stop)
	<-w.done
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.recordError(w.buffer.Flush())
	w.recordError(w.file.Close())
	if w.err != nil {
		return fmt.Errorf("writing event log: %w", w.err)
	}
	return nil
}

// Now returns the machine's monotonic clock in nanoseconds. It panics if the clock
// cannot be read, which Linux rules out for CLOCK_MONOTONIC.
func Now() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		panic(fmt.Sprintf("eventlog: reading the monotonic clock: %v", err))
	}
	return now.Nano()
}
