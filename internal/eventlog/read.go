package eventlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
)

const (
	// logPattern matches the names of event logs in a run folder.
	logPattern = "*.jsonl"
	// maxLineBytes is the maximum length of a line, including its newline.
	maxLineBytes = 1 << 20
	// readBufferBytes is the size of the read buffer.
	readBufferBytes = 64 << 10
	// linePrefix begins every line of a log, because At is the first field.
	linePrefix = `{"at":`
)

// ReadFolder reads every log (*.jsonl) of the folder and returns the events sorted
// by time; the sort is stable. An incomplete last line, as left by a killed writer, is
// ignored. Any other line that cannot be decoded results in an error that names the
// file and the line.
func ReadFolder(folder string) ([]Event, error) {
	paths, err := filepath.Glob(filepath.Join(folder, logPattern))
	if err != nil {
		return nil, fmt.Errorf("listing event logs: %w", err)
	}
	sort.Strings(paths)
	var events []Event
	for _, path := range paths {
		fileEvents, err := ReadFile(path)
		if err != nil {
			return nil, err
		}
		events = append(events, fileEvents...)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
	return events, nil
}

// ReadFile reads one log and returns its events in file order. It treats
// incomplete and malformed lines as ReadFolder does.
func ReadFile(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("opening event log: %w", err)
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, readBufferBytes)
	var events []Event
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return events, nil // the line after the last newline is incomplete
		}
		if err != nil {
			return nil, fmt.Errorf("reading %s: %w", path, err)
		}
		if len(line) > maxLineBytes {
			return nil, fmt.Errorf("reading %s: line %d is longer than %d bytes", path, number, maxLineBytes)
		}
		event, err := decodeLine(line)
		if err != nil {
			return nil, fmt.Errorf("reading %s: line %d: %w", path, number, err)
		}
		events = append(events, event)
	}
}

// decodeLine decodes one line. A restarted writer appends directly after the
// incomplete line of its predecessor: the incomplete part is skipped and the event
// that follows it is decoded. If neither decodes, the error for the whole line is
// returned.
func decodeLine(line []byte) (Event, error) {
	var event Event
	err := json.Unmarshal(line, &event)
	if err == nil {
		return event, nil
	}
	start := bytes.LastIndex(line, []byte(linePrefix))
	if start <= 0 {
		return Event{}, err
	}
	event = Event{}
	if json.Unmarshal(line[start:], &event) != nil {
		return Event{}, err
	}
	return event, nil
}
